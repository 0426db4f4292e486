package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// Each row is what a back end does with a connection, and whether the call counts as taken by
// it.
func TestTaken(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the system does not tell which bytes were acknowledged")
	}
	read := func(conn net.Conn) { _, _ = http.ReadRequest(bufio.NewReader(conn)) }
	for _, test := range []struct {
		name string
		// early is called before the call is sent, late after that.
		early func(conn net.Conn)
		late  func(conn net.Conn)
		want  bool
	}{
		{"read and closed", nil, func(conn net.Conn) { read(conn); _ = conn.Close() }, true},
		{"read, worked on and closed", nil, func(conn net.Conn) { read(conn); time.Sleep(20 * time.Millisecond); _ = conn.Close() }, true},
		{"closed unread", nil, func(conn net.Conn) { time.Sleep(20 * time.Millisecond); _ = conn.Close() }, false},
		{"closed before it was sent", func(conn net.Conn) { _ = conn.Close() }, nil, false},
		{"read and reset", nil, func(conn net.Conn) {
			read(conn)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}, false},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		accepted := make(chan struct{})
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if test.early != nil {
				test.early(conn)
			}
			close(accepted)
			if test.late != nil {
				test.late(conn)
			}
		}()
		// The call is admitted once the connection stands, and sent after that.
		admit := func() error {
			<-accepted
			return nil
		}
		_, err = NewClient(Config{Codec: testCodec{}}).Do(t.Context(), &Call{
			ID: "a", Method: http.MethodGet, Target: "/", Address: listener.Addr().String(), Admit: admit,
		})
		var failure *Error
		if !errors.As(err, &failure) || failure.Fate != Unknown || failure.Taken != test.want {
			t.Errorf("%s: %v, taken %v, want %v", test.name, err, failure != nil && failure.Taken, test.want)
		}
		_ = listener.Close()
	}
}

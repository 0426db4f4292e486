package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"runtime"
	"slices"
	"testing"
	"time"
)

// TestReceipts checks the receipt of a call for each way in which a backend can end the
// connection.
func TestReceipts(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("SIOCOUTQ is read on Linux only")
	}
	read := func(conn net.Conn) { _, _ = http.ReadRequest(bufio.NewReader(conn)) }
	for _, test := range []struct {
		name string
		// early is called before the call is sent, late afterwards.
		early func(conn net.Conn)
		late  func(conn net.Conn)
		// want holds the possible receipts: a reset may arrive before or after the end.
		want []Receipt
	}{
		{"read and closed", nil, func(conn net.Conn) { read(conn); _ = conn.Close() }, []Receipt{ReceiptComplete}},
		{"read, worked on and closed", nil, func(conn net.Conn) { read(conn); time.Sleep(20 * time.Millisecond); _ = conn.Close() }, []Receipt{ReceiptComplete}},
		{"closed unread", nil, func(conn net.Conn) { time.Sleep(20 * time.Millisecond); _ = conn.Close() }, []Receipt{ReceiptUnknown}},
		{"closed before it was sent", func(conn net.Conn) { _ = conn.Close() }, nil, []Receipt{ReceiptPartial, ReceiptUnknown}},
		{"read and reset", nil, func(conn net.Conn) {
			read(conn)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}, []Receipt{ReceiptUnknown}},
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
		// Admit delays the sending until early has returned.
		admit := func() error {
			<-accepted
			return nil
		}
		_, err = NewClient(Config{Codec: testCodec{}}).Do(t.Context(), &Call{
			ID: "a", Method: http.MethodGet, Target: "/", Address: listener.Addr().String(), Admit: admit,
		})
		var failure *Error
		if !errors.As(err, &failure) || failure.Fate != Unknown || !slices.Contains(test.want, failure.Receipt) {
			t.Errorf("%s: %+v, want one of %v", test.name, failure, test.want)
		}
		_ = listener.Close()
	}
}

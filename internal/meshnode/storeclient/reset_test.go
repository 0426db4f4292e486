package storeclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestObjectIsNotStoredByAnAnswerThatIsReset guards against an object that counts as stored after an
// answer without a length whose connection was reset while the object was being sent.
func TestObjectIsNotStoredByAnAnswerThatIsReset(t *testing.T) {
	const (
		// size exceeds what the buffers of two loopback sockets hold, in bytes.
		size  = 8 << 20
		calls = 40
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAndReset(conn.(*net.TCPConn))
		}
	}()
	client := NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Addresses{Objects: listener.Addr().String()})
	stored := 0
	for range calls {
		err := client.PutObject(t.Context(), "key", make([]byte, size))
		if err == nil {
			stored++
		} else if !errors.Is(err, ErrUncertain) {
			t.Errorf("error %v, want one whose outcome is unknown", err)
		}
	}
	if stored > 0 {
		t.Errorf("%d of %d objects count as stored", stored, calls)
	}
}

// answerAndReset answers a request before its body is read, and resets the connection.
func answerAndReset(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart"); err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	_ = conn.SetLinger(0)
}

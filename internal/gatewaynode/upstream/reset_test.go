package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// longUpload exceeds what the buffers of two loopback sockets hold, in bytes, so that a
	// server that does not read leaves the rest unsent.
	longUpload = 8 << 20
	earlyHead  = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	earlyBody  = "part"
	// earlyPause lets the client read an answer and fill the buffers before what follows.
	earlyPause = 20 * time.Millisecond
	// earlyWithin bounds a call whose answer came before its upload was read.
	earlyWithin = 2 * time.Second
)

// earlyServer answers each connection's request, once its head was read, with an answer that the
// end of the connection ends. after is called once a part of the upload has arrived; then the connection is closed.
type earlyServer struct {
	after func(conn *net.TCPConn, body io.Reader)
}

// listen serves until the end of the test and returns the address.
func (s earlyServer) listen(t *testing.T) string { return serveTCP(t, s.serve) }

// serveTCP calls serve for each connection to the address that it returns, until the end of the test.
func serveTCP(t *testing.T, serve func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (s earlyServer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, earlyHead+earlyBody); err != nil {
		return
	}
	if err := awaitUnread(conn); err != nil {
		return
	}
	time.Sleep(earlyPause)
	s.after(conn, request.Body)
}

// awaitUnread waits until the socket holds bytes that were not read. Without any, a close ends the
// connection in order instead of resetting it.
func awaitUnread(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var peeked error
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, peeked = unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK)
		return !errors.Is(peeked, unix.EAGAIN)
	})
	return errors.Join(err, peeked)
}

func reset(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }

// exchangeLong sends a request with a long body and returns what was received as its answer.
func exchangeLong(ctx context.Context, address string) (string, error) {
	client := NewClient(Config{Codec: testCodec{}})
	answer, err := client.Do(ctx, &Call{ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Address: address, Body: make([]byte, longUpload)})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return string(content), err
}

// TestAnswerResetDuringUploadIsNotWhole guards against a part of an answer that is taken for all of
// it: the system reports a reset once, and the goroutine that writes the upload may be the one that
// is told, after which the one that reads sees an ordinary end.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	const calls = 40
	for _, test := range []struct {
		name  string
		after func(conn *net.TCPConn, body io.Reader)
	}{
		{"reset with nothing read", reset},
		{"reset with a part read", func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, longUpload/2)
			reset(conn, body)
		}},
		{"closed with data unread", func(*net.TCPConn, io.Reader) {}},
		{"ended in order, then closed with data unread", func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
		}},
		{"ended in order, then closed while more is sent", func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, longUpload/2)
			_ = conn.CloseWrite()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := earlyServer{after: test.after}.listen(t)
			whole := 0
			for range calls {
				if _, err := exchangeLong(t.Context(), address); err == nil {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that were reset were taken as whole", whole, calls)
			}
		})
	}
}

// TestEarlyAnswerIsWhole checks that an answer before the end of the upload is whole if the server
// ends its own side of the connection in order, and that it does not wait for the upload.
func TestEarlyAnswerIsWhole(t *testing.T) {
	for _, test := range []struct {
		name  string
		after func(conn *net.TCPConn, body io.Reader)
	}{
		{"the upload is read after the end of the answer", func(conn *net.TCPConn, body io.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		}},
		{"the upload is read before the end of the answer", func(_ *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
		}},
		{"the upload is never read", func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(2 * earlyWithin)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), earlyWithin)
			defer cancel()
			content, err := exchangeLong(ctx, earlyServer{after: test.after}.listen(t))
			if content != earlyBody || err != nil {
				t.Errorf("got %q, %v", content, err)
			}
		})
	}
}

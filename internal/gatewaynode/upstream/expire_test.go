package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// heldCall starts a call whose bytes wait in the socket of its sender: the receiver takes
// next to nothing until the test reads. It returns the receiver's connection and what the
// call ends with. The call has a body of heldBody bytes.
func heldCall(t *testing.T, ctx context.Context, until time.Time) (net.Conn, <-chan error) {
	t.Helper()
	// The window that a receiver offers comes from the listening socket.
	small := func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiverTakes)
		})
		return errors.Join(err, failed)
	}
	listener, err := (&net.ListenConfig{Control: small}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	client := NewClient(Config{Codec: testCodec{}, Dialer: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = conn.(*net.TCPConn).SetWriteBuffer(8 * heldBody)
		}
		return conn, err
	}})
	accepted := make(chan net.Conn)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- conn
	}()
	ended := make(chan error, 1)
	sending := make(chan struct{})
	go func() {
		_, err := client.Do(ctx, &Call{
			Method: http.MethodPost, Target: "/x", Host: "h", Address: listener.Addr().String(), Unnumbered: true,
			Body: make([]byte, heldBody), Until: until, Admit: func() error { <-sending; return nil },
		})
		ended <- err
	}()
	conn := <-accepted
	t.Cleanup(func() { _ = conn.Close() })
	close(sending)
	return conn, ended
}

const (
	heldBody      = 30 << 10
	receiverTakes = 4 << 10
)

// arrives tells whether the whole of a held call arrives once its receiver reads.
func arrives(t *testing.T, conn net.Conn) bool {
	t.Helper()
	content, _ := io.ReadAll(conn)
	return len(content) >= heldBody
}

// TestSocketHoldsNothingPastACall: a call is given up while its bytes wait in the socket;
// one that has to be over by a time never arrives, one without does.
func TestSocketHoldsNothingPastACall(t *testing.T) {
	for _, test := range []struct {
		name    string
		until   time.Time
		arrives bool
	}{
		{"bounded", time.Now().Add(time.Minute), false}, {"not bounded", time.Time{}, true},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		conn, ended := heldCall(t, ctx, test.until)
		// The bytes are in the socket once the first of them can be read.
		if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		cancel()
		if err := <-ended; FateOf(err) != Unknown {
			t.Errorf("%s: %v", test.name, err)
		}
		if came := arrives(t, conn); came != test.arrives {
			t.Errorf("%s: the call arrived: %v", test.name, came)
		}
	}
}

// TestSystemGivesAHeldCallUp: nobody closes the connection, as while the process stands
// still, and the system ends it in the call's time.
func TestSystemGivesAHeldCallUp(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("has no such bound")
	}
	conn, ended := heldCall(t, t.Context(), time.Now().Add(300*time.Millisecond))
	if err := <-ended; FateOf(err) != Unknown {
		t.Errorf("ended with %v", err)
	}
	if arrives(t, conn) {
		t.Error("the call arrived")
	}
}

// TestBoundEndsWithTheCall: a connection that is kept after a bounded call has no bound.
func TestBoundEndsWithTheCall(t *testing.T) {
	server := newScriptedServer(t)
	server.answers <- "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	client := NewClient(Config{Codec: testCodec{}})
	answer, err := client.Do(t.Context(), &Call{
		Method: http.MethodPost, Target: "/x", Host: "h", Address: server.listener.Addr().String(), Unnumbered: true,
		Until: time.Now().Add(time.Minute),
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		t.Fatal(err)
	}
	conn := client.takeIdle(Peer{Address: server.listener.Addr().String()}, time.Time{})
	if conn == nil || conn.expires {
		t.Errorf("kept %+v", conn)
	}
}

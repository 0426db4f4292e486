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

// heldCall starts a call with a body of heldBody bytes, most of which stay in the sender's
// socket until the test reads from the returned connection of the receiver. The channel
// receives the error of the call.
func heldCall(t *testing.T, ctx context.Context, until time.Time) (net.Conn, <-chan error) {
	t.Helper()
	// An accepted connection inherits the receive buffer of the listening socket.
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
	heldBody = 30 << 10
	// receiverTakes is the size of the receive buffer in bytes, well below heldBody.
	receiverTakes = 4 << 10
)

// arrives reads from the receiver's connection and reports whether all of a held call came.
func arrives(t *testing.T, conn net.Conn) bool {
	t.Helper()
	content, _ := io.ReadAll(conn)
	return len(content) >= heldBody
}

// TestSocketHoldsNothingPastACall cancels a call while its bytes are in the socket. With
// Call.Until it must never arrive; without, it does.
func TestSocketHoldsNothingPastACall(t *testing.T) {
	for _, test := range []struct {
		name    string
		until   time.Time
		arrives bool
	}{
		{"with Until", time.Now().Add(time.Minute), false}, {"without Until", time.Time{}, true},
	} {
		ctx, cancel := context.WithCancel(t.Context())
		conn, ended := heldCall(t, ctx, test.until)
		// Once the first byte can be read, the rest is in the socket.
		if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		cancel()
		if err := <-ended; FateOf(err) != Unknown {
			t.Errorf("%s: Do returned %v, want fate unknown", test.name, err)
		}
		if came := arrives(t, conn); came != test.arrives {
			t.Errorf("%s: call arrived: %v, want %v", test.name, came, test.arrives)
		}
	}
}

// TestSystemGivesAHeldCallUp checks that the kernel aborts the connection at Call.Until even
// if nothing closes it, as when the process is stopped.
func TestSystemGivesAHeldCallUp(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("TCP_USER_TIMEOUT is set on Linux only")
	}
	conn, ended := heldCall(t, t.Context(), time.Now().Add(300*time.Millisecond))
	if err := <-ended; FateOf(err) != Unknown {
		t.Errorf("Do returned %v, want fate unknown", err)
	}
	if arrives(t, conn) {
		t.Error("call arrived after its expiry")
	}
}

// TestBoundEndsWithTheCall checks that a reused connection does not keep the expiry of its
// last call.
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
	conn, _ := client.takeIdle(Peer{Address: server.listener.Addr().String()}, &Call{ID: "another"})
	if conn == nil || conn.expires {
		t.Errorf("idle connection %+v, want one without expiry", conn)
	}
}

package callerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/memnet"
)

// serve answers callers at an address of an in-memory network; most bounds their
// connections.
func serve(t *testing.T, most int, handler http.HandlerFunc, observe func(time.Duration)) (*Listener, func() net.Conn) {
	network := memnet.NewNetwork()
	raw, err := network.Listen("node:80")
	if err != nil {
		t.Fatal(err)
	}
	listener := Listen(raw, most)
	server := &http.Server{Handler: Handler(handler, observe), ConnContext: Context, ConnState: State, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener, func() net.Conn {
		conn, err := network.Dialer("caller")(t.Context(), "tcp", "node:80")
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
}

func head(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// Requests that follow each other without a wait for the answers get theirs in order,
// whole, whatever of them was read ahead.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, connect := serve(t, 0, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			time.Sleep(50 * time.Millisecond)
			if err := r.Context().Err(); err != nil {
				t.Errorf("%s: %v", r.URL.Path, err)
			}
			_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
		}, nil)
		conn := connect()
		defer func() { _ = conn.Close() }()
		const requests, length = 30, 3000
		go func() {
			for i := range requests {
				_, _ = fmt.Fprintf(conn, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, length, strings.Repeat("x", length))
				time.Sleep(7 * time.Millisecond)
			}
		}()
		reader := bufio.NewReader(conn)
		for i := range requests {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(response.Body)
			if got, want := string(body), fmt.Sprintf("/%d %d", i, length); got != want {
				t.Fatalf("answer %q, want %q", got, want)
			}
		}
	})
}

// The connection ends behind bytes of a further request: the context of the request that
// is served ends at once, with a cause, and the further request is not served with one
// that lives.
func TestEndBehindFurtherBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var began, ended []string
		after := time.Duration(-1)
		_, connect := serve(t, 0, func(_ http.ResponseWriter, r *http.Request) {
			if r.Context().Err() != nil {
				return
			}
			began = append(began, r.URL.Path)
			<-r.Context().Done()
			if !errors.Is(context.Cause(r.Context()), ErrLeft) && !errors.Is(context.Cause(r.Context()), context.Canceled) {
				t.Errorf("cause %v", context.Cause(r.Context()))
			}
			ended = append(ended, r.URL.Path)
			panic(http.ErrAbortHandler)
		}, func(took time.Duration) { after = took })
		conn := connect()
		_, _ = io.WriteString(conn, head("/first"))
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(conn, head("/second"))
		time.Sleep(10 * time.Millisecond)
		_ = conn.Close()
		time.Sleep(time.Second)
		synctest.Wait()
		if fmt.Sprint(began) != "[/first]" || fmt.Sprint(ended) != "[/first]" || after != 0 {
			t.Errorf("began %v, ended %v, %s after the end of the connection", began, ended, after)
		}
	})
}

// A caller that ends its sending and reads on gets no answer.
func TestHalfCloseEndsTheRequest(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	left := make(chan struct{})
	server := &http.Server{ConnContext: Context, ReadHeaderTimeout: time.Minute, Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
		panic(http.ErrAbortHandler)
	}), nil)}
	go func() { _ = server.Serve(Listen(raw, 0)) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, head("/"))
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	<-left
	if content, _ := io.ReadAll(conn); len(content) != 0 {
		t.Errorf("the caller got %q", content)
	}
}

// TestWriteDeadlineOfAResponse guards against a caller that takes nothing and so keeps a request
// beyond its end.
func TestWriteDeadlineOfAResponse(t *testing.T) {
	const limit = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		started, failed := time.Now(), time.Duration(0)
		_, connect := serve(t, 0, func(w http.ResponseWriter, _ *http.Request) {
			if err := http.NewResponseController(w).SetWriteDeadline(started.Add(limit)); err != nil {
				t.Error(err)
			}
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				failed = time.Since(started)
			}
		}, nil)
		conn := connect()
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, head("/"))
		time.Sleep(time.Minute)
		synctest.Wait()
		if failed != limit {
			t.Errorf("the answer failed after %s, want %s", failed, limit)
		}
	})
}

// A caller falls silent while it gets a long answer: it holds the request for a bounded
// time.
func TestCallerThatTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, failed := time.Now(), time.Duration(0)
		_, connect := serve(t, 0, func(w http.ResponseWriter, r *http.Request) {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				failed = time.Since(started)
			}
			if r.Context().Err() == nil {
				t.Error("the context of a request whose caller takes nothing goes on")
			}
		}, nil)
		conn := connect()
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, head("/"))
		time.Sleep(time.Minute)
		synctest.Wait()
		if failed != writeMost {
			t.Errorf("the answer failed after %s, want %s", failed, writeMost)
		}
	})
}

// Where there are too many connections, the one that has rested longest is ended, be it
// between two requests or in the middle of a head, and none on which a request is served.
func TestRoomForNewCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 4
		listener, connect := serve(t, most, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				select {
				case <-time.After(40 * time.Second):
				case <-r.Context().Done():
					t.Error("a request that was served lost its connection")
				}
			}
		}, nil)
		answer := func(conn net.Conn) error {
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			return err
		}
		busy := []net.Conn{connect(), connect()}
		for _, conn := range busy {
			_, _ = io.WriteString(conn, head("/slow"))
			time.Sleep(time.Millisecond)
		}
		for i := range 20 {
			slow := connect()
			_, _ = io.WriteString(slow, "GET / HT")
			time.Sleep(time.Millisecond)
			next := connect()
			_, _ = io.WriteString(next, head("/"))
			if err := answer(next); err != nil {
				t.Fatalf("caller %d got no answer: %v", i, err)
			}
			time.Sleep(newMost)
			if open := listener.Open(); open > most {
				t.Fatalf("%d connections are open, want %d at most", open, most)
			}
		}
		for _, conn := range busy {
			if err := answer(conn); err != nil {
				t.Errorf("a request that was served got no answer: %v", err)
			}
		}
	})
}

// An answer whose last part the caller has not taken yet is not cut off for a new caller,
// though its handler has returned.
func TestRoomIsNotMadeFromAnswersBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, connect := serve(t, 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }, nil)
		first := connect()
		_, _ = io.WriteString(first, head("/"))
		time.Sleep(2 * time.Second)
		second := connect()
		defer func() { _ = second.Close() }()
		time.Sleep(time.Second)
		response, err := http.ReadResponse(bufio.NewReader(first), nil)
		if err != nil {
			t.Fatalf("the answer was cut off: %v", err)
		}
		if body, err := io.ReadAll(response.Body); string(body) != "whole" || err != nil {
			t.Errorf("answer %q, %v", body, err)
		}
	})
}

// Callers that come at once, more than there is room for, do not end each other's
// connections before their requests are read.
func TestRoomIsNotMadeFromNewCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, connect := serve(t, 2, func(http.ResponseWriter, *http.Request) {}, nil)
		var conns []net.Conn
		for range 10 {
			conns = append(conns, connect())
		}
		time.Sleep(newMost / 2)
		for i, conn := range conns {
			_, _ = io.WriteString(conn, head("/"))
			if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
				t.Errorf("caller %d got no answer: %v", i, err)
			}
		}
	})
}

// closer is a connection that notes the end of its sending side.
type closer struct {
	net.Conn
	ended int
}

func (c *closer) CloseWrite() error {
	c.ended++
	return nil
}

// net/http ends the sending side of a connection whose caller still sends, so that the
// caller reads the answer before the reset: it looks for CloseWrite.
func TestCloseWriteIsPassedOn(t *testing.T) {
	inner := &closer{}
	for _, raw := range []net.Conn{inner, struct{ net.Conn }{}} {
		conn, ok := net.Conn(&Conn{Conn: raw}).(interface{ CloseWrite() error })
		if !ok {
			t.Fatal("no CloseWrite")
		}
		if err := conn.CloseWrite(); err != nil {
			t.Error(err)
		}
	}
	if inner.ended != 1 {
		t.Errorf("the sending side was ended %d times, want 1", inner.ended)
	}
}

// net/http's read behind a request gets a byte before the handler begins, and the
// connection ends behind that: the context of the request ends all the same.
func TestEndBehindAByteBeforeTheHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, raw := net.Pipe()
		conn := &Conn{Conn: raw, listener: Listen(nil, 0)}
		defer func() { _ = conn.Close() }()
		go func() { _, _ = io.WriteString(caller, "G") }()
		if count, err := conn.Read(make([]byte, 1)); count != 1 || err != nil {
			t.Fatal(count, err)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		conn.begin(cancel)
		_ = caller.Close()
		synctest.Wait()
		if !errors.Is(context.Cause(ctx), ErrLeft) {
			t.Errorf("cause %v, want %v", context.Cause(ctx), ErrLeft)
		}
	})
}

// BenchmarkEndOfAConnection measures over the loopback how long it takes from the close of
// a caller's connection, behind a byte of a further request, until its handler knows.
func BenchmarkEndOfAConnection(b *testing.B) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	began, told := make(chan struct{}), make(chan time.Time)
	server := &http.Server{ConnContext: Context, ReadHeaderTimeout: time.Minute, Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		told <- time.Now()
		panic(http.ErrAbortHandler)
	}), nil)}
	go func() { _ = server.Serve(Listen(raw, 0)) }()
	defer func() { _ = server.Close() }()
	var all []time.Duration
	for b.Loop() {
		conn, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.WriteString(conn, head("/"))
		<-began
		_, _ = io.WriteString(conn, "G")
		closed := time.Now()
		_ = conn.Close()
		all = append(all, (<-told).Sub(closed))
	}
	slices.Sort(all)
	for _, share := range []float64{0.5, 0.9, 0.99, 1} {
		b.ReportMetric(float64(all[int(share*float64(len(all)-1))].Microseconds()), fmt.Sprintf("us-p%g", 100*share))
	}
}

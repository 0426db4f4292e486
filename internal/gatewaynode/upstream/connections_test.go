package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pipeServer answers each request after a delay, over in-memory connections.
type pipeServer struct {
	delay time.Duration
	// head is the status line and first header fields of each answer.
	head string
}

func (s *pipeServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *pipeServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		time.Sleep(s.delay)
		if _, err := io.WriteString(conn, s.head+"Id: "+request.Header.Get("Id")+"\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// openings returns a client of the server and a list of the causes of its connections. The
// client appends to it.
func openings(server *pipeServer) (*Client, *[]OpenCause) {
	var causes []OpenCause
	client := NewClient(Config{Codec: testCodec{}, Dialer: server.dial, OnOpen: func(o Opening) { causes = append(causes, o.Cause) }})
	return client, &causes
}

// callID numbers the calls of call, since no connection carries an id twice.
var callID atomic.Int64

func call(ctx context.Context, client *Client, fresh bool) error {
	answer, err := client.Do(ctx, &Call{ID: strconv.FormatInt(callID.Add(1), 10), Method: http.MethodGet, Target: "/", Address: "b:1", Instance: "i", NewConnection: fresh})
	if err != nil {
		return err
	}
	_, err = io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return err
}

func TestCausesOfConnections(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"
	for _, test := range []struct {
		name string
		play func(ctx context.Context, client *Client)
		want []OpenCause
	}{
		{"sequential calls share a connection", func(ctx context.Context, client *Client) {
			for range 3 {
				_ = call(ctx, client, false)
			}
		}, []OpenCause{OpenFirst}},
		{"concurrent calls", func(ctx context.Context, client *Client) {
			go func() { _ = call(ctx, client, false) }()
			time.Sleep(time.Millisecond)
			_ = call(ctx, client, false)
		}, []OpenCause{OpenFirst, OpenBusy}},
		{"call after the idle timeout", func(ctx context.Context, client *Client) {
			_ = call(ctx, client, false)
			time.Sleep(5 * time.Second)
			_ = call(ctx, client, false)
		}, []OpenCause{OpenFirst, OpenExpired}},
		{"call after a sweep of expired connections", func(ctx context.Context, client *Client) {
			_ = call(ctx, client, false)
			time.Sleep(5 * time.Second)
			client.Sweep(func(string, string) bool { return true })
			_ = call(ctx, client, false)
		}, []OpenCause{OpenFirst, OpenExpired}},
		{"a cancelled call accounts for one new connection", func(ctx context.Context, client *Client) {
			cut, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Millisecond, cancel)
			_ = call(cut, client, false)
			_ = call(ctx, client, false)
			go func() { _ = call(ctx, client, false) }()
			time.Sleep(time.Millisecond)
			_ = call(ctx, client, false)
		}, []OpenCause{OpenFirst, OpenAborted, OpenBusy}},
		{"call with NewConnection", func(ctx context.Context, client *Client) {
			_ = call(ctx, client, false)
			_ = call(ctx, client, true)
		}, []OpenCause{OpenFirst, OpenForced}},
		{"call after the state of the peer was removed", func(ctx context.Context, client *Client) {
			_ = call(ctx, client, false)
			client.Sweep(func(string, string) bool { return false })
			time.Sleep(2 * lostMemory)
			client.Sweep(func(string, string) bool { return false })
			_ = call(ctx, client, false)
		}, []OpenCause{OpenFirst, OpenFirst}},
	} {
		synctest.Test(t, func(t *testing.T) {
			client, causes := openings(&pipeServer{delay: 10 * time.Millisecond, head: ok})
			test.play(t.Context(), client)
			synctest.Wait()
			if !slices.Equal(*causes, test.want) {
				t.Errorf("%s: %v, want %v", test.name, *causes, test.want)
			}
			client.Sweep(func(string, string) bool { return false })
		})
	}
}

func TestStandingLeavesOutWhatHasExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, _ := openings(&pipeServer{head: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n"})
		peer := Peer{Address: "b:1", Instance: "i"}
		_ = call(t.Context(), client, false)
		if got := client.Standing()[peer]; got != 1 {
			t.Errorf("%d idle connections after a call, want 1", got)
		}
		time.Sleep(5 * time.Second)
		if got := client.Standing()[peer]; got != 0 {
			t.Errorf("%d idle connections after their timeout, want 0", got)
		}
		client.Sweep(func(string, string) bool { return false })
	})
}

func TestShortFailureKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, causes := openings(&pipeServer{head: "HTTP/1.1 500 Internal Server Error\r\n"})
		for _, id := range []string{"a", "b"} {
			answer, err := client.Do(t.Context(), &Call{ID: id, Method: http.MethodGet, Target: "/", Address: "b:1"})
			if err != nil {
				t.Fatal(err)
			}
			if err := answer.Drain(); err != nil {
				t.Fatal(err)
			}
			_ = answer.Body.Close()
		}
		if !slices.Equal(*causes, []OpenCause{OpenFirst}) {
			t.Errorf("connections opened for %v, want one for %q", *causes, OpenFirst)
		}
		client.Sweep(func(string, string) bool { return false })
	})
}

func TestIdleConnectionThatTheBackEndClosed(t *testing.T) {
	server := newScriptedServer(t)
	var causes []OpenCause
	client := NewClient(Config{Codec: testCodec{}, OnOpen: func(o Opening) { causes = append(causes, o.Cause) }})
	address := server.listener.Addr().String()
	server.answers <- "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n|reset"
	_ = callOnce(client, address, "a")
	time.Sleep(200 * time.Millisecond)
	server.answers <- "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n"
	if got := callOnce(client, address, "b"); got != `fate answered 200 ""` {
		t.Errorf("second call: %s", got)
	}
	if !slices.Equal(causes, []OpenCause{OpenFirst, OpenClosed}) {
		t.Errorf("connections opened for %v, want %v", causes, []OpenCause{OpenFirst, OpenClosed})
	}
}

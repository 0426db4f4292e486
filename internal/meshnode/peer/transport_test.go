package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/memnet"
)

type text struct {
	Value string `json:"value"`
}

func quietLogger() logrus.FieldLogger {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	return lg
}

// newNode returns a started transport of host name, which the end of the test
// closes, with the handlers "echo", "panic" and "slow" (answers just after its
// caller gave up).
func newNode(t *testing.T, network *memnet.Network, name string, incarnation int64, limits Limits) *Transport {
	t.Helper()
	listener, err := network.Listen(name + ":1")
	if err != nil {
		t.Fatal(err)
	}
	transport := NewTransport(quietLogger(), Config{Node: name, Incarnation: incarnation, Listener: listener, Dial: network.Dialer(name), Limits: limits})
	transport.Handle("echo", func(_ context.Context, from string, body json.RawMessage) (any, error) {
		var got text
		if err := json.Unmarshal(body, &got); err != nil {
			return nil, err
		}
		return text{from + ":" + got.Value}, nil
	})
	transport.Handle("panic", func(context.Context, string, json.RawMessage) (any, error) { panic("broken") })
	transport.Handle("slow", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		time.Sleep(time.Millisecond)
		return nil, ctx.Err()
	})
	transport.Start()
	t.Cleanup(func() { transport.Close() })
	return transport
}

// newPair returns nodes a and b on a network of their own.
func newPair(t *testing.T, limits Limits) (network *memnet.Network, a, b *Transport) {
	t.Helper()
	network = memnet.NewNetwork()
	return network, newNode(t, network, "a", 1, limits), newNode(t, network, "b", 1, limits)
}

func callText(transport *Transport, address string, kind Kind, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var answer text
	err := transport.Call(ctx, address, kind, text{"x"}, &answer)
	return answer.Value, err
}

func TestCallOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := newPair(t, Limits{LineBytes: 1 << 10})

		for _, c := range []struct {
			from    *Transport
			address string
			kind    Kind
			want    string
			err     error
		}{
			{a, "b:1", "echo", "a:x", nil},
			{b, "a:1", "echo", "b:x", nil},
			{a, "a:1", "echo", "a:x", nil},
			{a, "b:1", "panic", "", ErrRemote},
			{a, "b:1", "unheard-of", "", ErrRemote},
			{a, "b:1", "slow", "", ErrNoAnswer},
			{a, "nobody:1", "echo", "", ErrNotSent},
			{a, "nobody:1", "echo", "", errBackoff},
		} {
			got, err := callText(c.from, c.address, c.kind, time.Second)
			if got != c.want || !errors.Is(err, c.err) {
				t.Errorf("%s %s: got %q, %v; want %q, %v", c.address, c.kind, got, err, c.want, c.err)
			}
		}
		if err := a.Call(t.Context(), "b:1", "echo", text{strings.Repeat("x", 1<<10)}, nil); !errors.Is(err, ErrTooLarge) {
			t.Errorf("large call: %v", err)
		}
		// b's calls went over the connection that a had opened.
		if stats := b.Stats(); stats.Dials != 0 || stats.HandlerPanics != 1 || stats.Kinds["echo"].MessagesIn != 2 {
			t.Errorf("stats of b: %+v", stats)
		}
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(b)
		if _, err := registry.Gather(); err != nil {
			t.Error(err)
		}
	})
}

func TestCutThenHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _ := newPair(t, Limits{})
		go func() {
			time.Sleep(time.Second)
			network.Cut("a", "b")
		}()
		if _, err := callText(a, "b:1", "slow", time.Minute); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("cut during a call: %v", err)
		}
		if _, err := callText(a, "b:1", "echo", time.Second); !errors.Is(err, ErrNotSent) {
			t.Errorf("call over a cut link: %v", err)
		}
		network.Heal("a", "b")
		time.Sleep(5 * time.Second)
		if got, err := callText(a, "b:1", "echo", time.Second); got != "a:x" {
			t.Errorf("after healing: %v", err)
		}
	})
}

func TestIdleConnectionsClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := newPair(t, Limits{})
		if _, err := callText(a, "b:1", "echo", time.Second); err != nil {
			t.Fatal(err)
		}
		if a.Stats().Connections != 1 {
			t.Fatalf("%+v", a.Stats())
		}
		time.Sleep(time.Minute)
		if a.Stats().Connections != 0 || b.Stats().Connections != 0 {
			t.Errorf("still open: %+v, %+v", a.Stats(), b.Stats())
		}
		if _, err := callText(b, "a:1", "echo", time.Second); err != nil {
			t.Error(err)
		}
	})
}

// A peer that accepts and never reads must not hold up or grow the sender.
func TestQueueDropsOldestOneWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		a := newNode(t, network, "a", 1, Limits{QueueLength: 4})
		listener, err := network.Listen("stuck:1")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		for range 10 {
			a.Send("stuck:1", "echo", text{"x"})
		}
		if stats := a.Stats(); stats.Drops[DropQueueFull] != 6 {
			t.Errorf("%+v", stats.Drops)
		}
		if _, err := callText(a, "stuck:1", "echo", time.Second); !errors.Is(err, ErrNotSent) {
			t.Errorf("call to a stuck peer: %v", err)
		}
	})
}

// A new process at an old address must not get what was meant for the old one.
func TestRestartedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		a := newNode(t, network, "a", 1, Limits{})
		old := newNode(t, network, "b", 1, Limits{})
		release := make(chan struct{})
		var answered atomic.Int32
		a.handlers["late"] = func(context.Context, string, json.RawMessage) (any, error) {
			<-release
			answered.Add(1)
			return text{"for the old process"}, nil
		}
		go callText(old, "a:1", "late", time.Second)
		synctest.Wait()
		network.Kill("b")
		old.Close()

		restarted := newNode(t, network, "b", 2, Limits{})
		go func() {
			time.Sleep(100 * time.Millisecond)
			close(release)
		}()
		got, err := callText(restarted, "a:1", "slow", time.Second)
		if got != "" || err == nil || answered.Load() != 1 {
			t.Errorf("got %q, %v", got, err)
		}
	})
}

// A new process is reached though the connection of the old one is still open.
func TestRestartedPeerReplacesOpenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, old := newPair(t, Limits{})
		if _, err := callText(old, "a:1", "echo", time.Second); err != nil {
			t.Fatal(err)
		}
		old.cfg.Listener.Close()
		restarted := newNode(t, network, "b", 2, Limits{})
		restarted.handlers["new"] = func(context.Context, string, json.RawMessage) (any, error) { return text{"new"}, nil }
		if _, err := callText(restarted, "a:1", "echo", time.Second); err != nil {
			t.Fatal(err)
		}
		if got, err := callText(a, "b:1", "new", time.Second); got != "new" {
			t.Errorf("got %q, %v", got, err)
		}
	})
}

func TestMalformedLineCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		a := newNode(t, network, "a", 1, Limits{LineBytes: 1 << 10})
		const greeting = `{"protocol":"sliplift-peer","version":1,"node":"x","incarnation":1}` + "\n"
		for _, lines := range []string{
			"GET / HTTP/1.1\n",
			`{"protocol":"sliplift-peer","version":2,"node":"x"}` + "\n",
			greeting + "{\n",
			greeting + `{"kind":"echo","response":true}` + "\n",
			greeting + strings.Repeat("x", 5<<10) + "\n",
		} {
			conn, err := network.Dialer("x")(t.Context(), "tcp", "a:1")
			if err != nil {
				t.Fatal(err)
			}
			go io.WriteString(conn, lines)
			if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, io.ErrClosedPipe) {
				t.Error(err)
			}
			conn.Close()
		}
		synctest.Wait()
		if stats := a.Stats(); stats.Malformed != 5 || stats.Connections != 0 {
			t.Errorf("%+v", stats)
		}
	})
}

func TestOverTCP(t *testing.T) {
	start := func(name string) *Transport {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		transport := NewTransport(quietLogger(), Config{Node: name, Incarnation: 1, Listener: listener})
		transport.Handle("echo", func(_ context.Context, from string, _ json.RawMessage) (any, error) { return text{from}, nil })
		transport.Start()
		return transport
	}
	a, b := start("a"), start("b")
	defer a.Close()
	defer b.Close()
	for range 100 {
		if got, err := callText(a, b.Address(), "echo", 10*time.Second); got != "a" {
			t.Fatal(got, err)
		}
	}
	if dials := a.Stats().Dials; dials != 1 {
		t.Errorf("%d dials", dials)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	f.Add([]byte(`{"kind":"echo","id":7,"timeout_ms":100,"body":{"value":"x"}}`))
	f.Add([]byte(`{"kind":"echo","id":7,"response":true,"error":"no"}`))
	f.Add([]byte(`{"kind":""}`))
	f.Add([]byte(`[1`))
	f.Fuzz(func(t *testing.T, line []byte) {
		message, err := decodeMessage(line)
		if err != nil {
			return
		}
		encoded, err := encodeLine(message, 1<<30)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeMessage(encoded[:len(encoded)-1])
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		if second, err := encodeLine(again, 1<<30); err != nil || !bytes.Equal(second, encoded) {
			t.Fatalf("%s became %s: %v", encoded, second, err)
		}
	})
}

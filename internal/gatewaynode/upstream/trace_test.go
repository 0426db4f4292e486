package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
)

// ends is an Observer that records how calls ended.
type ends struct {
	mu   sync.Mutex
	list []string
}

func (e *ends) Begin(call *Call, _ func()) Trace { return &tracedCall{e, call.ID} }

type tracedCall struct {
	ends *ends
	id   string
}

func (c *tracedCall) Heard() {}

func (c *tracedCall) End(end End, status int) {
	c.ends.mu.Lock()
	defer c.ends.mu.Unlock()
	names := [...]string{"whole", "not run", "lost", "given up", "unusable"}
	c.ends.list = append(c.ends.list, fmt.Sprintf("%s %s %d", c.id, names[end], status))
}

// TestWitnessIsToldHowCallsEnd checks that calls that the backend broke off, that this node
// cancelled and that received a malformed answer are reported as different ends.
func TestWitnessIsToldHowCallsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := &ends{}
		client := NewClient(Config{Codec: testCodec{}, Observer: seen, Dialer: func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go answerByID(far)
			return near, nil
		}})
		for _, id := range []string{"whole", "cut", "short", "silent", "garbage"} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			answer, err := client.Do(ctx, &Call{
				ID: id, Method: http.MethodGet, Target: "/", Host: "h", Address: id, Instance: id, Work: fingerprint.Fingerprint{1},
			})
			if err == nil {
				_, _ = io.ReadAll(answer.Body)
				_ = answer.Body.Close()
			}
			cancel()
		}
		want := []string{"whole whole 200", "cut lost 0", "short lost 200", "silent given up 0", "garbage unusable 0"}
		if !slices.Equal(seen.list, want) {
			t.Errorf("ends %q, want %q", seen.list, want)
		}
	})
}

// answerByID serves one request in the way that its id names; any other id gets no answer.
func answerByID(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	id := request.Header.Get("Id")
	head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\n"
	switch id {
	case "whole":
		_, _ = io.WriteString(conn, head+"body")
	case "short":
		_, _ = io.WriteString(conn, head+"bo")
		_ = conn.Close()
	case "cut":
		_ = conn.Close()
	case "garbage":
		_, _ = io.WriteString(conn, "no answer at all\r\n\r\n")
		_ = conn.Close()
	}
}

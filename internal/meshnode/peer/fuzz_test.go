package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/memnet"
)

// FuzzInbound sends arbitrary bytes behind a greeting, or as one, to a node:
// what it answers is whole, asked for by an id, and never late because of an
// odd timeout, and other connections go on.
func FuzzInbound(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"left","id":7,"timeout_ms":100,"body":{"value":"x"}}` + "\n" + `{"kind":"echo","id":8,"body":3}`,
		`{"kind":"left","id":7,"timeout_ms":9223372036854775807}`, `{"kind":"panic","id":9}`, `{"kind":"slow"}`,
		`{"kind":"x","id":1,"response":true,"error":"no"}`, `{"kind":"\ud800","id":1}`, "null", "\n", "[1",
	} {
		f.Add(true, []byte(seed+"\n"))
	}
	f.Add(false, []byte(`{"protocol":"sliplift-peer","version":1,"node":"x","address":"\u0000"}`+"\n"))
	f.Fuzz(func(t *testing.T, greet bool, input []byte) {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.NewNetwork()
			a, b := newNode(t, network, "a", 1, Limits{LineBytes: 1 << 10}), newNode(t, network, "b", 1, Limits{})
			a.Handle("left", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) { return nil, ctx.Err() })
			conn, err := network.Dialer("x")(t.Context(), "tcp", "a:1")
			if err != nil {
				t.Fatal(err)
			}
			if greet {
				input = append([]byte(`{"protocol":"sliplift-peer","version":1,"node":"x"}`+"\n"), input...)
			}
			go conn.Write(input)
			time.AfterFunc(time.Minute, func() { conn.Close() })
			answers, _ := io.ReadAll(conn)
			for i, line := range bytes.SplitAfter(answers, []byte("\n")) {
				if i == 0 || len(line) == 0 {
					continue
				}
				message, err := decodeMessage(bytes.TrimSuffix(line, []byte("\n")))
				if err != nil || !message.Response || message.Kind == "left" && message.Error != "" {
					t.Errorf("answer %q: %v", line, err)
				}
			}
			if got, err := callText(b, "a:1", "echo", time.Second); got != "b:x" {
				t.Errorf("afterwards %q, %v", got, err)
			}
		})
	})
}

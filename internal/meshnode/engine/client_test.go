package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

const (
	hostName = "engine"
	address  = hostName + ":80"
)

// serve runs handler at address until the test's bubble ends.
func serve(t *testing.T, network *memnet.Network, handler http.HandlerFunc) {
	listener, err := network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
}

func clientOf(t *testing.T, network *memnet.Network) *Client {
	transport := &http.Transport{DialContext: network.Dialer("node")}
	t.Cleanup(transport.CloseIdleConnections)
	return NewClient(&http.Client{Transport: transport})
}

func readBody(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }

// brokenRefusal answers that the back end is full, in a head that is not valid.
func brokenRefusal(w http.ResponseWriter, r *http.Request) {
	readBody(r)
	content, err := json.Marshal(api.Refusal(http.StatusTooManyRequests, api.CodeOverloaded, 10, "full"))
	if err != nil {
		panic(err)
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 429 Too Many Requests\r\nMy Field: x\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
}

// TestFate shows how far each failure lets the client say that a request came.
// Only the states not_sent and refused say that it did not run.
func TestFate(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	answer := func(err *api.Error) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { httpjson.WriteError(w, err) }
	}
	silence := func(_ http.ResponseWriter, r *http.Request) {
		readBody(r)
		<-r.Context().Done()
	}
	bare503 := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	unknown := &api.Error{Code: api.CodeBackendFailed, Outcome: api.OutcomeUnknown, Status: http.StatusServiceUnavailable}
	// The same attempt may be known there already.
	conflict := api.Refusal(http.StatusConflict, api.CodeInvalid, 0, "duplicate")
	cases := []struct {
		name    string
		handler http.HandlerFunc
		cut     bool
		state   State
	}{
		{name: "nobody listens", state: StateNotSent},
		{name: "no route", cut: true, handler: abort, state: StateNotSent},
		{name: "engine full", handler: answer(api.Refusal(http.StatusTooManyRequests, api.CodeOverloaded, 10, "full")), state: StateRefused},
		{name: "503 with another outcome", handler: answer(unknown), state: StatePartial},
		{name: "conflict that says refused", handler: answer(conflict), state: StatePartial},
		{name: "503 without a reason", handler: bare503, state: StatePartial},
		{name: "connection closed before an answer", handler: abort, state: StatePartial},
		{name: "no answer in time", handler: silence, state: StatePartial},
		{name: "engine full, with a blank in a field's name", handler: brokenRefusal, state: StatePartial},
		{name: "redirect", handler: http.RedirectHandler("/other", http.StatusTemporaryRedirect).ServeHTTP, state: StatePartial},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.NewNetwork()
				var calls atomic.Int64
				if c.handler != nil {
					serve(t, network, func(w http.ResponseWriter, r *http.Request) {
						calls.Add(1)
						c.handler(w, r)
					})
				}
				if c.cut {
					network.Cut("node", hostName)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				client := clientOf(t, network)
				generated := client.Generate(ctx, address, api.GenerateRequest{RequestID: "r"}, nil)
				if generated.State != c.state || generated.Err == nil {
					t.Errorf("generate: state %s (%v), want %s", generated.State, generated.Err, c.state)
				}
				ctx, cancel = context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				invoked := client.Invoke(ctx, address, api.InvokeRequest{RequestID: "r"})
				if invoked.State != c.state || invoked.Err == nil {
					t.Errorf("invoke: state %s (%v), want %s", invoked.State, invoked.Err, c.state)
				}
				if calls.Load() > 2 {
					t.Errorf("%d calls reached the back end for two requests", calls.Load())
				}
			})
		})
	}
}

// TestReusedConnectionBreaks sends on a connection that the back end closed
// meanwhile: the client must not say that the request did not run.
func TestReusedConnectionBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		calls := 0
		serve(t, network, func(w http.ResponseWriter, r *http.Request) {
			readBody(r)
			calls++
			if calls > 1 {
				panic(http.ErrAbortHandler)
			}
			httpjson.Write(w, http.StatusOK, api.InvokeResponse{RequestID: "r", Checksum: checksumOf("")})
		})
		client := clientOf(t, network)
		first := client.Invoke(t.Context(), address, api.InvokeRequest{RequestID: "r"})
		if first.State != StateComplete {
			t.Fatalf("first: %s (%v)", first.State, first.Err)
		}
		second := client.Invoke(t.Context(), address, api.InvokeRequest{RequestID: "r"})
		if second.State != StatePartial || calls != 2 {
			t.Fatalf("second: %s after %d calls (%v)", second.State, calls, second.Err)
		}
	})
}

// TestInvokeChecks refuses answers to other requests and corrupt ones.
func TestInvokeChecks(t *testing.T) {
	cases := []struct {
		name   string
		answer api.InvokeResponse
		state  State
	}{
		{"whole", api.InvokeResponse{RequestID: "r", Body: "b", Checksum: checksumOf("b")}, StateComplete},
		{"corrupt", api.InvokeResponse{RequestID: "r", Body: "b", Checksum: checksumOf("c")}, StatePartial},
		{"of another request", api.InvokeResponse{RequestID: "q", Body: "b", Checksum: checksumOf("b")}, StatePartial},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.NewNetwork()
				serve(t, network, func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, c.answer) })
				result := clientOf(t, network).Invoke(t.Context(), address, api.InvokeRequest{RequestID: "r"})
				if result.State != c.state {
					t.Errorf("state %s (%v), want %s", result.State, result.Err, c.state)
				}
				if c.state != StateComplete && result.Body != "" {
					t.Errorf("body %q was handed on", result.Body)
				}
			})
		})
	}
}

// TestControlErrors tells a definite answer from an open effect.
func TestControlErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		serve(t, network, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/orders" {
				httpjson.WriteError(w, api.Refusal(http.StatusConflict, api.CodeFenced, 0, "epoch 3 was seen"))
				return
			}
			panic(http.ErrAbortHandler)
		})
		client := clientOf(t, network)
		var answer *api.Error
		_, err := client.Order(t.Context(), address, api.Order{Epoch: 2})
		if !errors.As(err, &answer) || answer.Code != api.CodeFenced || answer.Status != http.StatusConflict {
			t.Errorf("order: %v", err)
		}
		answer = nil
		_, err = client.Export(t.Context(), address, api.CancelRequest{})
		if err == nil || errors.As(err, &answer) {
			t.Errorf("export: %v", err)
		}
	})
}

func checksumOf(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// TestEndlessStreamIsCut guards against an engine that sends frames as fast as they are read and never
// ends: their text took the node's memory until the end of the request.
func TestEndlessStreamIsCut(t *testing.T) {
	for name, frame := range map[string]func(sequence int64) api.StreamFrame{
		"text": func(sequence int64) api.StreamFrame {
			return api.StreamFrame{RequestID: "r", Sequence: sequence, Text: strings.Repeat("x", 4096)}
		},
		"versions": func(sequence int64) api.StreamFrame {
			return api.StreamFrame{RequestID: "r", Sequence: sequence, Tokens: 1, Version: sequence}
		},
		"frames of another request": func(sequence int64) api.StreamFrame {
			return api.StreamFrame{RequestID: "other", Sequence: sequence, Text: strings.Repeat("x", 4096)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.NewNetwork()
				var taken atomic.Int64
				serve(t, network, func(w http.ResponseWriter, r *http.Request) {
					readBody(r)
					for sequence := int64(0); taken.Load() < 4*answerLimit; sequence++ {
						content, err := json.Marshal(frame(sequence))
						if err != nil {
							panic(err)
						}
						written, err := w.Write(append(content, '\n'))
						if err != nil {
							return
						}
						taken.Add(int64(written))
					}
					<-r.Context().Done()
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				result := clientOf(t, network).Generate(ctx, address, api.GenerateRequest{RequestID: "r"}, nil)
				if result.State != StatePartial || !errors.Is(result.Err, ErrCut) || ctx.Err() != nil {
					t.Errorf("state %s, %v; want a stream that was cut", result.State, result.Err)
				}
				if got := taken.Load(); got > answerLimit+answerLimit/16 {
					t.Errorf("%d bytes were taken, want %d at most", got, answerLimit)
				}
			})
		})
	}
}

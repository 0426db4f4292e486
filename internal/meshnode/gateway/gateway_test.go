package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
)

// fakeLive answers by the prompt; "slow" takes a second.
type fakeLive struct{}

func (fakeLive) Do(ctx context.Context, request dispatch.Request) dispatch.Result {
	result := dispatch.Result{RequestID: request.RequestID, Outcome: api.OutcomeCompleted, Text: "t", Backend: "a", Attempts: 1}
	switch request.Prompt {
	case "panic":
		panic("broken invariant")
	case "unknown":
		result.Outcome = api.OutcomeUnknown
		result.Err = &api.Error{Code: api.CodeBackendFailed, Outcome: api.OutcomeUnknown, Status: http.StatusBadGateway}
	case "full":
		result.Outcome = api.OutcomeRefused
		result.Err = api.Refusal(http.StatusTooManyRequests, api.CodeOverloaded, 1200, "full")
	case "slow":
		time.Sleep(time.Second)
	}
	return result
}

// fakeSteps shows what it was asked; a pull waits for its whole wait.
type fakeSteps struct{}

func (fakeSteps) Post(_ context.Context, trainer string, step int64, request api.StepRequest) (api.StepResponse, *api.Error) {
	return api.StepResponse{Trainer: trainer, Step: step, Samples: request.SampleCount()}, nil
}

func (fakeSteps) Pull(ctx context.Context, _ string, _ int64, query PullQuery) (api.PullResponse, *api.Error) {
	if query.Cursor == 9 {
		return api.PullResponse{}, api.Refusal(http.StatusBadRequest, api.CodeCursorOutOfRange, 0, "cursor")
	}
	select {
	case <-time.After(query.Wait):
	case <-ctx.Done():
	}
	return api.PullResponse{NextCursor: query.Cursor + int64(query.Limit), Epoch: query.Version}, nil
}

func (fakeSteps) Ack(_ context.Context, _ string, _ int64, cursor int64) (api.AckResponse, *api.Error) {
	return api.AckResponse{Cursor: cursor}, nil
}

func (fakeSteps) Publish(_ context.Context, _ string, request api.VersionRequest) (api.VersionResponse, *api.Error) {
	return api.VersionResponse{Pool: request.Pool, Version: request.Version}, nil
}

type fakePools struct{}

func (fakePools) Pool(name string) (configlog.Pool, bool) {
	switch name {
	case "engines":
		return configlog.Pool{Name: name, Kind: configlog.PoolEngines, VersionBound: 3}, true
	case "app":
		return configlog.Pool{Name: name, Kind: configlog.PoolApplications}, true
	}
	return configlog.Pool{}, false
}

type readiness struct{ err error }

func (r *readiness) Ready() error { return r.err }

func newServer(ready *readiness, logs io.Writer) *Server {
	lg := logrus.New()
	lg.SetOutput(logs)
	lg.SetFormatter(&logrus.JSONFormatter{})
	services := Services{Live: fakeLive{}, Steps: fakeSteps{}, Pools: fakePools{}, Readiness: ready}
	return NewServer(lg, Config{BodyLimit: 4096, MaxSamples: 100}, services, prometheus.NewRegistry())
}

// send hands a request to the handler and returns the recorded answer.
func send(handler http.Handler, method, target, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorder
}

// TestContract sends each request of the table "METHOD PATH" with its body. A
// body that begins with "+" changes the fields of a valid one; "-" omits it.
func TestContract(t *testing.T) {
	datadriven.Walk(t, "testdata/contract", func(t *testing.T, path string) {
		ready := &readiness{}
		server := newServer(ready, io.Discard)
		valid := map[string]any{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "valid":
				clear(valid)
				decode(t, d.Input, &valid)
				return ""
			case "not-ready":
				ready.err = errors.New("no configuration yet")
				return ""
			case "stop":
				server.BeginStop()
				return ""
			case "send":
				return sendAll(t, server.Handler(), d, valid)
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func decode(t *testing.T, text string, target any) {
	if err := json.Unmarshal([]byte(text), target); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
}

// sendAll sends one request a line of the input and shows the answers.
func sendAll(t *testing.T, handler http.Handler, d *datadriven.TestData, valid map[string]any) string {
	method, path := d.CmdArgs[0].Key, d.CmdArgs[1].String()
	var out strings.Builder
	for line := range strings.Lines(d.Input) {
		line = strings.TrimSpace(line)
		body, target := line, path
		if change, ok := strings.CutPrefix(line, "+"); ok {
			body = changed(t, valid, change)
		}
		if query, ok := strings.CutPrefix(line, "?"); ok {
			body, target = "", path+"?"+query
		}
		if line == "oversize" {
			body = changed(t, valid, `{"prompt":"`+strings.Repeat("x", 5000)+`"}`)
		}
		recorder := send(handler, method, target, body)
		fmt.Fprintf(&out, "%d %s\n", recorder.Code, answerText(recorder))
	}
	return out.String()
}

func changed(t *testing.T, valid map[string]any, change string) string {
	body := maps.Clone(valid)
	decode(t, change, &body)
	maps.DeleteFunc(body, func(_ string, value any) bool { return value == nil })
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

func answerText(recorder *httptest.ResponseRecorder) string {
	if recorder.Code == http.StatusOK {
		return strings.TrimSpace(recorder.Body.String())
	}
	var failure api.Error
	if err := json.Unmarshal(recorder.Body.Bytes(), &failure); err != nil {
		return "not an api.Error: " + recorder.Body.String()
	}
	text := fmt.Sprintf("%s %s: %s", failure.Outcome, failure.Code, failure.Message)
	if after := recorder.Header().Get("Retry-After"); after != "" {
		text += fmt.Sprintf(" (Retry-After %s, retry_after_ms %d)", after, failure.RetryAfterMS)
	}
	return text
}

// TestLog checks the one line that a request leaves.
func TestLog(t *testing.T) {
	var logs bytes.Buffer
	server := newServer(&readiness{}, &logs)
	body := `{"request_id":"r","pool":"app","deadline_ms":1000,"repeatable":true,"prompt":"unknown"}`
	send(server.Handler(), http.MethodPost, "/v1/requests", body)
	line := map[string]any{}
	decode(t, logs.String(), &line)
	for name, want := range map[string]any{
		"request_id": "r", "pool": "app", "backend": "a", "outcome": "unknown", "attempts": 1.0, "code": "backend_failed", "operation": "live",
	} {
		if line[name] != want {
			t.Errorf("%s: %v, want %v", name, line[name], want)
		}
	}
	if _, ok := line["duration_ms"]; !ok {
		t.Error("no duration_ms")
	}
}

// TestMetrics checks the counters after a whole answer and a panic.
func TestMetrics(t *testing.T) {
	server := newServer(&readiness{}, io.Discard)
	for _, prompt := range []string{"x", "panic"} {
		body := fmt.Sprintf(`{"pool":"app","deadline_ms":1000,"repeatable":true,"prompt":%q}`, prompt)
		send(server.Handler(), http.MethodPost, "/v1/requests", body)
	}
	recorder := send(server.Handler(), http.MethodGet, "/metrics", "")
	for _, want := range []string{
		`sliplift_gateway_requests_total{operation="live",outcome="completed",pool="app"} 1`,
		`sliplift_gateway_requests_total{operation="live",outcome="unknown",pool="app"} 1`,
		`sliplift_gateway_request_duration_seconds_count{operation="live",pool="app"} 2`,
		"sliplift_gateway_requests_in_flight 0",
		"sliplift_gateway_panics_total 1",
	} {
		if !strings.Contains(recorder.Body.String(), want+"\n") {
			t.Errorf("no %s", want)
		}
	}
}

// TestDuplicateRequestID refuses a request id that is in flight.
func TestDuplicateRequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(&readiness{}, io.Discard)
		body := `{"request_id":"r","pool":"app","deadline_ms":5000,"repeatable":true,"prompt":"slow"}`
		post := func() int { return send(server.Handler(), http.MethodPost, "/v1/requests", body).Code }
		first := make(chan int)
		go func() { first <- post() }()
		synctest.Wait()
		if second, status := post(), <-first; second != http.StatusConflict || status != http.StatusOK {
			t.Errorf("first %d, second %d", status, second)
		}
		if third := post(); third != http.StatusOK {
			t.Errorf("third %d", third)
		}
	})
}

// TestDrainedNodeGoesOnWithItsSteps covers a node that an operator drained: it
// takes no new work, and trainers still get the samples of the steps it owns.
func TestDrainedNodeGoesOnWithItsSteps(t *testing.T) {
	handler := newServer(&readiness{err: errors.New("drained")}, io.Discard).Handler()
	for _, c := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/v1/trainers/t/steps/1/samples?cursor=0&version=1&limit=1", "", http.StatusOK},
		{"POST", "/v1/trainers/t/steps/1/ack", `{"cursor":1}`, http.StatusOK},
		{"POST", "/v1/trainers/t/steps/2", `{}`, http.StatusServiceUnavailable},
		{"POST", "/v1/requests", `{}`, http.StatusServiceUnavailable},
	} {
		recorder := send(handler, c.method, c.path, c.body)
		if recorder.Code != c.status {
			t.Errorf("%s %s: status %d, want %d: %s", c.method, c.path, recorder.Code, c.status, recorder.Body)
		}
	}
}

func TestInFlightLimit(t *testing.T) {
	server := newServer(&readiness{}, io.Discard)
	server.cfg.InFlightLimit = 1
	server.live.enter("in flight")
	body := `{"pool":"app","deadline_ms":1000,"repeatable":true}`
	recorder := send(server.Handler(), http.MethodPost, "/v1/requests", body)
	if recorder.Code != http.StatusTooManyRequests || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q: %s", recorder.Code, recorder.Header().Get("Retry-After"), recorder.Body)
	}
}

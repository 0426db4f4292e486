package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
)

// reachedLive completes every request and keeps the last.
type reachedLive struct{ request *dispatch.Request }

func (l *reachedLive) Do(_ context.Context, request dispatch.Request) dispatch.Result {
	l.request = &request
	return dispatch.Result{RequestID: request.RequestID, Outcome: api.OutcomeCompleted}
}

// FuzzRoutes sends arbitrary paths, queries and bodies: every answer is a
// success or a typed error, nothing panics, and what is refused or out of
// bounds has not reached the live service.
func FuzzRoutes(f *testing.F) {
	const live = `{"pool":"engines","deadline_ms":9,"repeatable":true,"max_tokens":1,"prompt":"p"}`
	f.Add("POST", "/v1/requests", "", []byte(live))
	f.Add("POST", "//v1/requests", "", []byte(live))
	f.Add("GET", "*", "", []byte{})
	f.Add("POST", "/v1/trainers/t/steps/1", "", []byte(`{"pool":"engines","prompts":["p"],"samples_per_prompt":2,"max_tokens":3}`))
	f.Add("POST", "/v1/trainers/%ff/steps/1", "", []byte(`{"pool":"engines","prompts":["p"],"samples_per_prompt":2,"max_tokens":3}`))
	f.Add("GET", "/v1/trainers/t/steps/2/samples", "cursor=9&version=1&limit=3&wait_ms=60000", []byte{})
	f.Add("GET", "/v1/trainers/t/steps/2/samples", "cursor=%zz;a", []byte{})
	f.Add("POST", "/v1/trainers/t/steps/2/ack", "", []byte(`{"cursor":3}`))
	f.Add("POST", "/v1/trainers/t%2Fu/versions", "", []byte(`{"pool":"engines","version":4}`))
	f.Add("GET", "/readyz", "", []byte{})
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	service := &reachedLive{}
	server := NewServer(lg, Config{BodyLimit: 4096}, Services{Live: service, Steps: fakeSteps{}, Pools: fakePools{}}, prometheus.NewRegistry())
	ended, end := context.WithCancel(context.Background())
	end()
	f.Fuzz(func(t *testing.T, method, target, query string, body []byte) {
		service.request = nil
		at := &url.URL{Path: target, RawQuery: query}
		if path, err := url.PathUnescape(target); err == nil {
			at.Path, at.RawPath = path, target
		}
		request := &http.Request{Method: method, URL: at, RequestURI: target, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}
		// A pull does not wait, because its caller is gone.
		request = request.WithContext(ended)
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, request)
		if recorder.Code == http.StatusOK {
			checkReached(t, service.request)
			var step api.StepResponse
			if target := request.PathValue("trainer"); json.Unmarshal(recorder.Body.Bytes(), &step) == nil && step.Trainer != "" && step.Trainer != target {
				t.Fatalf("trainer %q became %q", target, step.Trainer)
			}
			return
		}
		var failure api.Error
		if err := json.Unmarshal(recorder.Body.Bytes(), &failure); err != nil || failure.Code == "" || recorder.Code < 400 {
			t.Fatalf("%d %q: %v", recorder.Code, recorder.Body, err)
		}
		if failure.Outcome != api.OutcomeRefused || service.request != nil {
			t.Fatalf("%d %s, reached %t", recorder.Code, recorder.Body, service.request != nil)
		}
	})
}

func checkReached(t *testing.T, request *dispatch.Request) {
	if request == nil {
		return
	}
	left := time.Until(request.Deadline)
	if request.RequestID == "" || !request.Repeatable && request.IdempotencyKey == "" || left > time.Hour || left < -time.Minute ||
		request.MaxTokens < 0 || request.Priority < api.PriorityLive || request.Priority > api.PriorityLowest {
		t.Fatalf("let through %+v", request)
	}
}

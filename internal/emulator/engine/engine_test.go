package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/weight"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/memnet"
)

// recorder is a history.Sink that keeps the events.
type recorder struct {
	mu     sync.Mutex
	events []history.Event
}

func (r *recorder) Record(event history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

// ended returns the end of the only stream of that request on the engine.
func (r *recorder) ended(t *testing.T, engineName, requestID string) history.Event {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []history.Event
	for _, event := range r.events {
		if event.Kind == history.KindStreamEnded && event.Process == engineName && event.RequestID == requestID {
			found = append(found, event)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%s: %d ends of %s", engineName, len(found), requestID)
	}
	return found[0]
}

// fixture is two engines, a weight store and a client on a network in memory.
type fixture struct {
	t       *testing.T
	network *memnet.Network
	client  *http.Client
	faults  *fault.Set
	weights *weight.Service
	truth   *recorder
}

// run calls test inside a bubble with engines "left" and "right".
func run(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, network: memnet.NewNetwork(), faults: fault.NewSet(1), truth: &recorder{}}
		f.weights = weight.NewService(weight.Config{Name: "weights", ConcurrentPulls: 1, BytesPerSecond: 10}, f.faults)
		transport := &http.Transport{DialContext: f.network.Dialer("client")}
		f.client = &http.Client{Transport: transport}
		lg := logrus.New()
		lg.SetOutput(io.Discard)
		for _, name := range []string{"left", "right"} {
			config := engine.DefaultConfig(name)
			config.Address = name + ":1"
			config.CacheEventLoss = 0.3
			config.Batch.QueueLimit = 1
			config.Batch.Capacity = 2
			config.Batch.Lengths.Sigma = 0
			running, err := engine.Start(lg, config, engine.Dependencies{
				Listen: f.network.Listen, Faults: f.faults, Weights: f.weights, Sink: f.truth,
			})
			if err != nil {
				t.Fatal(err)
			}
			defer running.Close()
		}
		defer f.faults.Close()
		defer transport.CloseIdleConnections()
		test(t, f)
	})
}

func (f *fixture) post(ctx context.Context, engineName, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engineName+":1"+path, bytes.NewReader(encoded))
	if err != nil {
		f.t.Fatal(err)
	}
	return f.client.Do(request)
}

// call posts body, decodes the answer into value and returns the status and,
// of an error, the code.
func (f *fixture) call(engineName, path string, body, value any) (int, api.Code) {
	f.t.Helper()
	response, err := f.post(context.Background(), engineName, path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var failure api.Error
	if response.StatusCode != http.StatusOK {
		value = &failure
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode, failure.Code
}

func (f *fixture) order(engineName string, order api.Order) (int, api.Code) {
	f.t.Helper()
	var response api.OrderResponse
	return f.call(engineName, "/v1/orders", order, &response)
}

func (f *fixture) load(engineName string) api.LoadReport {
	f.t.Helper()
	response, err := f.client.Get("http://" + engineName + ":1/v1/load")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var report api.LoadReport
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		f.t.Fatal(err)
	}
	return report
}

// answer is a stream as its client received it.
type answer struct {
	status int
	code   api.Code
	frames []api.StreamFrame
	// err is set if the stream broke before its last frame.
	err error
}

func (a answer) text() string {
	var text string
	for _, frame := range a.frames {
		text += frame.Text
	}
	return text
}

func (a answer) last() api.StreamFrame { return a.frames[len(a.frames)-1] }

// segments joins neighbouring frames of one version.
func (a answer) segments(engineName string) []api.Segment {
	var segments []api.Segment
	for _, frame := range a.frames {
		last := len(segments) - 1
		switch {
		case frame.Tokens == 0:
		case last >= 0 && segments[last].Version == frame.Version:
			segments[last].Tokens += frame.Tokens
		default:
			segments = append(segments, api.Segment{Version: frame.Version, Tokens: frame.Tokens, Engine: engineName})
		}
	}
	return segments
}

func (f *fixture) generate(ctx context.Context, engineName string, request api.GenerateRequest) answer {
	response, err := f.post(ctx, engineName, "/v1/generate", request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	result := answer{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		var failure api.Error
		result.err = json.NewDecoder(response.Body).Decode(&failure)
		result.code = failure.Code
		return result
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var frame api.StreamFrame
		if result.err = decoder.Decode(&frame); result.err != nil {
			if errors.Is(result.err, io.EOF) {
				result.err = nil
			}
			return result
		}
		result.frames = append(result.frames, frame)
	}
}

// start generates in the background and returns where the answer comes.
func (f *fixture) start(ctx context.Context, engineName string, request api.GenerateRequest) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- f.generate(ctx, engineName, request) }()
	return answers
}

func request(id string) api.GenerateRequest {
	return api.GenerateRequest{RequestID: id, Attempt: 1, Pool: "language", Prompt: "a prompt of some length", MaxTokens: 500}
}

func hash(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// checkWhole fails unless the answer is whole and agrees with the truth.
func (f *fixture) checkWhole(engineName string, a answer) {
	f.t.Helper()
	if a.status != http.StatusOK || a.err != nil || len(a.frames) == 0 {
		f.t.Fatalf("status %d, %d frames, error %v", a.status, len(a.frames), a.err)
	}
	for i, frame := range a.frames {
		if frame.Sequence != int64(i) || frame.Done != (i == len(a.frames)-1) {
			f.t.Fatalf("frame %d: sequence %d, done %v", i, frame.Sequence, frame.Done)
		}
	}
	truth := f.truth.ended(f.t, engineName, a.last().RequestID)
	segments := a.segments(engineName)
	if fmt.Sprint(truth.Segments) != fmt.Sprint(segments) {
		f.t.Errorf("segments %v, in truth %v", segments, truth.Segments)
	}
	if sum := hash(a.text()); sum != truth.Checksum || sum != a.last().Checksum {
		f.t.Errorf("checksum %s, frame says %s, in truth %s", sum, a.last().Checksum, truth.Checksum)
	}
}

func TestStreamNamesVersionsAcrossSwap(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		if err := f.weights.PutWeights(t.Context(), api.WeightVersion{Model: "language", Version: 2, Bytes: 1}); err != nil {
			t.Fatal(err)
		}
		answers := f.start(t.Context(), "left", request("r1"))
		if status, code := f.order("left", api.Order{Epoch: 1, Kind: api.OrderLoadVersion, Version: 2}); status != http.StatusOK {
			t.Fatal(status, code)
		}
		a := <-answers
		f.checkWhole("left", a)
		segments := a.segments("left")
		if len(segments) != 2 || segments[0].Version != 1 || segments[1].Version != 2 || a.last().TotalTokens != 60 {
			t.Errorf("segments %v of %d tokens", segments, a.last().TotalTokens)
		}
	})
}

func TestExportAndResumeYieldTheSameText(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		whole := f.generate(t.Context(), "right", request("r1"))
		f.checkWhole("right", whole)

		first := f.start(t.Context(), "left", request("r1"))
		time.Sleep(300 * time.Millisecond)
		var state api.KVState
		if status, code := f.call("left", "/v1/kv/export", api.CancelRequest{RequestID: "r1", Attempt: 1}, &state); status != http.StatusOK {
			t.Fatal(status, code)
		}
		exported := <-first
		f.checkWhole("left", exported)
		if exported.last().FinishReason != api.FinishExported || exported.text() != state.Text || state.Tokens == 0 {
			t.Fatalf("exported %+v after %q", state, exported.text())
		}

		second := request("r1")
		second.Attempt = 2
		second.Resume = &state
		resumed := f.generate(t.Context(), "right", second)
		if got := state.Text + resumed.text(); got != whole.text() {
			t.Errorf("resumed text\n%q and not\n%q", got, whole.text())
		}
		if total := resumed.last().TotalTokens; total+state.Tokens != whole.last().TotalTokens {
			t.Errorf("%d tokens after %d", total, state.Tokens)
		}
		if status, code := f.call("left", "/v1/kv/export", api.CancelRequest{RequestID: "r1", Attempt: 1}, &state); status != http.StatusNotFound {
			t.Errorf("second export: %d %s", status, code)
		}
	})
}

func TestCancelledByOrderAndByLostClient(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		answers := f.start(t.Context(), "left", request("r1"))
		time.Sleep(200 * time.Millisecond)
		var cancelled api.CancelResponse
		f.call("left", "/v1/cancel", api.CancelRequest{RequestID: "r1", Attempt: 1}, &cancelled)
		a := <-answers
		f.checkWhole("left", a)
		if !cancelled.Cancelled || a.last().FinishReason != api.FinishCancelled {
			t.Errorf("cancelled %v, reason %s", cancelled.Cancelled, a.last().FinishReason)
		}

		ctx, cancel := context.WithCancel(t.Context())
		answers = f.start(ctx, "left", request("r2"))
		time.Sleep(200 * time.Millisecond)
		cancel()
		<-answers
		synctest.Wait()
		if truth := f.truth.ended(t, "left", "r2"); truth.FinishReason != api.FinishCancelled {
			t.Errorf("reason %s", truth.FinishReason)
		}
	})
}

func TestOrdersAreFenced(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		running := f.start(t.Context(), "left", request("r1"))
		time.Sleep(100 * time.Millisecond)
		steps := []struct {
			order  api.Order
			status int
			code   api.Code
		}{
			{api.Order{Epoch: 5, Kind: api.OrderSetRole, Role: api.RoleDraining}, http.StatusOK, ""},
			{api.Order{Epoch: 4, Kind: api.OrderSetRole, Role: api.RoleServing}, http.StatusConflict, api.CodeFenced},
			{api.Order{Epoch: 4, Kind: api.OrderLoadVersion, Version: 9}, http.StatusConflict, api.CodeFenced},
			{api.Order{Epoch: 5, Kind: "reboot"}, http.StatusBadRequest, api.CodeInvalid},
		}
		for _, step := range steps {
			if status, code := f.order("left", step.order); status != step.status || code != step.code {
				t.Errorf("%+v: %d %s", step.order, status, code)
			}
		}
		if a := f.generate(t.Context(), "left", request("r2")); a.status != http.StatusServiceUnavailable || a.code != api.CodeNoBackend {
			t.Errorf("draining engine answered %d %s", a.status, a.code)
		}
		f.checkWhole("left", <-running)
		time.Sleep(time.Second)
		if report := f.load("left"); report.Role != api.RoleDraining || report.OrderEpoch != 5 {
			t.Errorf("report %+v", report)
		}
	})
}

// TestLoads follows loads that wait for the store, fail and get lost.
func TestLoads(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		for version := int64(2); version <= 3; version++ {
			if err := f.weights.PutWeights(t.Context(), api.WeightVersion{Model: "language", Version: version, Bytes: 50}); err != nil {
				t.Fatal(err)
			}
		}
		// A pull takes 5 s and only one goes at a time: the second engine waits.
		// It comes a little later, so that its second try falls behind the end of
		// the first pull and not on it, where either may go first.
		f.order("left", api.Order{Kind: api.OrderLoadVersion, Version: 2})
		time.Sleep(10 * time.Millisecond)
		f.order("right", api.Order{Kind: api.OrderLoadVersion, Version: 2})
		time.Sleep(6 * time.Second)
		if left, right := f.load("left"), f.load("right"); left.Version != 2 || right.Version != 1 || right.Loading != 2 {
			t.Errorf("after 6 s: left %+v, right %+v", left, right)
		}
		time.Sleep(6 * time.Second)
		if right := f.load("right"); right.Version != 2 || right.Loading != 0 {
			t.Errorf("after 12 s: %+v", right)
		}
		if _, err := f.faults.Add(fault.Fault{Target: "left", Kind: fault.KindLoadFail, Count: 1}); err != nil {
			t.Fatal(err)
		}
		f.order("left", api.Order{Kind: api.OrderLoadVersion, Version: 3})
		f.order("right", api.Order{Kind: api.OrderLoadVersion, Version: 4})
		time.Sleep(6 * time.Second)
		if left, right := f.load("left"), f.load("right"); left.Version != 2 || left.LoadError == "" || right.LoadError == "" {
			t.Errorf("failed loads: left %+v, right %+v", left, right)
		}
		f.order("left", api.Order{Kind: api.OrderLoadVersion, Version: 3})
		time.Sleep(6 * time.Second)
		if left := f.load("left"); left.Version != 3 || left.LoadError != "" {
			t.Errorf("loaded again: %+v", left)
		}
	})
}

func TestFullQueueRefuses(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		var running []<-chan answer
		for _, id := range []string{"r1", "r2", "r3"} {
			running = append(running, f.start(t.Context(), "left", request(id)))
			time.Sleep(50 * time.Millisecond)
		}
		if a := f.generate(t.Context(), "left", request("r4")); a.status != http.StatusTooManyRequests || a.code != api.CodeOverloaded {
			t.Errorf("full engine answered %d %s", a.status, a.code)
		}
		for _, answers := range running {
			f.checkWhole("left", <-answers)
		}
	})
}

func TestStreamFaults(t *testing.T) {
	cases := []struct {
		fault fault.Fault
		check func(t *testing.T, whole, struck answer)
	}{
		{fault.Fault{Kind: fault.KindDuplicateFrames, Count: 1}, func(t *testing.T, whole, struck answer) {
			if len(struck.frames) != len(whole.frames)+1 || struck.frames[1].Sequence != 0 {
				t.Errorf("%d frames, second is %d", len(struck.frames), struck.frames[1].Sequence)
			}
		}},
		{fault.Fault{Kind: fault.KindReorderFrames, Count: 1}, func(t *testing.T, whole, struck answer) {
			if len(struck.frames) != len(whole.frames) || struck.frames[0].Sequence != 1 || struck.frames[1].Sequence != 0 {
				t.Errorf("%d frames, first is %d", len(struck.frames), struck.frames[0].Sequence)
			}
		}},
		{fault.Fault{Kind: fault.KindLostAnswer, Count: 1}, func(t *testing.T, whole, struck answer) {
			if struck.err == nil || len(struck.frames) >= len(whole.frames) {
				t.Errorf("%d frames, error %v", len(struck.frames), struck.err)
			}
		}},
		{fault.Fault{Kind: fault.KindCrash, DurationMS: 100}, func(t *testing.T, _, struck answer) {
			if struck.err == nil {
				t.Errorf("status %d with %d frames", struck.status, len(struck.frames))
			}
		}},
		{fault.Fault{Kind: fault.KindFreeze, DurationMS: 60_000}, func(t *testing.T, whole, struck answer) {
			if struck.text() != whole.text() {
				t.Errorf("text %q", struck.text())
			}
		}},
		{fault.Fault{Kind: fault.KindDown, Count: 1}, func(t *testing.T, _, struck answer) {
			if struck.status != http.StatusServiceUnavailable || struck.code != api.CodeNoBackend {
				t.Errorf("status %d %s", struck.status, struck.code)
			}
		}},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				whole := f.generate(t.Context(), "left", request("r1"))
				c.fault.Target = "left"
				if _, err := f.faults.Add(c.fault); err != nil {
					t.Fatal(err)
				}
				c.check(t, whole, f.generate(t.Context(), "left", request("r1")))
				time.Sleep(time.Second)
				if again := f.generate(t.Context(), "left", request("r1")); again.text() != whole.text() {
					t.Errorf("after the fault: status %d, error %v", again.status, again.err)
				}
			})
		})
	}
}

// TestCacheEventsLagAndHaveGaps reads the events of many prompts.
func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		for i := range 50 {
			r := request(fmt.Sprint(i))
			r.Prompt = fmt.Sprintf("%064d", i)
			r.MaxTokens = 1
			f.generate(t.Context(), "left", r)
		}
		read := func() api.CacheEvents {
			response, err := f.client.Get("http://left:1/v1/cache-events?after=10")
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			var events api.CacheEvents
			if err := json.NewDecoder(response.Body).Decode(&events); err != nil {
				t.Fatal(err)
			}
			return events
		}
		early := len(read().Events)
		time.Sleep(time.Second)
		late := read()
		if early >= len(late.Events) || len(late.Events) >= 40 || late.Events[0].Sequence <= 10 {
			t.Errorf("%d events, later %d from %d", early, len(late.Events), late.Events[0].Sequence)
		}
	})
}

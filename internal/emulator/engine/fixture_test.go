package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"
	"github.com/dghubble/sling"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/weight"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/memnet"
	client "github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
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
	control *client.Client
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
		f.control = client.NewClient(f.client)
		lg, _ := logtest.NewNullLogger()
		for _, name := range []string{"left", "right"} {
			config := engine.DefaultConfig(name)
			config.Address = address(name)
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

func address(engineName string) string { return engineName + ":1" }

// word returns the status and the code of what an engine said to a control call.
func (f *fixture) word(err error) (int, api.Code) {
	f.t.Helper()
	if err == nil {
		return http.StatusOK, ""
	}
	var failure *api.Error
	if !errors.As(err, &failure) {
		f.t.Fatal(err)
	}
	return failure.Status, failure.Code
}

func (f *fixture) order(engineName string, order api.Order) (int, api.Code) {
	f.t.Helper()
	_, err := f.control.Order(f.t.Context(), address(engineName), order)
	return f.word(err)
}

func (f *fixture) load(engineName string) api.LoadReport {
	f.t.Helper()
	report, err := f.control.Load(f.t.Context(), address(engineName))
	if err != nil {
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

// generate reads the stream by itself and not as a Client, which would mend or
// drop what is checked here.
func (f *fixture) generate(ctx context.Context, engineName string, body api.GenerateRequest) answer {
	post, err := sling.New().Post("http://" + address(engineName) + "/v1/generate").BodyJSON(body).Request()
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := f.client.Do(post.WithContext(ctx))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	result := answer{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		var failure *api.Error
		if result.err = httpjson.ReadError(response); errors.As(result.err, &failure) {
			result.code, result.err = failure.Code, nil
		}
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

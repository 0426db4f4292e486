package load_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/application"
	emulator "github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/weight"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/load"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/gateway"
)

const (
	samples = 8
	bound   = 1
	// questions and bookings are live requests that are sent at once; the
	// bookings are more than the desks take.
	questions = 24
	bookings  = 12
)

// claims is a dispatch.Claimer in memory.
type claims struct {
	mu   sync.Mutex
	held map[string]dispatch.ClaimResult
}

func (c *claims) Claim(_ context.Context, key, requestID string) (dispatch.ClaimResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, taken := c.held[key]; taken {
		return held, nil
	}
	c.held[key] = dispatch.ClaimResult{Holder: requestID}
	return dispatch.ClaimResult{Granted: true}, nil
}

func (c *claims) Complete(_ context.Context, key, requestID string, outcome api.Outcome, answer *api.LiveResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == api.OutcomeRefused {
		delete(c.held, key)
		return nil
	}
	c.held[key] = dispatch.ClaimResult{Holder: requestID, Answer: answer}
	return nil
}

// world is two engines and two booking desks behind a Dispatcher that callers
// reach through two gateways.
type world struct {
	t          *testing.T
	network    *memnet.Network
	faults     *fault.Set
	sink       *history.MemorySink
	engines    *engine.Client
	dispatcher *dispatch.Dispatcher
	caller     *http.Client
}

// TestHistoryOfMovedStreamsAndBookings joins those who record a history with the
// checker: streams are moved by a crash and by export while versions swap, and
// bookings are refused, lose their answers and lose their connections.
func TestHistoryOfMovedStreamsAndBookings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		var running sync.WaitGroup
		running.Go(w.runSamples)
		running.Go(w.askQuestions)
		time.Sleep(200 * time.Millisecond)
		if err := w.dispatcher.Move(t.Context(), sampleID(0)); err != nil {
			t.Error(err)
		}
		w.swap("left")
		w.swap("right")
		time.Sleep(600 * time.Millisecond)
		w.strike(fault.Fault{Target: w.busiest(), Kind: fault.KindCrash, DurationMS: 300})
		running.Wait()
		w.bookTooMuch()
		w.bookWithLostAnswer()
		w.bookOverBrokenConnection()
		synctest.Wait()
		w.checkSamples()
		w.judge()
	})
}

func newWorld(t *testing.T) *world {
	lg, _ := logtest.NewNullLogger()
	w := &world{t: t, network: memnet.NewNetwork(), faults: fault.NewSet(1), sink: &history.MemorySink{}}
	t.Cleanup(w.faults.Close)
	store := weight.NewService(weight.Config{Name: "weights"}, w.faults)
	if err := store.PutWeights(t.Context(), api.WeightVersion{Model: "language", Version: 2, Bytes: 1}); err != nil {
		t.Fatal(err)
	}
	language := configlog.Pool{Name: "language", Kind: configlog.PoolEngines}
	for _, name := range []string{"left", "right"} {
		config := emulator.DefaultConfig(name)
		config.Address = name + ":80"
		config.Batch.Lengths.Sigma = 0
		needs := emulator.Dependencies{Listen: w.network.Listen, Faults: w.faults, Weights: store, Sink: w.sink}
		running, err := emulator.Start(lg, config, needs)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(running.Close)
		language.Backends = append(language.Backends, configlog.Backend{Name: name, Address: config.Address})
	}
	booking := configlog.Pool{Name: "booking", Kind: configlog.PoolApplications}
	for _, name := range []string{"desk1", "desk2"} {
		config := application.DefaultConfig(name)
		config.Address, config.Pool, config.Label = name+":80", "booking", "booking"
		config.Capacity, config.QueueLimit, config.ServiceTime = 2, 1, 100*time.Millisecond
		running, err := application.Start(lg, config, application.Dependencies{Listen: w.network.Listen, Faults: w.faults, Sink: w.sink})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(running.Close)
		booking.Backends = append(booking.Backends, configlog.Backend{Name: name, Address: config.Address})
	}
	w.startDispatcher(lg, language, booking)
	transport := &http.Transport{DialContext: w.network.Dialer("caller")}
	t.Cleanup(transport.CloseIdleConnections)
	w.caller = &http.Client{Transport: transport}
	return w
}

func (w *world) startDispatcher(lg logrus.FieldLogger, pools ...configlog.Pool) {
	transport := engine.NewTransport(w.network.Dialer("node"))
	w.t.Cleanup(transport.CloseIdleConnections)
	w.engines = engine.NewClient(&http.Client{Transport: transport})
	set := backend.NewSet(lg, backend.DefaultConfig("node", "", ""), w.engines)
	w.t.Cleanup(set.Close)
	state := &configlog.State{Revision: 1, Pools: map[string]configlog.Pool{}}
	for _, pool := range pools {
		state.Pools[pool.Name] = pool
	}
	set.Apply(state)
	config := dispatch.DefaultConfig("node", "")
	config.RetryRatio = 1
	dispatcher, err := dispatch.NewDispatcher(lg, config, w.engines, set, &claims{held: map[string]dispatch.ClaimResult{}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(dispatcher.Close)
	w.dispatcher = dispatcher
	for _, address := range []string{"n1:80", "n2:80"} {
		listener, err := w.network.Listen(address)
		if err != nil {
			w.t.Fatal(err)
		}
		services := gateway.Services{Live: dispatcher, Pools: set}
		server := gateway.NewServer(lg, gateway.Config{}, services, prometheus.NewRegistry())
		go server.Serve(listener)
		w.t.Cleanup(func() { server.Close() })
	}
}

const samplePrefix = "sample/"

func sampleID(index int) string { return fmt.Sprint(samplePrefix, index) }

// runSamples does what a trainer and a rollout do, without a node between them.
func (w *world) runSamples() {
	var running sync.WaitGroup
	for index := range samples {
		running.Go(func() { w.runSample(index) })
	}
	running.Wait()
}

func (w *world) runSample(index int) {
	result := w.dispatcher.Do(w.t.Context(), dispatch.Request{
		RequestID:  sampleID(index),
		Pool:       "language",
		Priority:   api.PriorityTraining,
		Repeatable: true,
		Prompt:     fmt.Sprintf("prompt %d", index),
		MaxTokens:  100,
	})
	if result.Outcome != api.OutcomeCompleted {
		w.t.Errorf("sample %d: %s, %v", index, result.Outcome, result.Err)
		return
	}
	w.sink.Record(history.Event{
		Kind:           history.KindSampleDelivered,
		Process:        "trainer",
		Trainer:        "trainer",
		Step:           1,
		Index:          index,
		RequestID:      result.RequestID,
		Segments:       result.Segments,
		Checksum:       load.Checksum(result.Text),
		TrainerVersion: 2,
		VersionBound:   bound,
	})
}

func (w *world) askQuestions() {
	caller := w.newCaller(load.CallerConfig{Name: "questions", Pool: "language", Repeatable: true, MaxTokens: 40})
	var running sync.WaitGroup
	for number := range questions {
		running.Go(func() {
			if answer := caller.Send(w.t.Context(), fmt.Sprintf("question %d", number)); answer.Outcome != api.OutcomeCompleted {
				w.t.Errorf("question %d: %s, %v", number, answer.Outcome, answer.Err)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
}

func (w *world) newCaller(config load.CallerConfig) *load.Caller {
	config.Nodes = []load.Node{{Name: "n1", Address: "n1:80"}, {Name: "n2", Address: "n2:80"}}
	return load.NewCaller(config, w.caller, w.sink)
}

func (w *world) swap(name string) {
	order := api.Order{Epoch: 1, Kind: api.OrderLoadVersion, Version: 2}
	if _, err := w.engines.Order(w.t.Context(), name+":80", order); err != nil {
		w.t.Error(err)
	}
}

// busiest is the engine that runs most of the samples. Which one a sample went to
// hangs on the order in which goroutines ran, but one has half of them.
func (w *world) busiest() string {
	running := map[string]int{}
	for _, event := range w.sink.Events() {
		switch {
		case !strings.HasPrefix(event.RequestID, samplePrefix):
		case event.Kind == history.KindStreamStarted:
			running[event.Process]++
		case event.Kind == history.KindStreamEnded:
			running[event.Process]--
		}
	}
	if running["left"]+running["right"] != samples {
		w.t.Errorf("samples that run: %v", running)
	}
	if running["left"] > running["right"] {
		return "left"
	}
	return "right"
}

func (w *world) strike(strike fault.Fault) {
	if _, err := w.faults.Add(strike); err != nil {
		w.t.Error(err)
	}
}

// bookTooMuch needs desks that refuse, and bookings that go through.
func (w *world) bookTooMuch() {
	caller := w.newCaller(load.CallerConfig{Name: "crowd", Pool: "booking"})
	var mu sync.Mutex
	outcomes := map[api.Outcome]int{}
	var running sync.WaitGroup
	for number := range bookings {
		running.Go(func() {
			answer := caller.Send(w.t.Context(), fmt.Sprintf("table %d", number))
			mu.Lock()
			defer mu.Unlock()
			outcomes[answer.Outcome]++
		})
	}
	running.Wait()
	if outcomes[api.OutcomeCompleted] == 0 || outcomes[api.OutcomeRefused] == 0 || len(outcomes) != 2 {
		w.t.Errorf("bookings of a crowd: %v", outcomes)
	}
}

// bookWithLostAnswer lets a desk do the booking and lose the answer.
func (w *world) bookWithLostAnswer() {
	caller := w.newCaller(load.CallerConfig{Name: "unlucky", Pool: "booking", Attempts: 3})
	w.strike(fault.Fault{Target: "desk1", Kind: fault.KindLostAnswer, Count: 1})
	w.strike(fault.Fault{Target: "desk2", Kind: fault.KindLostAnswer, Count: 1})
	if answer := caller.Send(w.t.Context(), "a table"); answer.Outcome != api.OutcomeUnknown {
		w.t.Errorf("booking whose answer was lost: %s", answer.Outcome)
	}
	for _, struck := range w.faults.List() {
		w.faults.Remove(struck.ID)
	}
}

// bookOverBrokenConnection breaks the connection to the first node while a desk
// works; the retry through the second one gets the answer of the first sending.
func (w *world) bookOverBrokenConnection() {
	caller := w.newCaller(load.CallerConfig{Name: "patient", Pool: "booking", Attempts: 3, RetryDelay: time.Second})
	cut := time.AfterFunc(50*time.Millisecond, func() { w.network.Cut("caller", "n1") })
	defer cut.Stop()
	answer := caller.Send(w.t.Context(), "another table")
	if answer.Outcome != api.OutcomeCompleted || answer.Sendings != 2 {
		w.t.Errorf("booking over a broken connection: %s after %d sendings, %v", answer.Outcome, answer.Sendings, answer.Err)
	}
	var told []string
	keys, requestIDs := map[string]bool{}, map[string]bool{}
	for _, event := range w.sink.Events() {
		if event.Process != "patient" {
			continue
		}
		told = append(told, fmt.Sprintf("%s %s %s %d", event.Kind, event.Node, event.Outcome, event.Cut))
		keys[event.Key] = true
		requestIDs[event.RequestID] = true
	}
	want := "request_sent n1  0, request_answered n1 unknown 1, request_sent n2  0, request_answered n2 completed 0"
	if got := strings.Join(told, ", "); got != want || len(keys) != 1 || len(requestIDs) != 2 {
		w.t.Errorf("%d keys, %d request ids, history %s", len(keys), len(requestIDs), got)
	}
}

// checkSamples tells whether samples were moved and saw a swap of versions.
func (w *world) checkSamples() {
	both := 0
	for _, event := range w.sink.Events() {
		if event.Kind != history.KindSampleDelivered {
			continue
		}
		engines, versions := map[string]bool{}, map[int64]bool{}
		for _, segment := range event.Segments {
			engines[segment.Engine] = true
			versions[segment.Version] = true
		}
		if len(engines) > 1 && len(versions) > 1 {
			both++
		}
	}
	if both < samples/2 {
		w.t.Errorf("%d of %d samples moved and saw a swap, want half of them", both, samples)
	}
}

// judge requires that the promises are held, each by something that was judged.
func (w *world) judge() {
	checker := history.NewChecker()
	for i, event := range w.sink.Events() {
		checker.Observe(event, history.Position{File: "memory", Line: i + 1})
	}
	report := checker.Report()
	var table strings.Builder
	if err := report.WriteTable(&table); err != nil {
		w.t.Fatal(err)
	}
	required := []history.Promise{
		history.PromiseTrueVersions, history.PromiseRightAnswer, history.PromiseRefusedNotRun, history.PromiseAtMostOnce,
	}
	unjudged := 0
	for _, promise := range required {
		unjudged += report.Verdicts[promise-1].Unjudged
	}
	if !report.OK(required...) || unjudged > 0 {
		w.t.Errorf("missing %v, %d not judged\n%s", report.Missing(required...), unjudged, &table)
	}
	w.t.Logf("\n%s", &table)
}

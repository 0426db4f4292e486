package dispatch_test

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
	emulator "github.com/sliplift/sliplift/internal/emulator/engine"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
)

const (
	emulatedEngines  = 4
	emulatedCallers  = 16
	emulatedRequests = 15
	emulatedTokens   = 100
)

// truth counts the streams that engines truly began, by request.
type truth struct {
	mu      sync.Mutex
	started map[string]int
}

func (r *truth) Record(event history.Event) {
	if event.Kind != history.KindStreamStarted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[event.RequestID]++
}

func (r *truth) count(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started[requestID]
}

// TestAgainstEmulatedEngines sends requests through a Dispatcher to stand-in
// engines of different versions while faults of every kind strike, and
// compares each result with what the engines truly produce: an answer is
// whole, its segments name the versions that made its tokens, and what was
// refused never began.
func TestAgainstEmulatedEngines(t *testing.T) {
	for _, hedge := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(fmt.Sprint("hedge ", hedge), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runEmulated(t, hedge) })
		})
	}
}

func runEmulated(t *testing.T, hedge time.Duration) {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	network := memnet.NewNetwork()
	faults := fault.NewSet(1)
	defer faults.Close()
	ran := &truth{started: map[string]int{}}
	pool := configlog.Pool{Name: "language", Kind: configlog.PoolEngines}
	for i := range emulatedEngines {
		cfg := emulator.DefaultConfig(fmt.Sprint("engine", i))
		cfg.Address = cfg.Name + ":80"
		cfg.Batch.Version = int64(i + 1)
		running, err := emulator.Start(lg, cfg, emulator.Dependencies{Listen: network.Listen, Faults: faults, Sink: ran})
		if err != nil {
			t.Fatal(err)
		}
		defer running.Close()
		pool.Backends = append(pool.Backends, configlog.Backend{Name: cfg.Name, Address: cfg.Address})
	}
	transport := engine.NewTransport(network.Dialer("node"))
	defer transport.CloseIdleConnections()
	client := engine.NewClient(&http.Client{Transport: transport})
	set := backend.NewSet(lg, backend.DefaultConfig("node", "", ""), client)
	defer set.Close()
	set.Apply(&configlog.State{Revision: 1, Pools: map[string]configlog.Pool{pool.Name: pool}})
	cfg := dispatch.DefaultConfig("node", "")
	cfg.HedgeDelay = hedge
	cfg.RetryRatio = 0.5
	dispatcher, err := dispatch.NewDispatcher(lg, cfg, client, set, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer dispatcher.Close()

	stop := make(chan struct{})
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		strike(faults, stop)
	}()
	outcomes := sendEmulated(t, dispatcher, ran)
	close(stop)
	<-faultsDone
	const total = emulatedCallers * emulatedRequests
	t.Logf("outcomes of %d requests: %v", total, outcomes)
	if outcomes[api.OutcomeCompleted] < total*8/10 {
		t.Errorf("only %d of %d completed", outcomes[api.OutcomeCompleted], total)
	}
}

// strike switches faults on and off until stop is closed.
func strike(faults *fault.Set, stop <-chan struct{}) {
	random := rand.New(rand.NewSource(1))
	kinds := []fault.Kind{
		fault.KindDown, fault.KindHang, fault.KindLostAnswer, fault.KindCrash, fault.KindFreeze,
		fault.KindLateFrames, fault.KindDuplicateFrames, fault.KindReorderFrames,
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(400 * time.Millisecond):
		}
		_, _ = faults.Add(fault.Fault{
			Target:      fmt.Sprint("engine", random.Intn(emulatedEngines)),
			Kind:        kinds[random.Intn(len(kinds))],
			DurationMS:  int64(100 + random.Intn(1500)),
			DelayMS:     20,
			Probability: 0.5,
		})
	}
}

func sendEmulated(t *testing.T, dispatcher *dispatch.Dispatcher, ran *truth) map[api.Outcome]int {
	var mu sync.Mutex
	outcomes := map[api.Outcome]int{}
	var callers sync.WaitGroup
	for caller := range emulatedCallers {
		callers.Go(func() {
			for number := range emulatedRequests {
				request := dispatch.Request{
					RequestID:  fmt.Sprintf("%d/%d", caller, number),
					Pool:       "language",
					Repeatable: true,
					Prompt:     fmt.Sprintf("prompt %d", number),
					MaxTokens:  emulatedTokens,
					Deadline:   time.Now().Add(20 * time.Second),
				}
				result := dispatcher.Do(t.Context(), request)
				check(t, &request, &result, ran)
				mu.Lock()
				outcomes[result.Outcome]++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return outcomes
}

// check compares a result with what engines produce for the request.
func check(t *testing.T, request *dispatch.Request, result *dispatch.Result, ran *truth) {
	hash := batch.PromptHash(request.Prompt)
	var segments []batch.Segment
	for _, segment := range result.Segments {
		segments = append(segments, batch.Segment{Version: segment.Version, Tokens: segment.Tokens})
		if want := fmt.Sprint("engine", segment.Version-1); segment.Engine != want {
			t.Errorf("%s: version %d names engine %s", request.RequestID, segment.Version, segment.Engine)
		}
	}
	if result.Text != batch.Text(hash, 0, segments) {
		t.Errorf("%s: the text is not that of its segments %v", request.RequestID, segments)
	}
	started := ran.count(request.RequestID)
	switch result.Outcome {
	case api.OutcomeCompleted:
		want := min(emulatedTokens, batch.DefaultConfig().Lengths.Length(hash, request.RequestID))
		if result.Tokens != want {
			t.Errorf("%s: %d tokens, want %d", request.RequestID, result.Tokens, want)
		}
	case api.OutcomeRefused:
		if started > 0 {
			t.Errorf("%s: refused (%v), but %d streams began", request.RequestID, result.Err, started)
		}
	}
	if started > result.Attempts {
		t.Errorf("%s: %d streams of %d attempts", request.RequestID, started, result.Attempts)
	}
}

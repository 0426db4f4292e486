package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
	"github.com/sliplift/sliplift/internal/steptest"
)

// TestDispatch tells stories of requests and faults. Each "backends" command
// starts a new world with the back ends in its first lines, see fakeBackend for
// their scripts; the lines from the first "do" or "claims" on are steps. "do" runs
// a request and shows its result, the virtual time it took, and what reached the
// back ends.
func TestDispatch(t *testing.T) {
	datadriven.Walk(t, "testdata/dispatch", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			w := &world{}
			defer w.close()
			datadriven.RunTest(t, path, w.run)
		})
	})
}

// world is a dispatcher with its back ends.
type world struct {
	log        *callLog
	network    *memnet.Network
	transport  *http.Transport
	backends   []*fakeBackend
	set        *backend.Set
	claimer    *fakeClaimer
	dispatcher *Dispatcher
	requests   int
}

func (w *world) close() {
	if w.dispatcher == nil {
		return
	}
	w.dispatcher.Close()
	w.set.Close()
	for _, b := range w.backends {
		b.close()
	}
	w.transport.CloseIdleConnections()
	synctest.Wait()
}

func (w *world) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd != "backends" {
		return steptest.Run(t, d, w.step)
	}
	steps := ""
	if first := firstStep.FindStringIndex(d.Input); first != nil {
		d.Input, steps = d.Input[:first[0]], d.Input[first[0]:]
	}
	w.open(t, d)
	return steptest.Lines(t, d.Pos, steps, w.step)
}

var firstStep = regexp.MustCompile(`(?m)^(do|claims)\b`)

func (w *world) step(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "claims":
		w.claimer.mode = d.CmdArgs[0].Key
	case "do":
		return w.do(t, d)
	case "trace":
		return w.trace()
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func (w *world) open(t *testing.T, d *datadriven.TestData) {
	w.close()
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	log := &callLog{}
	network := memnet.NewNetwork()
	transport := engine.NewTransport(network.Dialer("node"))
	client := engine.NewClient(&http.Client{Transport: transport})
	*w = world{log: log, network: network, transport: transport, claimer: newFakeClaimer(log)}

	pool := configlog.Pool{Name: "p", Kind: configlog.PoolEngines}
	if d.HasArg("applications") {
		pool.Kind = configlog.PoolApplications
	}
	d.MaybeScanArgs(t, "limit", &pool.MaxInFlight)
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		version := int64(len(w.backends) + 1)
		w.backends = append(w.backends, newFakeBackend(t, network, log, fields[0], version, fields[1:]))
		pool.Backends = append(pool.Backends, configlog.Backend{Name: fields[0], Address: fields[0] + ":80"})
	}
	w.set = backend.NewSet(lg, backend.DefaultConfig("node", "", ""), client)
	w.set.Apply(&configlog.State{Revision: 1, Pools: map[string]configlog.Pool{"p": pool}})

	cfg := DefaultConfig("node", "")
	cfg.Policy = routing.PolicyRoundRobin
	cfg.CallerLimit = 1
	cfg.RetryMinimum = 20
	d.MaybeScanArgs(t, "retries", &cfg.RetryBurst)
	if cfg.RetryBurst <= 1 {
		cfg.RetryMinimum = 0
	}
	var hedge string
	d.MaybeScanArgs(t, "hedge", &hedge)
	cfg.HedgeDelay, _ = time.ParseDuration(hedge)
	var err error
	w.dispatcher, err = NewDispatcher(lg, cfg, client, w.set, w.claimer)
	if err != nil {
		t.Fatal(err)
	}
	if d.HasArg("no-claimer") {
		w.dispatcher.claimer = nil
	}
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
}

// do runs a request. A key makes it one that is not repeatable; move=D moves it
// after D, and leave=D makes its caller go away after D.
func (w *world) do(t *testing.T, d *datadriven.TestData) string {
	w.requests++
	request := Request{RequestID: fmt.Sprintf("r%d", w.requests), Pool: "p", Prompt: "x", MaxTokens: 4, Repeatable: true, Caller: "caller"}
	d.MaybeScanArgs(t, "pool", &request.Pool)
	d.MaybeScanArgs(t, "first", &request.FirstAttempt)
	d.MaybeScanArgs(t, "min_version", &request.MinVersion)
	if d.HasArg("training") {
		request.Priority = api.PriorityTraining
	}
	if d.HasArg("key") {
		request.Repeatable = false
		if len(d.CmdArgs[0].Vals) > 0 {
			request.IdempotencyKey = d.CmdArgs[0].Vals[0]
		}
	}
	if deadline := durationOf(t, d, "deadline"); deadline > 0 {
		request.Deadline = time.Now().Add(deadline)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if leave := durationOf(t, d, "leave"); leave > 0 {
		defer time.AfterFunc(leave, cancel).Stop()
	}
	moved := make(chan error, 1)
	if move := durationOf(t, d, "move"); move > 0 {
		time.AfterFunc(move, func() { moved <- w.dispatcher.Move(ctx, request.RequestID) })
	} else {
		moved <- nil
	}
	started := time.Now()
	result := w.dispatcher.Do(ctx, request)
	took := time.Since(started)
	if err := <-moved; err != nil {
		t.Errorf("move: %v", err)
	}
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
	out := describe(&result, took)
	if calls := w.log.take(); len(calls) > 0 {
		out += "  " + strings.Join(calls, "; ") + "\n"
	}
	return out
}

func durationOf(t *testing.T, d *datadriven.TestData, name string) time.Duration {
	var text string
	d.MaybeScanArgs(t, name, &text)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

func describe(result *Result, took time.Duration) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s", result.Outcome)
	if result.Err != nil {
		fmt.Fprintf(&out, " %s", result.Err.Code)
		if result.Err.RetryAfterMS > 0 {
			fmt.Fprintf(&out, " retry_after=%dms", result.Err.RetryAfterMS)
		}
	}
	fmt.Fprintf(&out, " in %s: %q", took.Round(time.Millisecond), result.Text)
	for _, segment := range result.Segments {
		fmt.Fprintf(&out, " %s:v%d*%d", segment.Engine, segment.Version, segment.Tokens)
	}
	fmt.Fprintf(&out, "; backend %q, attempts %d, next %d\n", result.Backend, result.Attempts, result.NextAttempt)
	return out.String()
}

// trace shows the trace of the latest request.
func (w *world) trace() string {
	trace, _ := w.dispatcher.Trace(fmt.Sprintf("r%d", w.requests))
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s\n", trace.RequestID, trace.Outcome)
	for _, a := range trace.Attempts {
		fmt.Fprintf(&out, "attempt %d on %s: %s, %d tokens, %s\n", a.Attempt, a.Backend, a.State, a.Tokens, a.Error)
		for _, c := range a.Explanation.Considered {
			if c.Reason != routing.ReasonEligible {
				fmt.Fprintf(&out, "  not %s: %s\n", c.Backend, c.Reason)
			}
		}
	}
	return out.String()
}

// TestTraceRing forgets the oldest requests.
func TestTraceRing(t *testing.T) {
	ring := newTraceRing(2)
	var traces []*Trace
	for _, id := range []string{"a", "b", "c"} {
		traces = append(traces, ring.begin(&Request{RequestID: id}, time.Unix(1, 0)))
	}
	ring.end(traces[1], &Result{}, time.Unix(2, 0))
	_, oldest := ring.find("a")
	_, latest := ring.find("c")
	running := len(ring.unfinished())
	if oldest || !latest || running != 2 {
		t.Errorf("oldest found %t, latest found %t, %d running", oldest, latest, running)
	}
}

// TestCallerLimit refuses what a caller has in flight beyond its limit.
func TestCallerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		defer w.close()
		w.open(t, &datadriven.TestData{Cmd: "backends", Input: "a wait=1s\n"})
		results := make(chan Result, 2)
		for i := range 2 {
			go func() {
				results <- w.dispatcher.Do(t.Context(), Request{RequestID: fmt.Sprint(i), Caller: "c", Pool: "p", Repeatable: true, MaxTokens: 1})
			}()
		}
		outcomes := []api.Outcome{(<-results).Outcome, (<-results).Outcome}
		if !slices.Equal(outcomes, []api.Outcome{api.OutcomeRefused, api.OutcomeCompleted}) {
			t.Errorf("outcomes %v", outcomes)
		}
	})
}

// TestCloseCutsWhatOutlivesItsCaller ends a request that holds its key, and whose
// caller went away, with the Dispatcher and not hours later.
func TestCloseCutsWhatOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{}
		defer w.close()
		w.open(t, &datadriven.TestData{Cmd: "backends", CmdArgs: []datadriven.CmdArg{{Key: "applications"}}, Input: "a wait=2h\n"})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		time.AfterFunc(time.Minute, w.dispatcher.Close)
		started := time.Now()
		result := w.dispatcher.Do(ctx, Request{RequestID: "r", Pool: "p", IdempotencyKey: "k", Deadline: started.Add(time.Hour)})
		if took := time.Since(started); took != time.Minute || result.Outcome != api.OutcomeUnknown {
			t.Errorf("%s after %s", result.Outcome, took)
		}
	})
}

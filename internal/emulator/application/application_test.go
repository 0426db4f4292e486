package application_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/application"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
)

const address = "booking-1:1"

// effects is a history.Sink that counts invocations.
type effects struct{ count atomic.Int32 }

func (e *effects) Record(event history.Event) {
	if event.Kind == history.KindInvoked {
		e.count.Add(1)
	}
}

// result is how far a request came, as its client knows it, and what a refusal
// said.
type result struct {
	state  engine.State
	status int
	code   api.Code
}

func resultOf(state engine.State, err error) result {
	var failure *api.Error
	if errors.As(err, &failure) {
		return result{state, failure.Status, failure.Code}
	}
	return result{state: state}
}

type fixture struct {
	t      *testing.T
	client *engine.Client
	faults *fault.Set
	truth  *effects
}

// run calls test inside a bubble with an instance that serves one request at a
// time, in 100 ms, and lets one wait.
func run(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		transport := &http.Transport{DialContext: network.Dialer("client"), DisableKeepAlives: true}
		f := &fixture{t: t, client: engine.NewClient(&http.Client{Transport: transport}), faults: fault.NewSet(1), truth: &effects{}}
		lg, _ := logtest.NewNullLogger()
		config := application.DefaultConfig("booking-1")
		config.Address = address
		config.Capacity = 1
		config.QueueLimit = 1
		config.ServiceTime = 100 * time.Millisecond
		running, err := application.Start(lg, config, application.Dependencies{Listen: network.Listen, Faults: f.faults, Sink: f.truth})
		if err != nil {
			t.Fatal(err)
		}
		defer f.faults.Close()
		defer running.Close()
		test(t, f)
	})
}

func (f *fixture) invoke(ctx context.Context) result {
	answer := f.client.Invoke(ctx, address, api.InvokeRequest{RequestID: "r", Attempt: 1, Body: "a visit"})
	return resultOf(answer.State, answer.Err)
}

// TestInvokeUnderFaults compares what the client sees with what took effect.
func TestInvokeUnderFaults(t *testing.T) {
	cut := result{state: engine.StatePartial}
	cases := []struct {
		name string
		// fault strikes at atMS after the request was sent.
		fault   fault.Fault
		atMS    int64
		want    result
		tookMS  int64
		effects int32
	}{
		{name: "none", tookMS: 100, want: result{state: engine.StateComplete}, effects: 1},
		{name: "down", fault: fault.Fault{Kind: fault.KindDown}, want: result{engine.StateRefused, http.StatusServiceUnavailable, api.CodeNoBackend}},
		{name: "answer lost", tookMS: 100, fault: fault.Fault{Kind: fault.KindLostAnswer}, want: cut, effects: 1},
		{name: "crash before the effect", tookMS: 30, fault: fault.Fault{Kind: fault.KindCrash}, atMS: 30, want: cut},
		{name: "crash after the effect", tookMS: 70, fault: fault.Fault{Kind: fault.KindCrash}, atMS: 70, want: cut, effects: 1},
		{name: "frozen", tookMS: 1100, fault: fault.Fault{Kind: fault.KindFreeze, DurationMS: 1000}, want: result{state: engine.StateComplete}, effects: 1},
		{name: "frozen at work", tookMS: 1080, fault: fault.Fault{Kind: fault.KindFreeze, DurationMS: 1000}, want: result{state: engine.StateComplete}, atMS: 30, effects: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				if c.fault.Kind != "" {
					c.fault.Target = "booking-1"
					strike := func() { _, _ = f.faults.Add(c.fault) }
					if c.atMS == 0 {
						strike()
					} else {
						time.AfterFunc(api.Milliseconds(c.atMS), strike)
					}
				}
				began := time.Now()
				if got, took := f.invoke(t.Context()), time.Since(began); got != c.want || took != api.Milliseconds(c.tookMS) {
					t.Errorf("client saw %+v after %s", got, took)
				}
				if got := f.truth.count.Load(); got != c.effects {
					t.Errorf("%d effects", got)
				}
			})
		})
	}
}

// TestQueueAndLostClients fills the instance; of two clients that go away, the
// one that is being served gets its effect and the one that waits does not.
func TestQueueAndLostClients(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan result, 2)
		for range 2 {
			go func() { results <- f.invoke(ctx) }()
			time.Sleep(10 * time.Millisecond)
		}
		if got := f.invoke(t.Context()); got.code != api.CodeOverloaded {
			t.Errorf("full instance answered %+v", got)
		}
		cancel()
		<-results
		<-results
		time.Sleep(time.Second)
		if got := f.truth.count.Load(); got != 1 {
			t.Errorf("%d effects", got)
		}
	})
}

func TestDrainingRefusesAndIsFenced(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		if _, err := f.client.Order(t.Context(), address, api.Order{Epoch: 2, Kind: api.OrderSetRole, Role: api.RoleDraining}); err != nil {
			t.Error(err)
		}
		_, err := f.client.Order(t.Context(), address, api.Order{Epoch: 1, Kind: api.OrderSetRole, Role: api.RoleServing})
		if got := resultOf("", err); got.code != api.CodeFenced {
			t.Errorf("stale order: %v", err)
		}
		if got := f.invoke(t.Context()); got.code != api.CodeNoBackend {
			t.Errorf("draining instance answered %+v", got)
		}
		if got := f.truth.count.Load(); got != 0 {
			t.Errorf("%d effects", got)
		}
	})
}

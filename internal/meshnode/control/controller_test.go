package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// fakeBackends are back ends that load a version at once and keep the fence.
type fakeBackends struct {
	mu      sync.Mutex
	reports map[string]api.LoadReport
	orders  []api.Order
	// reads counts the reports that were read.
	reads int
	// beforeOrder runs before an order takes effect, outside the lock.
	beforeOrder func()
}

func (f *fakeBackends) Load(_ context.Context, address string) (api.LoadReport, error) {
	f.mu.Lock()
	f.reads++
	f.mu.Unlock()
	return f.report(address)
}

func (f *fakeBackends) report(address string) (api.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report, ok := f.reports[address]
	if !ok {
		return report, fmt.Errorf("%s is gone", address)
	}
	return report, nil
}

func (f *fakeBackends) Order(_ context.Context, address string, order api.Order) (api.OrderResponse, error) {
	if f.beforeOrder != nil {
		f.beforeOrder()
	}
	if _, err := f.report(address); err != nil {
		return api.OrderResponse{}, err
	}
	return f.take(address, order)
}

// take lets an order take effect, unless a higher epoch was seen.
func (f *fakeBackends) take(address string, order api.Order) (api.OrderResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := f.reports[address]
	if order.Epoch < report.OrderEpoch {
		return api.OrderResponse{}, api.Refusal(http.StatusConflict, api.CodeFenced, 0, "epoch %d", order.Epoch)
	}
	report.OrderEpoch = order.Epoch
	if order.Kind == api.OrderLoadVersion {
		report.Version = order.Version
	} else {
		report.Role = order.Role
	}
	f.reports[address] = report
	f.orders = append(f.orders, order)
	return api.OrderResponse{Accepted: true, Epoch: order.Epoch}, nil
}

type fakeLessor struct {
	mu    sync.Mutex
	epoch int64
}

func (l *fakeLessor) Held(string) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.epoch != 0
}

func (l *fakeLessor) set(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = epoch
}

type fixedConfiguration struct{ state *configlog.State }

func (c fixedConfiguration) Current() *configlog.State { return c.state }

type noMachines struct{}

func (noMachines) Leaving() map[string]bool { return nil }

func poolOf(version int64, names ...string) *configlog.State {
	pool := configlog.Pool{Name: "rollouts", Kind: configlog.PoolEngines, Version: version}
	for _, name := range names {
		pool.Backends = append(pool.Backends, configlog.Backend{Name: name, Address: name + ":1", Zone: "a"})
	}
	return &configlog.State{Pools: map[string]configlog.Pool{pool.Name: pool}, Drains: map[string]configlog.Drain{}}
}

func serving(names ...string) *fakeBackends {
	backends := &fakeBackends{reports: map[string]api.LoadReport{}}
	for _, name := range names {
		backends.reports[name+":1"] = api.LoadReport{Backend: name, Role: api.RoleServing, Version: 1}
	}
	return backends
}

// run runs a controller for the time given, in a bubble's virtual time.
func run(backends *fakeBackends, lessor *fakeLessor, state *configlog.State, howLong time.Duration) *Controller {
	log, _ := test.NewNullLogger()
	controller := NewController(DefaultConfig("n1"), log, lessor, fixedConfiguration{state}, backends, noMachines{})
	ctx, cancel := context.WithTimeout(context.Background(), howLong)
	defer cancel()
	controller.Run(ctx)
	return controller
}

func TestHolderLoadsVersionsAndDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := poolOf(2, "e1", "e2", "e3", "gone")
		state.Drains["engine/e3"] = configlog.Drain{Scope: configlog.DrainEngine, Name: "e3"}
		backends := serving("e1", "e2", "e3")
		controller := run(backends, &fakeLessor{epoch: 7}, state, 10*time.Second)
		if got := backends.reports["e3:1"].Role; got != api.RoleDraining {
			t.Errorf("e3 has role %s", got)
		}
		progress := controller.Progress()["rollouts/0"]
		if progress.Loaded != 3 || len(progress.Unheard) != 1 {
			t.Errorf("progress %+v", progress)
		}
		for _, order := range backends.orders {
			if order.Epoch != 7 || order.Holder != "n1" {
				t.Errorf("order %+v", order)
			}
		}
	})
}

// TestPausedHolderIsFenced has the holder lose its lease between its check and
// the moment at which the order takes effect.
func TestPausedHolderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends, lessor := serving("e1"), &fakeLessor{epoch: 7}
		successor := api.Order{Epoch: 8, Kind: api.OrderLoadVersion, Version: 3}
		var once sync.Once
		backends.beforeOrder = func() {
			once.Do(func() {
				lessor.set(0)
				backends.take("e1:1", successor)
			})
		}
		run(backends, lessor, poolOf(2, "e1"), 10*time.Second)
		if len(backends.orders) != 1 || backends.reports["e1:1"].Version != 3 {
			t.Errorf("orders that took effect: %+v", backends.orders)
		}
	})
}

func TestNodeWithoutLeaseSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := serving("e1")
		controller := run(backends, &fakeLessor{}, poolOf(2, "e1"), 10*time.Second)
		if len(backends.orders) != 0 || len(controller.Reports()) != 0 {
			t.Errorf("orders %+v, reports %+v", backends.orders, controller.Reports())
		}
	})
}

// TestSilentDrainedBackendLeavesItsShardSettled: a drained machine that is gone
// is ordered to drain at each reading, and does not make readings more frequent.
func TestSilentDrainedBackendLeavesItsShardSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := poolOf(1, "e1", "gone")
		state.Drains["engine/gone"] = configlog.Drain{Scope: configlog.DrainEngine, Name: "gone"}
		backends := serving("e1")
		ordered := 0
		backends.beforeOrder = func() { ordered++ }
		log, _ := test.NewNullLogger()
		config := DefaultConfig("n1")
		config.SettledReports = 0.4 // two back ends every 5 s
		controller := NewController(config, log, &fakeLessor{epoch: 7}, fixedConfiguration{state}, backends, noMachines{})
		ctx, cancel := context.WithTimeout(t.Context(), 59*time.Second)
		defer cancel()
		controller.Run(ctx)
		if backends.reads != 2*12 || ordered != 12 {
			t.Errorf("%d reports were read and %d orders sent, want 24 and 12", backends.reads, ordered)
		}
	})
}

func TestBackendsStayInTheirShardAsAPoolGrows(t *testing.T) {
	var names []string
	for i := range 1600 {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	state := poolOf(1, names...)
	pool := state.Pools["rollouts"]
	pool.Shards = configlog.ShardCount(len(names))
	state.Pools["rollouts"] = pool
	before := map[string]string{}
	for _, shard := range Shards(state) {
		for _, backend := range shard.Backends {
			before[backend.Name] = shard.Name
		}
	}
	pool.Backends = append(pool.Backends[10:], configlog.Backend{Name: "another"})
	state.Pools["rollouts"] = pool
	for _, shard := range Shards(state) {
		for _, backend := range shard.Backends {
			if was, ok := before[backend.Name]; ok && was != shard.Name {
				t.Fatalf("%s moved from %s to %s", backend.Name, was, shard.Name)
			}
		}
	}
}

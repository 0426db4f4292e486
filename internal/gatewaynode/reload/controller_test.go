package reload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

const (
	testSettle = 3 * time.Second
	testLoad   = 900 * time.Millisecond
)

// givenOrder is an order as a back end saw it.
type givenOrder struct {
	holder string
	token  int64
	at     time.Time
}

// pool is back ends that take orders of every holder and load for testLoad.
type pool struct {
	mu     sync.Mutex
	orders map[string][]givenOrder
	held   map[string]int64
	ends   map[string]time.Time
}

func (p *pool) Order(_ context.Context, order Order) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := order.Instance
	p.orders[id] = append(p.orders[id], givenOrder{holder: order.Holder, token: order.Token, at: time.Now()})
	if time.Now().Before(p.ends[id]) || int64(len(p.orders[id])-1) != order.Taken {
		return false, ErrMismatch
	}
	p.held[id], p.ends[id] = order.Version, time.Now().Add(testLoad)
	return false, nil
}

func (p *pool) Report(_ context.Context, id, _ string) (Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := Report{Versions: map[string]int64{"m": 1}, Taken: int64(len(p.orders[id])), Busy: time.Now().Before(p.ends[id])}
	if p.held[id] > 0 && !report.Busy {
		report.Versions["m"] = p.held[id]
	}
	return report, nil
}

// firstOrder returns when a holder first ordered after a time, zero if it did not.
func (p *pool) firstOrder(holder string, after time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	for _, orders := range p.orders {
		for _, order := range orders {
			if order.holder == holder && order.at.After(after) && (first.IsZero() || order.at.Before(first)) {
				first = order.at
			}
		}
	}
	return first
}

// checkTurns fails the test where a back end saw orders of two holders that lie
// less than the settling time apart, or a token that went back.
func (p *pool) checkTurns(t *testing.T) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, orders := range p.orders {
		for i := 1; i < len(orders); i++ {
			before, after := orders[i-1], orders[i]
			if before.holder != after.holder && after.at.Sub(before.at) < testSettle {
				t.Errorf("%s: %s ordered %s after %s", id, after.holder, after.at.Sub(before.at), before.holder)
			}
			if after.token < before.token {
				t.Errorf("%s: token %d after %d", id, after.token, before.token)
			}
		}
	}
}

// holderNode is a node that takes part in the lease.
type holderNode struct {
	name       string
	store      *rowstoretest.Way
	controller *Controller
}

// startNodes runs nodes over one store; all know the same back ends.
func startNodes(t *testing.T, store *rowstoretest.Store, backends *pool, names []string, instances int) []holderNode {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	nodes := make([]holderNode, len(names))
	for i, name := range names {
		log := eventlog.New(logrus.New(), io.Discard)
		t.Cleanup(log.Close)
		way := rowstoretest.NewWay(store, time.Second)
		pacing := rowstore.Pacing{Fresh: time.Second, Nodes: func() int { return len(names) }}
		self := presence.Node{Name: name, Incarnation: 1, State: presence.Ready}
		registry := presence.New(log, way, self, 0, pacing)
		known := fleet.New(nil)
		for place := range instances {
			known.Update([]fleet.Instance{{
				ID: fmt.Sprintf("b%02d", place), Service: "pool", Slots: 4, Models: map[string]int64{"m": 1}, Revision: 1,
			}}, nil)
		}
		leases := rowlease.NewLeases(log, way, pacing)
		controller := NewController(Config{
			Store: way, Presence: registry, Fleet: known, Commander: backends, Log: log,
			World:  func(now time.Time) *eligibility.Snapshot { return &eligibility.Snapshot{Now: now} },
			Timing: rowlease.Timing{Settle: testSettle}, Leases: leases, Pacing: pacing, Mode: ModeRetain,
			Demand: func() map[string]float64 { return map[string]float64{"m": 1} },
			Widths: func() map[string]int { return nil }, Confined: func() map[string]place.Regions { return nil }, Interested: func() bool { return true },
			JobsKnown: func() bool { return jobsKnown.Load() },
		})
		for _, run := range []func(context.Context){registry.View().Run, registry.Run, leases.Run, controller.Run} {
			group.Go(func() { run(ctx) })
		}
		nodes[i] = holderNode{name: name, store: way, controller: controller}
	}
	return nodes
}

func newPool() *pool {
	return &pool{orders: make(map[string][]givenOrder), held: make(map[string]int64), ends: make(map[string]time.Time)}
}

// nameVersion tells all nodes a version.
func nameVersion(nodes []holderNode, version int64) {
	for _, node := range nodes {
		node.controller.SetNamed("m", version)
	}
}

// jobsKnown tells the nodes of a test that they know the jobs.
var jobsKnown = func() *atomic.Bool {
	known := &atomic.Bool{}
	known.Store(true)
	return known
}()

// TestNoOrdersBeforeTheJobsAreKnown: a holder that does not know the jobs would load a
// version on all back ends.
func TestNoOrdersBeforeTheJobsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobsKnown.Store(false)
		defer jobsKnown.Store(true)
		backends := newPool()
		nodes := startNodes(t, rowstoretest.New(), backends, []string{"n1", "n2"}, 6)
		nameVersion(nodes, 2)
		time.Sleep(5 * time.Second)
		if holder := holderOf(nodes); holder == nil || !backends.firstOrder(holder.name, time.Time{}).IsZero() {
			t.Fatalf("holder %v ordered without knowing the jobs", holder)
		}
		jobsKnown.Store(true)
		time.Sleep(2 * time.Second)
		if first := backends.firstOrder(holderOf(nodes).name, time.Time{}); first.IsZero() {
			t.Error("no order though the jobs are known")
		}
	})
}

// holderOf returns the node that holds the lease, nil if none does.
func holderOf(nodes []holderNode) *holderNode {
	for i := range nodes {
		if nodes[i].controller.lease.Held() {
			return &nodes[i]
		}
	}
	return nil
}

// TestOrdersSoonAfterTheHolderIsCutOff cuts the holder off from the store and
// expects that another node gives orders within two seconds.
func TestOrdersSoonAfterTheHolderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := newPool()
		nodes := startNodes(t, rowstoretest.New(), backends, []string{"n1", "n2", "n3"}, 12)
		nameVersion(nodes, 2)
		time.Sleep(8 * time.Second)
		holder := holderOf(nodes)
		if holder == nil {
			t.Fatal("nobody holds the lease")
		}
		cut := time.Now()
		holder.store.Set(rowstoretest.Silenced)
		time.Sleep(500 * time.Millisecond)
		nameVersion(nodes, 3)
		time.Sleep(5 * time.Second)
		var first time.Time
		for _, node := range nodes {
			if node.name == holder.name {
				continue
			}
			if at := backends.firstOrder(node.name, cut); !at.IsZero() && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
		if first.IsZero() || first.Sub(cut) > 2*time.Second {
			t.Errorf("first order of another node %s after the cut, want 2s at most", first.Sub(cut))
		}
		backends.checkTurns(t)
	})
}

// TestTurnsOfHoldersLieApart cuts nodes off by chance while versions are named and
// checks the orders of each back end.
func TestTurnsOfHoldersLieApart(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				backends := newPool()
				nodes := startNodes(t, rowstoretest.New(), backends, []string{"n1", "n2", "n3"}, 12)
				time.Sleep(3 * time.Second)
				version, holders := int64(1), make(map[string]bool)
				for range 40 {
					if random.IntN(2) == 0 {
						version++
						nameVersion(nodes, version)
					}
					if holder := holderOf(nodes); holder != nil && random.IntN(6) == 0 {
						holder.store.Set(rowstoretest.Silenced)
					}
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
					for _, node := range nodes {
						holders[node.name] = holders[node.name] || node.controller.lease.Held()
						if random.IntN(3) == 0 {
							node.store.Set(rowstoretest.Open)
						}
					}
				}
				backends.checkTurns(t)
				if version < 5 || len(holders) == 0 {
					t.Fatalf("the run tests nothing: version %d, holders %v", version, holders)
				}
			})
		})
	}
}

// TestLoadsOfAnEarlierHolderAreSettled: the holder is killed while back ends load. All
// nodes take these to be loading until the next holder tells that they are not.
func TestLoadsOfAnEarlierHolderAreSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, backends := rowstoretest.New(), newPool()
		for place := range 6 {
			id := fmt.Sprintf("b%02d", place)
			store.Put(TableLoads, "", id, encode(Load{Loading: "m", Share: "m"}))
			backends.held[id] = 4
		}
		nodes := startNodes(t, store, backends, []string{"n1", "n2"}, 6)
		time.Sleep(1500 * time.Millisecond)
		for _, node := range nodes {
			for _, backend := range node.controller.config.Fleet.Service("pool", time.Now()) {
				if backend.LoadingModel != "" || backend.Models["m"] != 4 {
					t.Errorf("%s: %s loads %q and holds %d", node.name, backend.ID, backend.LoadingModel, backend.Models["m"])
				}
			}
		}
	})
}

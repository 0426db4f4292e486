package rowlease

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

const testSettle = 3 * time.Second

// node is a process that acts while it holds the lease.
type node struct {
	name  string
	way   *rowstoretest.Way
	lease *Lease
	kill  func()

	mu   sync.Mutex
	last time.Time
}

// act is something that a holder did.
type act struct {
	holder string
	token  int64
	at     time.Time
}

type system struct {
	t     *testing.T
	store *rowstoretest.Store
	nodes []*node

	mu   sync.Mutex
	acts []act
}

func newSystem(t *testing.T, nodes int) *system {
	s := &system{t: t, store: rowstoretest.New()}
	for i := range nodes {
		s.nodes = append(s.nodes, s.start(fmt.Sprint("n", i), 1, presence.Ready))
	}
	return s
}

// start begins a process that acts every 50 ms while the lease allows it.
func (s *system) start(name string, incarnation int64, state presence.State) *node {
	ctx, cancel := context.WithCancel(s.t.Context())
	log := eventlog.New(logrus.New(), io.Discard)
	way := rowstoretest.NewWay(s.store, time.Second)
	pacing := rowstore.Pacing{Fresh: time.Second, Nodes: func() int { return 3 }}
	registry := presence.New(log, way, presence.Node{Name: name, Incarnation: incarnation, State: state}, 0, pacing)
	leases := NewLeases(log, way, pacing)
	n := &node{name: name, way: way}
	from := time.Time{}
	n.lease = leases.Add(Config{
		Name: "work", Store: way, Presence: registry, Log: log, Timing: Timing{Settle: testSettle},
		Begin: func(_ context.Context, hold Hold) eventlog.Fields {
			n.mu.Lock()
			defer n.mu.Unlock()
			from = hold.ClearFrom
			return eventlog.Fields{}
		},
	})
	work := func(ctx context.Context) {
		for ctx.Err() == nil {
			hold, _, _ := n.lease.Current()
			n.mu.Lock()
			now := time.Now()
			if hold.Token > 0 && !now.Before(from) && n.lease.Valid(hold.Token, now) {
				n.last = now
				s.note(act{name, hold.Token, now})
			}
			n.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
	}
	var group sync.WaitGroup
	for _, run := range []func(context.Context){registry.View().Run, registry.Run, leases.Run, work} {
		group.Go(func() { run(ctx) })
	}
	n.kill = sync.OnceFunc(func() { cancel(); group.Wait(); log.Close() })
	s.t.Cleanup(n.kill)
	return n
}

func (s *system) note(a act) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acts = append(s.acts, a)
}

// quiet returns how long ago the node last acted.
func (n *node) quiet() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.last)
}

func (s *system) holder() *node {
	for _, n := range s.nodes {
		if n.lease.Held() {
			return n
		}
	}
	return nil
}

// check fails the test where two holders act within the settling time, share a token,
// or a token goes back.
func (s *system) check() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 1; i < len(s.acts); i++ {
		before, after := s.acts[i-1], s.acts[i]
		switch {
		case after.token < before.token:
			s.t.Errorf("token %d after %d", after.token, before.token)
		case after.holder != before.holder && after.token == before.token:
			s.t.Errorf("%s and %s share the token %d", before.holder, after.holder, after.token)
		case after.holder != before.holder && after.at.Sub(before.at) < testSettle:
			s.t.Errorf("%s acted %s after %s", after.holder, after.at.Sub(before.at), before.holder)
		}
	}
}

// actsOf returns how many holders acted.
func (s *system) actsOf() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := make(map[string]int)
	for _, a := range s.acts {
		count[a.holder]++
	}
	return count
}

// TestLeaseMovesOn: each row is what becomes of the holder; another one acts within a
// bound, and never within the settling time of the first.
func TestLeaseMovesOn(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(n *node)
		most  time.Duration
	}{
		{"killed", func(n *node) { n.kill() }, 5500 * time.Millisecond},
		{"cut off", func(n *node) { n.way.Set(rowstoretest.Silenced) }, 5500 * time.Millisecond},
		{"refused", func(n *node) { n.way.Set(rowstoretest.Refused) }, 5500 * time.Millisecond},
		{"reset", func(n *node) { n.way.Set(rowstoretest.Reset) }, 5500 * time.Millisecond},
		{"released", func(n *node) { n.lease.Release(n.quiet) }, 4500 * time.Millisecond},
		{"abandoned", func(n *node) {
			hold, _, _ := n.lease.Current()
			n.lease.Withdraw()
			n.lease.Abandon(hold.Token, "refused by the receiver")
		}, 5500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, 3)
				time.Sleep(8 * time.Second)
				first := s.holder()
				if first == nil {
					t.Fatal("nobody holds the lease")
				}
				fault := time.Now()
				test.fault(first)
				time.Sleep(8 * time.Second)
				s.check()
				next := time.Time{}
				s.mu.Lock()
				for _, a := range s.acts {
					if a.holder != first.name && next.IsZero() {
						next = a.at
					}
				}
				s.mu.Unlock()
				if next.IsZero() || next.Sub(fault) > test.most {
					t.Errorf("another node acted %s after the fault", next.Sub(fault))
				}
			})
		})
	}
}

// TestReleaseTellsOfTheLastAct: the holder acts until the moment at which it may not any
// more. What it tells of its last act must hold for that one too.
func TestReleaseTellsOfTheLastAct(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 2)
		time.Sleep(8 * time.Second)
		holder := s.holder()
		if holder == nil {
			t.Fatal("nobody holds the lease")
		}
		asked := false
		holder.lease.Release(func() time.Duration {
			asked = true
			if hold, _, held := holder.lease.Current(); held || holder.lease.Valid(hold.Token, time.Now()) {
				t.Error("the node may still act when it is asked for how long it has not")
			}
			return holder.quiet()
		})
		if !asked {
			t.Error("not asked")
		}
		time.Sleep(8 * time.Second)
		s.check()
	})
}

// TestTurnsUnderFaultsByChance cuts off, kills, restarts and releases nodes by chance
// while the store loses answers and carries writes out late.
func TestTurnsUnderFaultsByChance(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 9))
				s := newSystem(t, 3)
				incarnation := int64(1)
				time.Sleep(4 * time.Second)
				for range 40 {
					place := random.IntN(3)
					n := s.nodes[place]
					if random.IntN(2) == 0 {
						if holder := s.holder(); holder != nil {
							n = holder
						}
					}
					switch random.IntN(9) {
					case 0:
						n.way.Set(rowstoretest.Silenced)
					case 1:
						n.way.Set(rowstoretest.Reset)
					case 2:
						s.store.SetFaults(rowstoretest.Faults{LoseAnswers: true})
					case 3:
						s.store.SetFaults(rowstoretest.Faults{Late: time.Duration(random.IntN(3000)) * time.Millisecond})
					case 4, 5:
						if random.IntN(2) == 0 {
							n.lease.Release(n.quiet)
						}
						incarnation++
						n.kill()
						for i := range s.nodes {
							if s.nodes[i] == n {
								s.nodes[i] = s.start(n.name, incarnation, presence.Ready)
							}
						}
					default:
						s.store.SetFaults(rowstoretest.Faults{})
						for _, other := range s.nodes {
							other.way.Set(rowstoretest.Open)
						}
					}
					time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
				}
				s.check()
				if len(s.actsOf()) == 0 {
					t.Error("nobody acted: the run tests nothing")
				}
			})
		})
	}
}

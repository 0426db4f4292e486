package storerelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/internal/memnet"
)

type fixture struct {
	store   *rowstoretest.Store
	network *memnet.Network
	ways    []*rowstoretest.Way
	nodes   []*Detour

	listeners []net.Listener
	working   sync.WaitGroup
}

// newFixture returns nodes that reach each other and one store.
func newFixture(t *testing.T, count int) *fixture {
	f := &fixture{store: rowstoretest.New(), network: memnet.NewNetwork()}
	name := func(i int) string { return fmt.Sprint("n", i) }
	for i := range count {
		log := eventlog.New(logrus.New(), io.Discard)
		t.Cleanup(log.Close)
		own := rowstoretest.NewWay(f.store, 1500*time.Millisecond)
		d := New(Config{Store: own, Dial: f.network.Dialer(name(i)), Zone: "z", Log: log})
		d.SetPeers(func() []presence.Node {
			var others []presence.Node
			for other := range count {
				if other != i {
					others = append(others, presence.Node{Name: name(other), PeerAddress: name(other) + ":90", Zone: "z"})
				}
			}
			return others
		})
		listener, err := f.network.Listen(name(i) + ":90")
		if err != nil {
			t.Fatal(err)
		}
		f.listeners = append(f.listeners, listener)
		go func() {
			if err := d.Serve(listener); err != nil && !errors.Is(err, memnet.ErrClosed) {
				t.Error(err)
			}
		}()
		f.ways, f.nodes = append(f.ways, own), append(f.nodes, d)
	}
	return f
}

// work makes nodes call the store until ctx ends.
func (f *fixture) work(ctx context.Context, nodes []*Detour) {
	for _, d := range nodes {
		f.working.Go(func() { _ = keepCalling(ctx, d) })
	}
}

// stop ends the connections between nodes, so that nothing waits at the end of a test.
func (f *fixture) stop() {
	f.working.Wait()
	for _, listener := range f.listeners {
		_ = listener.Close()
	}
	for i := range f.nodes {
		f.network.Kill(fmt.Sprint("n", i))
	}
	for _, d := range f.nodes {
		d.SetPeers(nil)
		d.mu.Lock()
		via := d.via
		d.mu.Unlock()
		if via != nil {
			d.leave(via, "end of the test")
		}
	}
	time.Sleep(idleMost + 5*time.Second)
}

func putRow(key string) rowstore.Transaction {
	return rowstore.Transaction{Puts: []rowstore.Row{{RowID: rowstore.RowID{Table: "t", Key: key}, Value: []byte("v")}}}
}

// keepCalling commits until ctx ends, as callers do, and returns the longest time
// without a commit that succeeded.
func keepCalling(ctx context.Context, d *Detour) time.Duration {
	longest, last := time.Duration(0), time.Now()
	for ctx.Err() == nil {
		if _, err := d.Commit(ctx, putRow("k")); err == nil {
			longest, last = max(longest, time.Since(last)), time.Now()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return max(longest, time.Since(last))
}

// TestANodeTurnedAwayGoesThroughAnother turns one node away in different manners and
// expects that its calls succeed again within a second, and directly afterwards.
func TestANodeTurnedAwayGoesThroughAnother(t *testing.T) {
	for name, manner := range map[string]rowstoretest.Manner{
		"refused": rowstoretest.Refused, "reset": rowstoretest.Reset, "silent": rowstoretest.Silenced,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 4)
				ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
				defer cancel()
				f.work(ctx, f.nodes[1:])
				time.AfterFunc(2*time.Second, func() { f.ways[0].Set(manner) })
				time.AfterFunc(6*time.Second, func() {
					if f.nodes[0].Away() == "" {
						t.Error("calls do not go through another node")
					}
				})
				time.AfterFunc(8*time.Second, func() { f.ways[0].Set(rowstoretest.Open) })
				if longest := keepCalling(ctx, f.nodes[0]); longest > time.Second {
					t.Errorf("no commit for %s", longest)
				}
				if via := f.nodes[0].Away(); via != "" {
					t.Errorf("calls go through %s though the store answers the node again", via)
				}
				f.stop()
			})
		})
	}
}

// TestAnotherNodeIsFoundWhenTheFirstFails kills the node that calls go through.
func TestAnotherNodeIsFoundWhenTheFirstFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		f.ways[0].Set(rowstoretest.Refused)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f.work(ctx, f.nodes[1:])
		first := ""
		time.AfterFunc(3*time.Second, func() {
			first = f.nodes[0].Away()
			f.network.Cut("n0", first)
		})
		longest := keepCalling(ctx, f.nodes[0])
		if now := f.nodes[0].Away(); first == "" || now == "" || now == first {
			t.Errorf("calls go through %q, before the cut through %q", now, first)
		}
		if longest > 3*time.Second {
			t.Errorf("no commit for %s", longest)
		}
		f.stop()
	})
}

// TestNoDetourWhileTheStoreIsAwayForAll: nobody relays, and the calls that nodes make
// for each other stay few.
func TestNoDetourWhileTheStoreIsAwayForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		f.work(ctx, f.nodes)
		time.Sleep(2 * time.Second)
		for _, w := range f.ways {
			w.Set(rowstoretest.Refused)
		}
		time.Sleep(1500 * time.Millisecond)
		before := f.ways[0].Calls()
		time.Sleep(4 * time.Second)
		// A caller tries twenty times a second; probes come on top.
		if made := f.ways[0].Calls() - before; made > 90 {
			t.Errorf("%d calls in 4 s", made)
		}
		for i, d := range f.nodes {
			if via := d.Away(); via != "" {
				t.Errorf("node %d goes through %s", i, via)
			}
		}
		f.stop()
	})
}

// TestOneSilentCallIsNoReason: a watch without an answer does not make a node leave
// its own way while the store answers it otherwise.
func TestOneSilentCallIsNoReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		err := f.nodes[0].direct(t.Context(), 0, func(ctx context.Context) error {
			bounded, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
			defer cancel()
			<-bounded.Done()
			return rowstore.ErrUnknown
		})
		if !errors.Is(err, rowstore.ErrUnknown) || errors.Is(err, errTurned) {
			t.Errorf("ended with %v", err)
		}
		if via := f.nodes[0].Away(); via != "" {
			t.Errorf("calls go through %s", via)
		}
		f.stop()
	})
}

// TestOutcomesArriveAsTheyAre: what another node's store says is what the caller gets.
func TestOutcomesArriveAsTheyAre(t *testing.T) {
	rows := []rowstore.Row{{RowID: rowstore.RowID{Table: "t", Partition: "p", Key: "k"}, Value: []byte{0, 255}, Revision: 7}}
	for _, sentinel := range sentinels {
		if err := answerOf(fmt.Errorf("%w: why", sentinel)).err(); !errors.Is(err, sentinel) {
			t.Errorf("%v became %v", sentinel, err)
		}
	}
	var conflict *rowstore.ConflictError
	if !errors.As(answerOf(&rowstore.ConflictError{Rows: rows}).err(), &conflict) || conflict.Rows[0].Revision != 7 {
		t.Errorf("a conflict became %v", conflict)
	}
	if err := (answer{Outcome: "of a later program"}).err(); !errors.Is(err, rowstore.ErrUnknown) {
		t.Errorf("an outcome that is not known became %v", err)
	}
	if err := answerOf(errors.New("anything else")).err(); !errors.Is(err, rowstore.ErrUnknown) {
		t.Errorf("another error became %v", err)
	}
}

// TestErrorsTellTheWayOfACall guards against log lines that say of a call which the store refused
// to this node that it went through another one.
func TestErrorsTellTheWayOfACall(t *testing.T) {
	const way = "through another node"
	refused := answerOf(fmt.Errorf("%w: status 429", rowstore.ErrRefused))
	if got, want := refused.err().Error(), rowstore.ErrRefused.Error()+": status 429"; got != want {
		t.Errorf("own way: %q, want %q", got, want)
	}
	refused.relayed = true
	if got := refused.err().Error(); !strings.Contains(got, way) {
		t.Errorf("relayed: %q does not contain %q", got, way)
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		defer f.stop()
		for i, d := range f.nodes {
			if i == 0 {
				f.ways[i].Set(rowstoretest.Refused)
			}
			_, err := d.List(t.Context(), "t", "", "", "", 1)
			if err != nil && strings.Contains(err.Error(), way) {
				t.Errorf("call by the node's own way: %v", err)
			}
		}
	})
}

// TestQuietTimeFollowsTheTurns: the more nodes share the store, the longer one of them may
// go without an answer before it asks others.
func TestQuietTimeFollowsTheTurns(t *testing.T) {
	for _, test := range []struct {
		nodes int
		reads float64
		want  clock.Millis
	}{{10, 2000, quietLeast}, {81, 6000, quietLeast}, {300, 2000, 1200}, {300, 0, quietLeast}} {
		if got := quietTime(test.nodes, test.reads); got != test.want {
			t.Errorf("%d nodes, %v reads: %d ms, want %d", test.nodes, test.reads, got, test.want)
		}
	}
}

// TestNodeWhoseAnswersArriveKeepsItsWay guards against nodes that take a busy link for an outage
// and end the calls whose answers are arriving.
func TestNodeWhoseAnswersArriveKeepsItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2)
		ctx, cancel := context.WithCancel(t.Context())
		f.work(ctx, f.nodes[1:])
		f.store.Put("t", "", "k", []byte("v"))
		f.nodes[0].config.Store = &rowstoretest.Arriving{
			Store: f.store, Takes: 5 * time.Second, Every: 100 * time.Millisecond, OtherCalls: 2 * probeMost,
		}
		if _, err := f.nodes[0].Watch(t.Context(), "t", 0, 0); err != nil {
			t.Error(err)
		}
		if via := f.nodes[0].Away(); via != "" {
			t.Errorf("calls go through %s", via)
		}
		cancel()
		f.stop()
	})
}

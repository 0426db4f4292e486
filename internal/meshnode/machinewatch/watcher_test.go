package machinewatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

// world is the platform's list, and the membership that all nodes share.
type world struct {
	network *memnet.Network

	mu      sync.Mutex
	leaving []string
	down    bool
	reads   int
	alive   []configlog.Member
}

func (w *world) Machines(context.Context) (api.MachineList, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	if w.down {
		return api.MachineList{}, context.DeadlineExceeded
	}
	list := api.MachineList{AsOfMS: time.Now().UnixMilli(), Machines: []api.Machine{{Name: "live", State: api.MachineLive}}}
	for _, name := range w.leaving {
		list.Machines = append(list.Machines, api.Machine{Name: name, State: api.MachineLeaving})
	}
	return list, nil
}

func (w *world) Alive() []configlog.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.alive)
}

// set changes the list and lets some time pass.
func (w *world) set(howLong time.Duration, down bool, leaving ...string) {
	w.mu.Lock()
	w.down, w.leaving, w.reads = down, leaving, 0
	w.mu.Unlock()
	time.Sleep(howLong)
}

// kill ends a node, which the others notice at once.
func (w *world) kill(node *testNode) {
	node.stop()
	w.network.Kill(node.name)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive = slices.DeleteFunc(w.alive, func(m configlog.Member) bool { return m.Name == node.name })
}

type testNode struct {
	*Watcher
	name      string
	stop      func()
	announced atomic.Pointer[[]string]
}

func (w *world) start(t *testing.T, name string) *testNode {
	lg, _ := test.NewNullLogger()
	listener, err := w.network.Listen(name + ":1")
	if err != nil {
		t.Fatal(err)
	}
	transport := peer.NewTransport(lg, peer.Config{Node: name, Incarnation: 1, Listener: listener, Dial: w.network.Dialer(name)})
	node := &testNode{name: name}
	cfg := Config{Node: name, Machines: w, Peers: transport, Registry: transport, Members: w}
	node.Watcher = NewWatcher(lg, cfg, func(leaving []string) { node.announced.Store(&leaving) })
	transport.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { node.Run(ctx) })
	node.stop = func() {
		cancel()
		running.Wait()
		transport.Close()
	}
	return node
}

// TestSpread runs five nodes in one region, of which one reads the list.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{network: memnet.NewNetwork()}
		var nodes []*testNode
		for _, name := range []string{"n0", "n1", "n2", "n3", "n4"} {
			w.alive = append(w.alive, configlog.Member{Name: name, Address: name + ":1"})
		}
		for _, member := range w.Alive() {
			nodes = append(nodes, w.start(t, member.Name))
		}
		expect := func(why string, want ...string) {
			t.Helper()
			for _, node := range nodes {
				view := node.Status().View
				if !slices.Equal(view.Leaving, want) || len(node.Leaving()) != len(want) || !slices.Equal(*node.announced.Load(), want) {
					t.Errorf("%s: %s has %v and announced %v", why, node.name, view, *node.announced.Load())
				}
			}
		}
		time.Sleep(2 * time.Second)
		w.set(2*time.Second, false, "e2", "e1")
		expect("a change", "e1", "e2")
		if w.reads > 4 {
			t.Errorf("%d reads in 2 s", w.reads)
		}
		w.set(10*time.Second, true)
		expect("list down", "e1", "e2")
		i := slices.IndexFunc(nodes, func(n *testNode) bool { return n.Status().Reader })
		reader, cutOff := nodes[i], nodes[(i+1)%len(nodes)]
		if status := reader.Status(); status.Error != context.DeadlineExceeded.Error() {
			t.Errorf("status %+v", status)
		}
		w.set(2*time.Second, false, "e2")
		expect("live again", "e2")

		w.network.Cut(reader.name, cutOff.name)
		w.set(2*time.Second, false, "e3")
		expect("told by another than the reader", "e3")

		w.kill(reader)
		nodes = slices.Delete(nodes, i, i+1)
		w.set(3*time.Second, false, "e4")
		expect("dead reader", "e4")

		// Cut off from all, one misses the push, and makes it good.
		lone := nodes[slices.IndexFunc(nodes, func(n *testNode) bool { return !n.Status().Reader })]
		for _, node := range nodes {
			w.network.Cut(lone.name, node.name)
		}
		w.set(5*time.Second, false)
		if !lone.Leaving()["e4"] {
			t.Error("the cut does not hold")
		}
		for _, node := range nodes {
			w.network.Heal(lone.name, node.name)
		}
		time.Sleep(15 * time.Second)
		expect("after the cut")
		for _, node := range nodes {
			node.stop()
		}
	})
}

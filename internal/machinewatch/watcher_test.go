package machinewatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/configlog"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/peer"
)

var errDown = errors.New("list down")

// fakeList is the platform's list.
type fakeList struct {
	mu      sync.Mutex
	leaving []string
	down    bool
	reads   int
}

func (f *fakeList) Machines(context.Context) (api.MachineList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return api.MachineList{}, errDown
	}
	list := api.MachineList{AsOfMS: time.Now().UnixMilli(), Machines: []api.Machine{{Name: "live", State: api.MachineLive}}}
	for _, name := range f.leaving {
		list.Machines = append(list.Machines, api.Machine{Name: name, State: api.MachineLeaving})
	}
	return list, nil
}

func (f *fakeList) set(down bool, leaving ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down, f.leaving = down, leaving
}

func (f *fakeList) takeReads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	reads := f.reads
	f.reads = 0
	return reads
}

// fakeMembers is the membership that all nodes share.
type fakeMembers struct {
	mu    sync.Mutex
	alive []configlog.Member
}

func (f *fakeMembers) Alive() []configlog.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.alive)
}

func (f *fakeMembers) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive = slices.DeleteFunc(f.alive, func(m configlog.Member) bool { return m.Name == name })
}

type testNode struct {
	*Watcher
	name string
	stop func()
	mu   sync.Mutex
	last []string
}

func (n *testNode) announced() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last
}

func startNode(t *testing.T, network *memnet.Network, members *fakeMembers, list *fakeList, name string) *testNode {
	lg, _ := test.NewNullLogger()
	listener, err := network.Listen(name + ":1")
	if err != nil {
		t.Fatal(err)
	}
	transport := peer.NewTransport(lg, peer.Config{Node: name, Incarnation: 1, Listener: listener, Dial: network.Dialer(name)})
	node := &testNode{name: name}
	cfg := Config{Node: name, Address: name + ":1", Machines: list, Peers: transport, Registry: transport, Members: members}
	node.Watcher = NewWatcher(lg, cfg, func(leaving []string) {
		node.mu.Lock()
		defer node.mu.Unlock()
		node.last = leaving
	})
	transport.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		node.Run(ctx)
	}()
	node.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		transport.Close()
	})
	return node
}

// TestSpread runs five nodes in one region, of which one reads the list.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, members, list := memnet.NewNetwork(), &fakeMembers{}, &fakeList{}
		for i := range 5 {
			name := fmt.Sprintf("n%d", i)
			members.alive = append(members.alive, configlog.Member{Name: name, Address: name + ":1"})
		}
		var nodes []*testNode
		for _, member := range members.Alive() {
			nodes = append(nodes, startNode(t, network, members, list, member.Name))
		}
		defer func() {
			for _, node := range nodes {
				node.stop()
			}
		}()
		expect := func(why string, want ...string) {
			t.Helper()
			for _, node := range nodes {
				view := node.Status().View
				if !slices.Equal(view.Leaving, want) || len(node.Leaving()) != len(want) || !slices.Equal(node.announced(), want) {
					t.Errorf("%s: %s has %v and announced %v", why, node.name, view, node.announced())
				}
			}
		}
		time.Sleep(2 * time.Second)
		list.takeReads()
		list.set(false, "e2", "e1")
		time.Sleep(2 * time.Second)
		expect("a change", "e1", "e2")
		if reads := list.takeReads(); reads > 4 {
			t.Errorf("%d reads in 2 s", reads)
		}
		list.set(true)
		time.Sleep(10 * time.Second)
		expect("list down", "e1", "e2")
		reader := slices.IndexFunc(nodes, func(n *testNode) bool { return n.Status().Reader })
		if status := nodes[reader].Status(); status.Error != errDown.Error() {
			t.Errorf("status %+v", status)
		}
		list.set(false, "e2")
		time.Sleep(2 * time.Second)
		expect("live again", "e2")

		// The reader cannot reach one node, which hears it from another.
		cutOff := nodes[(reader+1)%len(nodes)]
		network.Cut(nodes[reader].name, cutOff.name)
		list.set(false, "e3")
		time.Sleep(2 * time.Second)
		expect("behind a cut", "e3")

		// The reader dies, and the next one takes over.
		nodes[reader].stop()
		network.Kill(nodes[reader].name)
		members.remove(nodes[reader].name)
		nodes = slices.Delete(nodes, reader, reader+1)
		list.set(false, "e4")
		time.Sleep(3 * time.Second)
		expect("dead reader", "e4")

		// One that is cut off from all misses the push, and makes it good.
		for _, node := range nodes[1:] {
			network.Cut(nodes[0].name, node.name)
		}
		list.set(false)
		time.Sleep(5 * time.Second)
		for _, node := range nodes[1:] {
			network.Heal(nodes[0].name, node.name)
		}
		time.Sleep(15 * time.Second)
		expect("after the cut")
	})
}

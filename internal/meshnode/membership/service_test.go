package membership

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

type testNode struct {
	transport *peer.Transport
	service   *Service
	digest    atomic.Int64
}

func startNode(t *testing.T, network *memnet.Network, index int, incarnation int64) *testNode {
	t.Helper()
	lg, _ := logtest.NewNullLogger()
	name := fmt.Sprintf("n%d", index)
	listener, err := network.Listen(name + ":1")
	if err != nil {
		t.Fatal(err)
	}
	node := &testNode{}
	node.transport = peer.NewTransport(lg, peer.Config{Node: name, Incarnation: incarnation, Listener: listener, Dial: network.Dialer(name)})
	node.service = NewService(lg, ServiceConfig{
		Self:     Identity{Name: name, Incarnation: incarnation, PeerAddress: name + ":1", Zone: fmt.Sprintf("z%d", index%3), Region: "r"},
		Seeds:    []Seed{{"n0", "n0:1"}, {"n1", "n1:1"}},
		OnDigest: func(_ Member, digest int64) { node.digest.Store(max(node.digest.Load(), digest)) },
	}, node.transport)
	node.transport.Start()
	node.service.Start()
	return node
}

func (n *testNode) close() {
	n.service.Close()
	n.transport.Close()
}

// Five nodes over the real transport: they find each other, one announces its
// stop, one dies without a word and comes back.
func TestServiceOverTransport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		var nodes []*testNode
		for i := range 5 {
			nodes = append(nodes, startNode(t, network, i, 1))
		}
		time.Sleep(5 * time.Second)
		for i, node := range nodes {
			if alive := len(node.service.Alive()); alive != 5 {
				t.Fatalf("n%d sees %d alive", i, alive)
			}
		}
		nodes[3].service.SetDigest(42)
		changes := nodes[0].service.Changes()
		if err := nodes[4].service.Leave(context.Background()); err != nil {
			t.Fatal(err)
		}
		nodes[4].close()
		network.Kill("n2")
		nodes[2].close()
		time.Sleep(10 * time.Second)
		select {
		case <-changes:
		default:
			t.Error("no change was told")
		}
		for _, i := range []int{0, 1, 3} {
			snapshot := nodes[i].service.Snapshot()
			expectState(t, snapshot, "n4", StateLeft)
			expectState(t, snapshot, "n2", StateDead)
			if i != 3 && nodes[i].digest.Load() != 42 {
				t.Errorf("n%d has not seen the digest", i)
			}
		}
		nodes[2] = startNode(t, network, 2, 2)
		time.Sleep(5 * time.Second)
		for _, i := range []int{0, 1, 2, 3} {
			expectState(t, nodes[i].service.Snapshot(), "n2", StateAlive)
			nodes[i].close()
		}
	})
}

func expectState(t *testing.T, snapshot *Snapshot, name string, state State) {
	t.Helper()
	member, _ := snapshot.Find(name)
	if member.State != state {
		t.Errorf("%s sees %s %q (%v), want %q", snapshot.Self, name, member.State, member.Observers, state)
	}
}

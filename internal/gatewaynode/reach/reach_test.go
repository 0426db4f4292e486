package reach

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

type standing map[upstream.Peer]int

func (s standing) Standing() map[upstream.Peer]int { return s }

var zones = place.NewMap(map[string]string{"a": "r", "b": "s"})

func pool(count int) []fleet.Backend {
	made := make([]fleet.Backend, count)
	for i := range made {
		made[i].Instance = fleet.Instance{ID: fmt.Sprintf("b%03d", i), Address: fmt.Sprintf("b%03d:1", i), Zone: "a"}
	}
	return made
}

// ordered returns the ids of back ends in a node's order.
func ordered(node string, backends []fleet.Backend) []string {
	New(node, place.NewDistances(zones.Of("a"), zones), standing{}).Fill(backends, time.Now())
	slices.SortFunc(backends, func(a, b fleet.Backend) int { return cmp.Compare(a.Reach.Order, b.Reach.Order) })
	var ids []string
	for _, b := range backends {
		ids = append(ids, b.ID)
	}
	return ids
}

func TestNodesBeginWithDifferentBackEnds(t *testing.T) {
	const nodes, backends = 300, 30
	firsts := make(map[string]int)
	for i := range nodes {
		firsts[ordered(fmt.Sprintf("node-%d", i), pool(backends))[0]]++
	}
	for id, count := range firsts {
		if count > 3*nodes/backends {
			t.Errorf("%s is first for %d of %d nodes", id, count, nodes)
		}
	}
	if len(firsts) < backends-2 {
		t.Errorf("only %d of %d back ends are first for a node", len(firsts), backends)
	}
}

func TestOrderStaysWhenABackEndLeaves(t *testing.T) {
	before := ordered("n", pool(20))
	left := slices.DeleteFunc(pool(20), func(b fleet.Backend) bool { return b.ID == before[0] })
	if after := ordered("n", left); !slices.Equal(after, before[1:]) {
		t.Errorf("without the first: %v, want %v", after, before[1:])
	}
}

func TestFill(t *testing.T) {
	backends := pool(2)
	backends[1].Zone = "b"
	book := New("n", place.NewDistances(zones.Of("a"), zones), standing{{Address: "b000:1", Instance: "b000"}: 2, {Address: "b001:1", Instance: "other"}: 5})
	now := time.Now()
	book.Observe("b", 24*time.Millisecond, now)
	book.Fill(backends, now)
	if got := backends[0].Reach; got.Idle != 2 || got.Distance != 0 {
		t.Errorf("own zone: %+v", got)
	}
	if got := backends[1].Reach; got.Idle != 0 || got.Distance != 24 {
		t.Errorf("other region, connections to an earlier incarnation: %+v", got)
	}
}

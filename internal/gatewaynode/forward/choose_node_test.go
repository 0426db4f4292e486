package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/reach"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// connections counts the idle connections of a fake node by peer.
type connections map[upstream.Peer]int

func (c connections) Standing() map[upstream.Peer]int { return c }

// sender is a fake node that sends requests.
type sender struct {
	fleet       *fleet.Fleet
	connections connections
	reach       *reach.Book
	opened      int
}

func newSender(name, zone string, zones place.Map, backends []fleet.Instance) *sender {
	s := &sender{fleet: fleet.New(nil), connections: make(connections)}
	s.fleet.Replace(backends)
	s.reach = reach.New(name, place.NewDistances(zones.Of(zone), zones), s.connections)
	return s
}

// choose returns the backend that the node would send a request to.
func (s *sender) choose(t *testing.T, now time.Time) fleet.Backend {
	t.Helper()
	backends := s.fleet.Service("s", now)
	s.reach.Fill(backends, now)
	chosen, found := Choose(backends, Want{}, &eligibility.Snapshot{Now: now})
	if !found {
		t.Fatal("no backend chosen")
	}
	return chosen
}

// send starts a request to a backend, over an idle connection if there is one. The returned
// function ends the request with the load that the backend reports.
func (s *sender) send(b fleet.Backend, now time.Time) func(running, waiting int) {
	peer := upstream.Peer{Address: b.Address, Instance: b.ID}
	if s.connections[peer] == 0 {
		s.opened++
	} else {
		s.connections[peer]--
	}
	end := s.fleet.Begin(b.ID)
	return func(running, waiting int) {
		s.fleet.ObserveLoad(b.ID, fleet.Load{Running: running, Waiting: waiting}, now)
		end()
		s.connections[peer]++
		s.fleet.ObserveLatency(b.ID, defaultLatency*time.Duration(1+waiting/b.Slots))
	}
}

// instances returns backends of a service, distributed round-robin over the zones.
func instances(count int, zones ...string) []fleet.Instance {
	made := make([]fleet.Instance, count)
	for i := range made {
		made[i] = fleet.Instance{
			ID: fmt.Sprintf("b%02d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Service: "s", Zone: zones[i%len(zones)], Slots: 6, Revision: 1,
		}
	}
	return made
}

var threeZones = place.NewMap(map[string]string{"a": "r", "b": "r", "c": "r"})

// round lets each node send a number of concurrent requests and counts them by backend.
func round(t *testing.T, nodes []*sender, each int, now time.Time, counts map[string]int) {
	running := make(map[string]int)
	var ends []func()
	for range each {
		for _, node := range nodes {
			b := node.choose(t, now)
			end := node.send(b, now)
			running[b.ID]++
			counts[b.ID]++
			ends = append(ends, func() { end(min(running[b.ID], b.Slots), max(running[b.ID]-b.Slots, 0)) })
		}
	}
	for _, end := range ends {
		end()
	}
}

// TestLoadIsEvenUnderOverload checks that nodes that choose independently spread their load.
func TestLoadIsEvenUnderOverload(t *testing.T) {
	backends := instances(17, "a", "b", "c")
	var nodes []*sender
	for i := range 87 {
		nodes = append(nodes, newSender(fmt.Sprintf("n%02d", i), []string{"a", "b", "c"}[i%3], threeZones, backends))
	}
	counts := make(map[string]int)
	now := chooseNow
	for range 50 {
		round(t, nodes, 2, now, counts)
		now = now.Add(100 * time.Millisecond)
	}
	busiest, total := 0, 0
	for _, count := range counts {
		busiest, total = max(busiest, count), total+count
	}
	if mean := float64(total) / float64(len(backends)); float64(busiest) > 1.3*mean {
		t.Errorf("the busiest backend got %.2f times the mean: %v", float64(busiest)/mean, counts)
	}
}

// TestNodeReusesConnection checks that a node with one request at a time stays with the
// backend that it is connected to.
func TestNodeReusesConnection(t *testing.T) {
	node := newSender("n", "a", threeZones, instances(300, "a", "b", "c"))
	counts := make(map[string]int)
	now := chooseNow
	for range 200 {
		round(t, []*sender{node}, 1, now, counts)
		now = now.Add(time.Second)
	}
	if node.opened > 1 || len(counts) > 1 {
		t.Errorf("%d connections to %d backends for one request at a time, want 1", node.opened, len(counts))
	}
}

// steadyNode returns a node that has sent some requests, the backend that it uses, and the time.
func steadyNode(t *testing.T, backends []fleet.Instance) (*sender, fleet.Backend, time.Time) {
	t.Helper()
	node := newSender("n", "a", threeZones, backends)
	now := chooseNow
	for range 20 {
		round(t, []*sender{node}, 1, now, make(map[string]int))
		now = now.Add(time.Second)
	}
	return node, node.choose(t, now), now
}

// TestNodeSwitchesAtOnce checks that a node switches to another backend of its zone as soon as
// the one that it is connected to is unusable or slow.
func TestNodeSwitchesAtOnce(t *testing.T) {
	backends := instances(9, "a", "b", "c")
	for _, test := range []struct {
		name   string
		change func(node *sender, kept fleet.Backend, now time.Time)
	}{
		{"all connected backends failed", func(node *sender, _ fleet.Backend, now time.Time) {
			for peer := range node.connections {
				node.fleet.ObserveFailure(peer.Instance, "reset", now)
			}
		}},
		{"refused", func(node *sender, kept fleet.Backend, now time.Time) {
			node.fleet.Suspend(kept.ID, "refused", now.Add(time.Second))
		}},
		{"removed", func(node *sender, kept fleet.Backend, _ time.Time) {
			node.fleet.Update(nil, []string{kept.ID})
		}},
		{"full", func(node *sender, kept fleet.Backend, now time.Time) {
			node.fleet.ObserveLoad(kept.ID, fleet.Load{Running: kept.Slots, Waiting: 3}, now)
		}},
		{"slow", func(node *sender, kept fleet.Backend, _ time.Time) {
			for range 5 {
				node.fleet.ObserveLatency(kept.ID, 10*defaultLatency)
			}
		}},
	} {
		node, kept, now := steadyNode(t, backends)
		test.change(node, kept, now)
		if next := node.choose(t, now); next.ID == kept.ID || next.Zone != "a" {
			t.Errorf("%s: switches from %s to %s in zone %s", test.name, kept.ID, next.ID, next.Zone)
		}
	}
}

// TestNodeStaysDespiteSlowResponse checks that a single slow response causes no switch.
func TestNodeStaysDespiteSlowResponse(t *testing.T) {
	node, kept, now := steadyNode(t, instances(9, "a", "b", "c"))
	node.fleet.ObserveLatency(kept.ID, 2*defaultLatency)
	if next := node.choose(t, now); next.ID != kept.ID {
		t.Errorf("switches to %s after one response that took twice as long", next.ID)
	}
}

// TestRemoteRegionIsUsedOnceLocalIsFull checks that a node prefers its zone, then its region.
func TestRemoteRegionIsUsedOnceLocalIsFull(t *testing.T) {
	zones := place.NewMap(map[string]string{"a": "near", "b": "near", "c": "far"})
	backends := instances(6, "a", "b", "c")
	node := newSender("n", "a", zones, backends)
	now := chooseNow
	if first := node.choose(t, now); first.Zone != "a" {
		t.Errorf("a node of zone a starts with zone %s", first.Zone)
	}
	fill := func(zone string, waiting int) {
		for _, b := range backends {
			if b.Zone == zone {
				node.fleet.ObserveLoad(b.ID, fleet.Load{Running: b.Slots, Waiting: waiting}, now)
			}
		}
	}
	fill("a", 0)
	if next := node.choose(t, now); next.Zone != "b" {
		t.Errorf("with its own zone full it chooses zone %s", next.Zone)
	}
	fill("b", 0)
	if next := node.choose(t, now); next.Zone != "c" {
		t.Errorf("with its own region full it chooses zone %s", next.Zone)
	}
}

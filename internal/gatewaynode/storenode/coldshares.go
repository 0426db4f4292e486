package storenode

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/batch"
	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// sharesFor is how long shares are kept: they are asked for with each item that could go
// to a cold back end, and membership changes in beats.
const sharesFor = 500 * time.Millisecond

// coldShares says how many requests this node may send to each cold back end. It is safe
// for concurrent use.
type coldShares struct {
	node *Node

	mu   sync.Mutex
	kept ranks
}

// ranks is what shares are worked out from, as of one moment, and those that were.
type ranks struct {
	until  time.Time
	live   []presence.Node
	owners map[string][]string
	shares map[string]int
}

func newColdShares(node *Node) *coldShares { return &coldShares{node: node} }

// of returns the share of a back end, coldstart.Unbounded where nothing is bounded.
func (s *coldShares) of(b *fleet.Backend, now time.Time) int {
	limits := s.node.limits(b.Service)
	switch {
	case !limits.Bounds():
		return coldstart.Unbounded
	case !s.node.presence.Counted(now):
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.kept.until) {
		s.kept = ranks{
			until: now.Add(sharesFor), live: s.node.presence.Live(now),
			owners: make(map[string][]string), shares: make(map[string]int),
		}
	}
	share, known := s.kept.shares[b.ID]
	if !known {
		owners := s.ownersOf(b.Service)
		share = coldstart.Share(limits, rankFor(s.kept.live, owners, b.ID, s.node.config.Self.Name), len(owners))
		s.kept.shares[b.ID] = share
	}
	return share
}

// ownersOf returns the owners of jobs whose work goes to a service. The lock is held.
func (s *coldShares) ownersOf(service string) []string {
	owners, known := s.kept.owners[service]
	if !known {
		owners = ownersFirst(s.kept.live, s.node.ownerKeys(service))
		s.kept.owners[service] = owners
	}
	return owners
}

// ownersFirst returns the names of the nodes that own jobs by the keys, the order of keys
// kept. It is pure.
func ownersFirst(live []presence.Node, keys []string) []string {
	keepers := presence.Keepers(live)
	if len(keepers) == 0 {
		return nil
	}
	var owners []string
	seen := make(map[string]bool)
	for _, key := range keys {
		name := presence.Rank(keepers, key)[0].Name
		if !seen[name] {
			seen[name] = true
			owners = append(owners, name)
		}
	}
	return owners
}

// rankFor returns the place of a node among those that may send to a back end: the owners
// first, the others by rendezvous hashing with its id; -1 if the node is not live. It is
// pure.
func rankFor(live []presence.Node, owners []string, backend, self string) int {
	if place := slices.Index(owners, self); place >= 0 {
		return place
	}
	if presence.Place(live, self) < 0 {
		return -1
	}
	others := slices.DeleteFunc(slices.Clone(live), func(n presence.Node) bool { return slices.Contains(owners, n.Name) })
	return len(owners) + presence.Among(others, backend, self)
}

// ownerKeys returns the keys that jobs whose work goes to a service are owned by: those
// of the service itself if jobs run there, or else, since items are scored there, those
// of all services that jobs run at.
func (n *Node) ownerKeys(service string) []string {
	table := n.table.Load()
	if table == nil {
		return nil
	}
	services := jobServices(table)
	if slices.Contains(services, service) {
		services = []string{service}
	}
	var keys []string
	for _, name := range services {
		slots, _ := n.fleet.Slots(name)
		keys = append(keys, batch.OwnerKeys(name, n.fleet.Models(name), slots)...)
	}
	return keys
}

// jobServices returns the services that batch jobs run at, ordered.
func jobServices(table *routetable.Table) []string {
	services := make(map[string]bool)
	for i := range table.Routes {
		route := &table.Routes[i]
		if route.Kind != routetable.KindBatch {
			continue
		}
		for _, split := range route.Splits {
			services[split.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

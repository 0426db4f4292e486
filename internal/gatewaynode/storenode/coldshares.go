package storenode

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/batch"
	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
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
	owners map[placement][]string
	shares map[string]int
}

func newColdShares(node *Node) *coldShares { return &coldShares{node: node} }

// of returns the share of a back end, coldstart.Unbounded where nothing is bounded.
func (s *coldShares) of(b *fleet.Backend, now time.Time) int {
	limits := s.node.limits(b.Service)
	switch {
	case !limits.Enabled():
		return coldstart.Unbounded
	case !s.node.presence.Counted(now):
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.kept.until) {
		s.kept = ranks{
			until: now.Add(sharesFor), live: s.node.presence.Live(now),
			owners: make(map[placement][]string), shares: make(map[string]int),
		}
	}
	share, known := s.kept.shares[b.ID]
	if !known {
		owners := s.ownersOf(b.Service, s.node.config.Eligibility.Zones.Region(b.Zone))
		rank := rankFor(s.kept.live, owners, b.ID, s.node.config.Self.Name)
		share = coldstart.Share(limits, rank, len(owners), len(s.kept.live))
		s.kept.shares[b.ID] = share
	}
	return share
}

// ownersOf returns the owners of jobs whose work goes to back ends of a service in a
// region. The lock is held.
func (s *coldShares) ownersOf(service, region string) []string {
	at := placement{service, region}
	owners, known := s.kept.owners[at]
	if !known {
		owners = ownersFirst(s.kept.live, s.node.pools(service, region))
		s.kept.owners[at] = owners
	}
	return owners
}

// placement is where work goes to: a service in a region, empty if that is not known.
type placement struct{ service, region string }

// jobPool is jobs that one node owns: by which key, and where they may live.
type jobPool struct {
	key     string
	regions place.Regions
}

// ownersFirst returns the names of the nodes that own the jobs of pools, in the order of
// these. It is pure.
func ownersFirst(live []presence.Node, pools []jobPool) []string {
	var owners []string
	for _, pool := range pools {
		keepers := presence.KeepersWithin(live, pool.regions)
		if len(keepers) == 0 {
			continue
		}
		if name := presence.Rank(keepers, pool.key)[0].Name; !slices.Contains(owners, name) {
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

// pools returns the pools of jobs whose work may go to back ends of a service in a region,
// each once: those of the service itself if jobs run there, or else, since items are scored
// there, those of all services that jobs run at.
func (n *Node) pools(service, region string) []jobPool {
	table := n.table.Load()
	if table == nil {
		return nil
	}
	routes := jobRoutes(table, service)
	if len(routes) == 0 {
		routes = jobRoutes(table, "")
	}
	var found []jobPool
	for _, route := range routes {
		runsAt := route.Splits[0].Service
		slots, _ := n.fleet.Slots(runsAt)
		for _, regions := range livesIn(table, route, region) {
			for _, key := range batch.OwnerKeys(runsAt, n.fleet.Models(runsAt), slots) {
				if pool := (jobPool{key: key, regions: regions}); !slices.Contains(found, pool) {
					found = append(found, pool)
				}
			}
		}
	}
	return found
}

// jobRoutes returns the routes of batch jobs that run at a service, at any if it is empty.
func jobRoutes(table *routetable.Table, service string) []*routetable.Route {
	var found []*routetable.Route
	for i := range table.Routes {
		route := &table.Routes[i]
		if route.Kind == routetable.KindBatch && len(route.Splits) > 0 && (service == "" || route.Splits[0].Service == service) {
			found = append(found, route)
		}
	}
	return found
}

// livesIn returns the sets of regions, ordered, in which jobs of a route may live whose
// work may go to a region; any if that is not known.
func livesIn(table *routetable.Table, route *routetable.Route, region string) []place.Regions {
	var found []place.Regions
	for _, tenant := range append(table.Tenants.Regions(), place.Regions{}) {
		both := route.Regions.Intersect(tenant)
		if !both.IsEmpty() && (region == "" || both.Has(region)) && !slices.Contains(found, both) {
			found = append(found, both)
		}
	}
	slices.SortFunc(found, func(a, b place.Regions) int { return cmp.Compare(a.String(), b.String()) })
	return found
}

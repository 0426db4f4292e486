package presence

import (
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

const (
	// keepersWithinLeast is from how many of the keepers of all jobs on these are enough for
	// those of the regions they stand in: two in each of two zones. The first in rank of all
	// is then the first of its own region too, so that a service has fewer owners than sets
	// of regions; an owner keeps the connections to back ends for all of its jobs.
	keepersWithinLeast = 4
	// keepersWithinMost is how many nodes keep the jobs of regions where there are fewer:
	// enough for a region's zones to be lost one after the other, and few enough that
	// several regions together do not make most nodes read the jobs.
	keepersWithinMost = 16
)

// Within returns the nodes that stand in regions.
func Within(nodes []Node, regions place.Regions) []Node {
	if regions.Everywhere() {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return !regions.Has(n.Region) })
}

// KeepersWithin returns those of the nodes that own jobs which may live in regions
// alone, and take them over. Nodes agree on them wherever they know the same nodes.
func KeepersWithin(nodes []Node, regions place.Regions) []Node {
	if regions.Everywhere() {
		return Keepers(nodes)
	}
	if some := Within(Keepers(nodes), regions); len(some) >= keepersWithinLeast {
		return some
	}
	ranked := Rank(Within(nodes, regions), keepersKey)
	return ranked[:min(len(ranked), keepersWithinMost)]
}

// SelfKeepsWithin tells whether this node is among the keepers of one of the sets of
// regions.
func (r *Registry) SelfKeepsWithin(sets []place.Regions, now time.Time) bool {
	self := r.Self()
	sets = slices.DeleteFunc(slices.Clone(sets), func(regions place.Regions) bool { return !regions.Has(self.Region) })
	if len(sets) == 0 {
		return false
	}
	live := r.Live(now)
	return slices.ContainsFunc(sets, func(regions place.Regions) bool {
		return Place(KeepersWithin(live, regions), self.Name) >= 0
	})
}

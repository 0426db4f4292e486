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
	if regions.IsAll() {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return !regions.Has(n.Region) })
}

// KeepersWithin returns those of the nodes that own jobs which may live in regions
// alone, and take them over. Nodes agree on them wherever they know the same nodes.
func KeepersWithin(nodes []Node, regions place.Regions) []Node {
	if regions.IsAll() {
		return Keepers(nodes)
	}
	return keepersWithin(nodes, Keepers(nodes), regions)
}

// keepersWithin is KeepersWithin for regions that are not all, where the keepers of all
// jobs are known.
func keepersWithin(nodes, keepers []Node, regions place.Regions) []Node {
	if some := Within(keepers, regions); len(some) >= keepersWithinLeast {
		return some
	}
	ranked := Rank(Within(nodes, regions), keepersKey)
	return ranked[:min(len(ranked), keepersWithinMost)]
}

// SelfKeepsWithin tells whether this node is among the keepers of the live nodes, or among
// those of one of the sets of regions.
func (r *Registry) SelfKeepsWithin(sets []place.Regions, now time.Time) bool {
	self, members := r.Self(), r.Members(now)
	if Place(members.KeepersWithin(place.Regions{}), self.Name) >= 0 {
		return true
	}
	return slices.ContainsFunc(sets, func(regions place.Regions) bool {
		return regions.Has(self.Region) && Place(members.KeepersWithin(regions), self.Name) >= 0
	})
}

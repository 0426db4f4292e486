package backend

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// Subset returns the size back ends of a pool that the node uses, in the order
// of the pool. Those in the node's zone come first, then those in its region;
// within one such class the node's own rendezvous ranks decide. Back ends for
// which unusable is true come last, so that a drained zone does not leave a
// node without back ends. A size of zero or less means all.
func Subset(backends []configlog.Backend, node, zone, region string, size int, unusable func(configlog.Backend) bool) []configlog.Backend {
	if size <= 0 || len(backends) <= size {
		return backends
	}
	key := xxhash.Sum64String(node)
	ranked := make([]rankedBackend, len(backends))
	for i, b := range backends {
		class := distance(b, zone, region)
		if unusable(b) {
			class = distanceUnusable
		}
		ranked[i] = rankedBackend{index: i, class: class, rank: routing.Rendezvous(b.Name, key)}
	}
	slices.SortFunc(ranked, func(a, b rankedBackend) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.rank, a.rank))
	})
	ranked = ranked[:size]
	slices.SortFunc(ranked, func(a, b rankedBackend) int { return cmp.Compare(a.index, b.index) })
	subset := make([]configlog.Backend, size)
	for i, r := range ranked {
		subset[i] = backends[r.index]
	}
	return subset
}

type rankedBackend struct {
	index int
	class int
	rank  uint64
}

const (
	distanceZone = iota
	distanceRegion
	distanceFar
	distanceUnusable
)

func distance(b configlog.Backend, zone, region string) int {
	switch {
	case b.Zone == zone:
		return distanceZone
	case b.Region == region:
		return distanceRegion
	}
	return distanceFar
}

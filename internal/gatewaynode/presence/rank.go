package presence

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// capableShare is the share of the cores of the largest node from which on a
// node counts as capable of work that one node does for all.
const capableShare = 0.5

// Rank orders nodes for a key, best first: capable nodes go before small ones,
// and among each of both the order is by rendezvous hashing. Nodes agree on it
// wherever they know the same nodes, and the loss of one moves only the keys
// that it was best for.
func Rank(nodes []Node, key string) []Node {
	ranked := slices.Clone(nodes)
	weights := make(map[string]uint64, len(nodes))
	most := 0.0
	for _, n := range nodes {
		weights[n.Name] = weight(key, n.Name)
		most = max(most, n.Cores)
	}
	slices.SortFunc(ranked, func(a, b Node) int {
		if small := a.small(most); small != b.small(most) {
			if small {
				return 1
			}
			return -1
		}
		return cmp.Compare(weights[b.Name], weights[a.Name])
	})
	return ranked
}

// Among returns a node's place for a key among others by rendezvous hashing alone,
// whatever they are capable of: small shares of many keys fall to all nodes alike.
func Among(nodes []Node, key, name string) int {
	own := weight(key, name)
	place := 0
	for _, n := range nodes {
		if n.Name != name && weight(key, n.Name) > own {
			place++
		}
	}
	return place
}

func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// Place returns where the node stands.
func (n Node) Place() place.Place { return place.Place{Zone: n.Zone, Region: n.Region} }

// small tells whether a node is not capable beside the largest one, which has
// most cores.
func (n Node) small(most float64) bool { return n.Cores < capableShare*most }

// RankSteady orders nodes for a key as Rank does, but puts first, among the
// capable ones, those that were restarted by plan more often: in the middle of a
// rolling restart they are the ones that will not be stopped next.
func RankSteady(nodes []Node, key string) []Node {
	ranked := Rank(nodes, key)
	capable := ranked[:Capable(ranked)]
	slices.SortStableFunc(capable, func(a, b Node) int { return cmp.Compare(b.PlannedStarts, a.PlannedStarts) })
	return ranked
}

// Capable returns how many nodes at the head of a rank are capable.
func Capable(ranked []Node) int {
	most := 0.0
	for _, n := range ranked {
		most = max(most, n.Cores)
	}
	count := 0
	for count < len(ranked) && !ranked[count].small(most) {
		count++
	}
	return count
}

const (
	// keepersMost is how many nodes keep the jobs of all: enough for several zones to be
	// lost, and few enough to read their table at once when all nodes start.
	keepersMost = 48
	// keepersKey is what keepers are ranked by.
	keepersKey = "keepers"
)

// Keepers returns those of the nodes, the capable ones first, that own jobs and take
// them over. Nodes agree on them wherever they know the same nodes.
func Keepers(nodes []Node) []Node {
	ranked := Rank(nodes, keepersKey)
	return ranked[:min(len(ranked), keepersMost)]
}

// Place returns a node's place in a rank, -1 if it is not there.
func Place(ranked []Node, name string) int {
	return slices.IndexFunc(ranked, func(n Node) bool { return n.Name == name })
}

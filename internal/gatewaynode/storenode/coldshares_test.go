package storenode

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

func nodesNamed(count int) []presence.Node {
	nodes := make([]presence.Node, count)
	for i := range nodes {
		nodes[i] = presence.Node{Name: fmt.Sprintf("n%03d", i), Cores: 0.8}
		if i%3 == 0 {
			nodes[i].Cores = 0.192
		}
	}
	return nodes
}

func without(nodes []presence.Node, names ...string) []presence.Node {
	var left []presence.Node
	for _, n := range nodes {
		gone := false
		for _, name := range names {
			gone = gone || n.Name == name
		}
		if !gone {
			left = append(left, n)
		}
	}
	return left
}

// shareOf returns what a node may send to a back end by the nodes and owners that it
// knows.
func shareOf(limits coldstart.Limits, known []presence.Node, owners []string, backend, self string) int {
	return coldstart.Share(limits, rankFor(known, owners, backend, self), len(owners), len(known))
}

// TestSharesOfNodesThatKnowOthers: while membership changes, some nodes know it as it was
// and some as it is. Each row changes it once or a few times; whoever knows what, all
// shares together stay within the bound.
func TestSharesOfNodesThatKnowOthers(t *testing.T) {
	limits := coldstart.Limits{PerSecond: 16, Overage: 1.5, Slack: 5}
	few := coldstart.Limits{PerSecond: 2, Overage: 1.5, Slack: 5}
	keys := []jobPool{{key: "pool/a"}, {key: "pool/b"}, {key: "pool/c"}}
	for _, size := range []int{1, 2, 3, 4, 59, 87, 330} {
		all := nodesNamed(size)
		owners := ownersFirst(all, keys)
		views := map[string][]presence.Node{
			"the same nodes":        all,
			"an owner is gone":      without(all, owners[0]),
			"another node is gone":  without(all, all[len(all)/2].Name),
			"all owners are gone":   without(all, owners...),
			"a node is yet to come": append(nodesNamed(size), presence.Node{Name: "new", Cores: 0.8}),
		}
		for name, changed := range views {
			changedOwners := ownersFirst(changed, keys)
			for _, l := range []coldstart.Limits{limits, few} {
				for _, backend := range []string{"b1", "b2"} {
					most := 0
					for _, n := range append(slices.Clone(all), presence.Node{Name: "new", Cores: 0.8}) {
						before, after := shareOf(l, all, owners, backend, n.Name), shareOf(l, changed, changedOwners, backend, n.Name)
						most += max(before, after)
					}
					if most > l.Bound() {
						t.Errorf("%d nodes, %s, %s: %d of %d", size, name, backend, most, l.Bound())
					}
				}
			}
		}
	}
}

// TestSharesReachManyBackends: with shares of one, most nodes may send to some back end of
// a service, so that a service which is cold as a whole can be used from most nodes.
func TestSharesReachManyBackends(t *testing.T) {
	limits := coldstart.Limits{PerSecond: 16, Overage: 1.5, Slack: 5}
	for _, test := range []struct{ nodes, backends, served int }{{59, 17, 50}, {87, 17, 60}, {330, 61, 230}} {
		all := nodesNamed(test.nodes)
		owners := ownersFirst(all, []jobPool{{key: "pool"}})
		served := 0
		for _, n := range all {
			for b := range test.backends {
				if shareOf(limits, all, owners, fmt.Sprint("b", b), n.Name) > 0 {
					served++
					break
				}
			}
		}
		t.Logf("%d nodes, %d back ends: %d nodes have a share of one", test.nodes, test.backends, served)
		if served < test.served {
			t.Errorf("%d nodes, %d back ends: %d nodes have a share of one, want %d", test.nodes, test.backends, served, test.served)
		}
	}
}

// TestOwnersOfJobsThatAreBoundToRegions: who owns jobs whose work may go to a back end has
// a share there, also where these live in some regions alone.
func TestOwnersOfJobsThatAreBoundToRegions(t *testing.T) {
	nodes := nodesNamed(30)
	for i := range nodes {
		nodes[i].Region = []string{"north", "south", "west"}[i%3]
	}
	north, both := place.NewRegions("north"), place.NewRegions("south", "north")
	batchRoute := func(name string, regions place.Regions) routetable.Route {
		return routetable.Route{Name: name, Kind: routetable.KindBatch, Splits: []routetable.Split{{Service: "pool", Weight: 1}}, Regions: regions}
	}
	table := routetable.New(1, []routetable.Route{batchRoute("a", north), batchRoute("b", both), batchRoute("c", place.Regions{})}, nil, routetable.Limits{})
	node := &Node{fleet: fleet.New(nil)}
	node.table.Store(table)
	first := func(regions place.Regions) string {
		return presence.Rank(presence.KeepersWithin(nodes, regions), "pool")[0].Name
	}
	for region, bound := range map[string][]place.Regions{"north": {north, both, {}}, "south": {both, {}}, "west": {{}}, "": {north, both, {}}} {
		for _, service := range []string{"pool", "scoring"} {
			owners := ownersFirst(nodes, node.pools(service, region))
			for _, regions := range bound {
				if !slices.Contains(owners, first(regions)) {
					t.Errorf("%s in %q: owners %v, without %s of jobs in %s", service, region, owners, first(regions), regions)
				}
			}
			if len(owners) > len(bound) {
				t.Errorf("%s in %q: owners %v for %d sets of regions", service, region, owners, len(bound))
			}
		}
	}
}

package presence

import (
	"fmt"
	"testing"
)

// mixed returns nodes of which every fourth has four times the cores of the
// others.
func mixed(count int) []Node {
	list := nodes(count)
	for i := range list {
		list[i].Cores = 0.2
		if i%4 == 0 {
			list[i].Cores = 0.8
		}
	}
	return list
}

func TestRankPutsCapableNodesFirst(t *testing.T) {
	all := mixed(20)
	owners := make(map[string]bool)
	for key := range 200 {
		for place, n := range Rank(all, fmt.Sprint(key)) {
			if large := n.Cores > 0.5; large != (place < 5) {
				t.Fatalf("key %d: place %d is a node of %.1f cores", key, place, n.Cores)
			}
		}
		owners[Rank(all, fmt.Sprint(key))[0].Name] = true
	}
	if len(owners) != 5 {
		t.Errorf("%d nodes own keys, want 5", len(owners))
	}
}

func TestRankOfEqualNodesDoesNotDependOnTheirSize(t *testing.T) {
	small, large := nodes(8), nodes(8)
	for i := range small {
		small[i].Cores, large[i].Cores = 0.1, 4
	}
	for key := range 50 {
		for place, n := range Rank(small, fmt.Sprint(key)) {
			if other := Rank(large, fmt.Sprint(key))[place]; other.Name != n.Name {
				t.Fatalf("key %d, place %d: %s and %s", key, place, n.Name, other.Name)
			}
		}
	}
}

func TestRankSteadyKeepsSmallNodesLast(t *testing.T) {
	all := mixed(8)
	all[1].PlannedStarts = 2
	all[4].PlannedStarts = 1
	ranked := RankSteady(all, "key")
	if ranked[0].Name != all[4].Name {
		t.Errorf("first is %s", ranked[0].Name)
	}
	if Capable(ranked) != 2 {
		t.Errorf("%d capable nodes, want 2", Capable(ranked))
	}
}

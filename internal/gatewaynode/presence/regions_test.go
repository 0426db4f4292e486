package presence

import (
	"fmt"
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// TestChoose sends callers to nodes of the regions a, b and c, each with one zone but a.
func TestChoose(t *testing.T) {
	stand := func(name, zone, region string) Node { return Node{Name: name, Zone: zone, Region: region} }
	a := []Node{stand("1", "a1", "a"), stand("2", "a1", "a"), stand("3", "a2", "a")}
	b, c := []Node{stand("4", "b1", "b"), stand("5", "b1", "b")}, []Node{stand("6", "c1", "c"), stand("7", "c1", "c")}
	all := append(append(append([]Node{}, a...), b...), c...)
	bound := func(strict bool, common, any place.Regions) Bounds {
		return Bounds{Common: common, Any: any, Strict: strict}
	}
	onlyB, bOrC, aOrB := place.NewRegions("b"), place.NewRegions("b", "c"), place.NewRegions("a", "b")
	nowhere := onlyB.And(place.NewRegions("c"))
	for _, test := range []struct {
		name         string
		live         []Node
		zone, region string
		bounds       Bounds
		want         string
	}{
		{"own zone, whatever is allowed", all, "a1", "a", bound(true, onlyB, onlyB), "12"},
		{"own region for a zone with one node", all, "a2", "a", bound(true, onlyB, onlyB), "123"},
		{"a region with one node, and the allowed ones", append(b, stand("6", "c1", "c")), "c1", "c", bound(true, onlyB, onlyB), "456"},
		{"one node in the region and none in the allowed ones", append(a, stand("6", "c1", "c")), "c1", "c", bound(false, onlyB, onlyB), "6"},
		{"no node in the region", append(a, b...), "c1", "c", bound(true, onlyB, onlyB), "45"},
		{"what all routes allow goes first", append(a, b...), "c1", "c", bound(true, onlyB, aOrB), "45"},
		{"what one route allows, where all have nothing in common", append(a, b...), "c1", "c", bound(true, nowhere, bOrC), "45"},
		{"what one route allows, where no node stands in what all do", a, "c1", "c", bound(true, onlyB, aOrB), "123"},
		{"no node in any, all routes bound", a, "c1", "c", bound(true, onlyB, bOrC), ""},
		{"no node in any, some routes not bound", a, "c1", "c", bound(false, onlyB, bOrC), "123"},
		{"no routes bound", append(a, b...), "c1", "c", Bounds{}, "12345"},
		{"a caller that says nothing", append(a, b...), "", "", bound(true, onlyB, onlyB), "45"},
	} {
		got := ""
		for _, node := range choose(test.live, place.Place{Zone: test.zone, Region: test.region}, test.bounds) {
			got += node.Name
		}
		if got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

// TestKeepersWithin: the keepers of regions stand there, few of many, and the loss of one
// moves in another.
func TestKeepersWithin(t *testing.T) {
	var all []Node
	for i := range 100 {
		all = append(all, Node{Name: fmt.Sprint("n", i), Region: []string{"a", "b"}[i%2], Cores: 1})
	}
	onlyA := place.NewRegions("a")
	keepers := KeepersWithin(all, onlyA)
	if len(keepers) != keepersWithinMost {
		t.Fatalf("%d keepers", len(keepers))
	}
	if outside := Within(keepers, place.NewRegions("b")); len(outside) > 0 {
		t.Errorf("keepers elsewhere: %v", outside)
	}
	left := wanted(all, func(n Node) bool { return n.Name != keepers[0].Name })
	if after := KeepersWithin(left, onlyA); len(after) != keepersWithinMost || after[0].Name != keepers[1].Name {
		t.Errorf("after a loss: %v", after)
	}
	if got, want := len(KeepersWithin(all, place.Regions{})), len(Keepers(all)); got != want {
		t.Errorf("%d keepers of all, want %d", got, want)
	}
}

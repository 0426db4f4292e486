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
	nowhere := onlyB.Intersect(place.NewRegions("c"))
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

// TestKeepersWithin: the keepers of regions stand there. Where enough of the keepers of
// all do, it is these, so that the first in rank of all is the first of its region; where
// not, others of the region, few of many.
func TestKeepersWithin(t *testing.T) {
	var all []Node
	for i := range 300 {
		region := "a"
		if i%3 == 0 {
			region = "b"
		}
		all = append(all, Node{Name: fmt.Sprint("n", i), Region: region, Cores: 1})
	}
	for _, key := range []string{"x", "y", "z"} {
		first := Rank(Keepers(all), key)[0]
		own := place.NewRegions(first.Region)
		if within := Rank(KeepersWithin(all, own), key)[0]; within.Name != first.Name {
			t.Errorf("%s: first of all %s, of its region %s", key, first.Name, within.Name)
		}
	}
	if got, want := len(KeepersWithin(all, place.Regions{})), len(Keepers(all)); got != want {
		t.Errorf("%d keepers of all, want %d", got, want)
	}
	// Small nodes are kept for last: none of them is among the keepers of all.
	for i := range 20 {
		all = append(all, Node{Name: fmt.Sprint("s", i), Region: "c", Cores: 0.1})
	}
	keepers := KeepersWithin(all, place.NewRegions("c"))
	if len(keepers) != keepersWithinMost || len(Within(keepers, place.NewRegions("c"))) != keepersWithinMost {
		t.Errorf("keepers of c: %v", keepers)
	}
}

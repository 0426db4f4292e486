package storenode

import (
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// TestRequestsAreBoundByTheTableInForce: a route is bound as the newest table says, one
// that is gone by nothing.
func TestRequestsAreBoundByTheTableInForce(t *testing.T) {
	node, north := &Node{}, place.NewRegions("north")
	expect := func(want place.Regions) {
		t.Helper()
		if got := node.servedIn("chat", ""); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	expect(place.Regions{})
	for _, routes := range [][]routetable.Route{{{Name: "chat"}}, {{Name: "chat", Regions: north}}, nil} {
		node.table.Store(routetable.New(1, routes, nil, routetable.Limits{}))
		if len(routes) > 0 {
			expect(routes[0].Regions)
			continue
		}
		expect(place.Regions{})
	}
}

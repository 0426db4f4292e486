package presence

import (
	"math/rand/v2"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// minimumAddresses is the number of a zone's nodes from which on a caller of
// that zone is sent to its own zone alone.
const minimumAddresses = 2

// addressesMost bounds the addresses that a caller is told.
const addressesMost = 64

// Bounds is where callers may be sent beside their own region. The zero Bounds sets none.
type Bounds struct {
	// Common are the regions in which all of what a caller may ask for may be served, as
	// far as that is bound to regions; Any, those in which some of it may.
	Common, Any place.Regions
	// Strict tells that nothing the caller may ask for may be served elsewhere.
	Strict bool
}

// Addresses returns where a caller that stands in a place should connect.
func (r *Registry) Addresses(caller place.Place, bounds Bounds, now time.Time) []string {
	return addresses(choose(r.Live(now), caller, bounds))
}

// choose returns the nodes that a caller is sent to: its own zone's if there are enough,
// else its region's. Where these are too few as well, the nodes of the regions that
// bounds allow are added, and all others only without bounds, or if there is no node in
// the caller's region and the allowed ones and bounds are not strict. It is pure, and
// returns none only if there are none, or bounds are strict.
func choose(live []Node, caller place.Place, bounds Bounds) []Node {
	near := wanted(live, func(n Node) bool { return n.Zone == caller.Zone })
	if len(near) >= minimumAddresses {
		return near
	}
	around := wanted(live, func(n Node) bool { return n.Region == caller.Region })
	if len(around) >= minimumAddresses {
		return around
	}
	if bounds.Any.IsAll() {
		return live
	}
	allowed := bounds.Common
	if len(Within(live, allowed)) == 0 {
		allowed = bounds.Any
	}
	near = wanted(live, func(n Node) bool {
		return n.Zone == caller.Zone || n.Region == caller.Region || allowed.Has(n.Region)
	})
	if len(near) > 0 || bounds.Strict {
		return near
	}
	return live
}

func wanted(nodes []Node, want func(Node) bool) []Node {
	var found []Node
	for _, node := range nodes {
		if want(node) {
			found = append(found, node)
		}
	}
	return found
}

// addresses returns the addresses of nodes; of too many, some by chance.
func addresses(nodes []Node) []string {
	found := make([]string, 0, len(nodes))
	for _, node := range nodes {
		found = append(found, node.Address)
	}
	if len(found) > addressesMost {
		rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
		found = found[:addressesMost]
	}
	return found
}

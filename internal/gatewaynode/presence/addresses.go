package presence

import (
	"math/rand/v2"
	"time"
)

// minimumAddresses is the number of a zone's nodes from which on a caller of
// that zone is sent to its own zone alone.
const minimumAddresses = 2

// addressesMost bounds the addresses that a caller is told.
const addressesMost = 64

// Addresses returns where a caller of a zone and region should connect: its own
// zone's nodes if there are enough, else its region's, else all. It is never
// empty while any node, this one included, is ready.
func (r *Registry) Addresses(zone, region string, now time.Time) []string {
	live := r.Live(now)
	near := addresses(live, func(n Node) bool { return n.Zone == zone })
	if len(near) >= minimumAddresses {
		return near
	}
	around := addresses(live, func(n Node) bool { return n.Region == region })
	if len(around) >= minimumAddresses {
		return around
	}
	return addresses(live, func(Node) bool { return true })
}

// addresses returns the addresses of the nodes wanted; of too many, some by
// chance.
func addresses(nodes []Node, wanted func(Node) bool) []string {
	var found []string
	for _, node := range nodes {
		if wanted(node) {
			found = append(found, node.Address)
		}
	}
	if len(found) > addressesMost {
		rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
		found = found[:addressesMost]
	}
	return found
}

// Package reach says what lies between a node and the back ends: how far each is, how
// many idle connections stand to it, and how near the head of the node's own order of
// all back ends it is.
//
// A new connection costs a round trip, both ends' memory and the back end a slot for a
// moment. A node therefore keeps to back ends that it has connections to as long as they
// answer as well as others. Which ones it begins with differs from node to node by
// rendezvous hashing, so that the nodes together use all back ends alike, and stays the
// same for a node as long as its back ends do. There is no list of them that could be
// wrong: it is a matter of costs, so that a node goes to others at once when those it
// keeps to are loaded, slow or suspended.
package reach

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// Standing tells of the idle connections.
type Standing interface {
	// Standing returns how many idle connections each peer has that a call may use.
	Standing() map[upstream.Peer]int
}

// Book tells how back ends can be reached. It is safe for concurrent use.
type Book struct {
	self        uint64
	distances   *place.Distances
	connections Standing
}

// New returns the book of a node.
func New(node string, distances *place.Distances, connections Standing) *Book {
	return &Book{self: xxhash.Sum64String(node), distances: distances, connections: connections}
}

// Fill tells back ends how they can be reached now.
func (b *Book) Fill(backends []fleet.Backend, now time.Time) {
	view, standing := b.distances.View(now), b.connections.Standing()
	for i := range backends {
		backend := &backends[i]
		backend.Reach = fleet.Reach{
			Distance: view.To(backend.Zone),
			Idle:     standing[upstream.Peer{Address: backend.Address, Instance: backend.ID}],
			Order:    mix(b.self ^ xxhash.Sum64String(backend.ID)),
		}
	}
}

// Observe learns from a connection that was opened to a back end of a zone.
func (b *Book) Observe(zone string, took time.Duration, now time.Time) {
	b.distances.Observe(zone, took, now)
}

// mix spreads the bits of a value over all of its bits (the finalizer of SplitMix64):
// two nodes' orders then have nothing in common.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package forward

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// Want says what a request needs of a back end.
type Want struct {
	// Request decides which back ends may get it.
	Request eligibility.Request
	// Tried counts the attempts of this request at each back end.
	Tried map[string]int
}

const (
	// usualLatency stands for a latency that nothing is known of; those of back ends are
	// relative to it.
	usualLatency = 20 * time.Millisecond
	// coldSlowdown is how many times slower a cold back end is taken to be: as slow as a
	// warm one whose slots are all taken, so that it is used once those are.
	coldSlowdown = 4
	// openingShare is what a new connection costs, as a share of the usual latency,
	// beside its round trip. It takes a slot of the back end for a moment and memory of
	// both. It keeps a node at the back ends that it has connections to while the times
	// of their answers scatter as they do, and lets it go where they are half as long
	// again as usual.
	openingShare = 0.5
	// distanceWeight is the part of the distance that counts beside the latency, which
	// holds the round trip already where it is measured: bytes between zones and regions
	// have a price.
	distanceWeight = 0.5
)

// Choose returns the back end that is expected to answer first of those that may get
// the request: tried least by it, not suspended unless all are.
func Choose(backends []fleet.Backend, want Want, world *eligibility.World) (fleet.Backend, bool) {
	var best fleet.Backend
	found := false
	for i := range backends {
		if !world.May(&backends[i], want.Request) {
			continue
		}
		if !found || better(backends[i], best, want, world) {
			best, found = backends[i], true
		}
	}
	return best, found
}

func better(a, b fleet.Backend, want Want, world *eligibility.World) bool {
	now := world.Now
	if want.Tried[a.ID] != want.Tried[b.ID] {
		return want.Tried[a.ID] < want.Tried[b.ID]
	}
	if a.Suspended(now) != b.Suspended(now) {
		return !a.Suspended(now)
	}
	if a.Suspended(now) {
		return a.SuspendedUntil.Before(b.SuspendedUntil)
	}
	costA, costB := expected(a, now), expected(b, now)
	if costA != costB {
		return costA < costB
	}
	return a.Reach.Order < b.Reach.Order
}

// expected estimates the time of an answer: the usual latency, stretched by the
// load in work and more by what waits for a slot, and what it takes to get there.
func expected(backend fleet.Backend, now time.Time) time.Duration {
	latency := backend.Latency
	distance := backend.Reach.Distance.Duration()
	if latency == 0 {
		latency = usualLatency + distance
	}
	waiting := float64(backend.Waiting) / float64(max(backend.Slots, 1))
	estimate := time.Duration(float64(latency) * backend.ExpectedSlowdown(now) * (1 + backend.Load() + 2*waiting))
	if backend.Load() >= 1 {
		estimate *= 2
	}
	if backend.Cold(now) {
		estimate *= coldSlowdown
	}
	estimate += time.Duration(distanceWeight * float64(distance))
	if backend.Reach.Idle == 0 {
		estimate += distance + time.Duration(openingShare*float64(usualLatency))
	}
	return estimate
}

// hopByHop are the fields that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// HopByHop tells whether a field of a header concerns one connection only: it
// is one of the fixed set, or named by the header's Connection field.
func HopByHop(name string, header http.Header) bool {
	if hopByHop[name] {
		return true
	}
	for _, value := range header["Connection"] {
		for _, token := range strings.Split(value, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return true
			}
		}
	}
	return false
}

package forward

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// Want describes the requirements of a request for the choice of a backend.
type Want struct {
	// Request determines which backends are eligible.
	Request eligibility.Request
	// Tried counts the attempts of this request by backend ID.
	Tried map[string]int
}

const (
	// defaultLatency is assumed for a backend without a measured latency. The latencies of
	// backends are normalized to it.
	defaultLatency = 20 * time.Millisecond
	// coldSlowdown is the assumed slowdown of a cold backend: that of a warm one whose slots
	// are all taken, so that cold backends are used once the warm ones are full.
	coldSlowdown = 4
	// connectCost is the cost of a new connection besides its round trip, as a share of
	// defaultLatency: it briefly takes a slot of the backend, and memory on both sides. It
	// keeps a node from switching backends because response times vary, and still lets it
	// switch to a much faster one.
	connectCost = 0.5
	// distanceWeight is the share of the network distance that is added to the latency. A
	// measured latency already includes the round trip; traffic between zones and regions has
	// a price besides.
	distanceWeight = 0.5
)

// Choose returns the eligible backend with the fewest attempts of this request and, of those,
// the shortest expected response time. A suspended backend is chosen only if there is no
// other.
func Choose(backends []fleet.Backend, want Want, world *eligibility.Snapshot) (fleet.Backend, bool) {
	var best fleet.Backend
	found := false
	for i := range backends {
		if !world.Eligible(&backends[i], want.Request) {
			continue
		}
		if !found || better(backends[i], best, want, world) {
			best, found = backends[i], true
		}
	}
	return best, found
}

// better reports whether a is the better choice of two eligible backends.
func better(a, b fleet.Backend, want Want, world *eligibility.Snapshot) bool {
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
	costA, costB := expectedLatency(a, now), expectedLatency(b, now)
	if costA != costB {
		return costA < costB
	}
	return a.Reach.Order < b.Reach.Order
}

// expectedLatency estimates the response time of a backend: its latency, scaled by its load
// and more so by its queue, plus the network distance and the cost of a new connection.
func expectedLatency(backend fleet.Backend, now time.Time) time.Duration {
	latency := backend.Latency
	distance := backend.Reach.Distance.Duration()
	if latency == 0 {
		latency = defaultLatency + distance
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
		estimate += distance + time.Duration(connectCost*float64(defaultLatency))
	}
	return estimate
}

// hopByHop holds the header fields that concern a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// HopByHop reports whether a header field concerns a single connection: it is one of the
// fixed set or named by the header's Connection field.
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

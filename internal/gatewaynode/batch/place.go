package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// need holds the requirements of an item on a backend.
type need struct {
	// Request determines which backends are eligible.
	eligibility.Request
	// avoid is the ID of a backend to use only as a last resort.
	avoid string
	// ran is the time since the first run of the item began.
	ran time.Duration
	// short is set for items that are expected to finish well before the rest of their job.
	// They leave the fastest backends to longer items.
	short bool
	// idleOnly restricts the item to backends with an idle connection.
	idleOnly bool
	// left is the expected number of remaining events, 0 if unknown.
	left int
	// held and expected are the tokens that the item occupies at its start and is expected
	// to occupy at its end.
	held, expected int
}

// Relative costs of running an item at a backend. A slowdown of 0.2 makes a backend count as
// 20% slower than its pace.
const (
	// loadSlowdown applies to a full backend, and in proportion to one that is partly loaded.
	loadSlowdown = 0.15
	// typicalEvents is the number of events of a typical item, over which the round-trip time
	// to the backend is spread.
	typicalEvents = 20
	// openingSlowdown applies if a new connection is needed. It is more than loadSlowdown,
	// so that items share backends with open connections, and less than the slowdown of a
	// backend that is lastingly slow.
	openingSlowdown = 0.2
	// openingSlowdownShort applies to short items instead: they take a slower backend rather
	// than open a connection.
	openingSlowdownShort = 1.0
	// foreignSlowdown applies to a backend that is assigned to another model. It is more than
	// loadSlowdown, since the node that schedules the other model does not see the items
	// started there.
	foreignSlowdown = 0.2
	// avoidSlowdown applies to the backend that the item was moved away from.
	avoidSlowdown = 1.0
	// failedSlowdown applies to a backend whose last request failed. Short items are exempt
	// and probe it.
	failedSlowdown = 0.5
	// coldSlowdown applies to a backend that is warming up, so that it is used only if no
	// warm one has room.
	coldSlowdown = 4.0
	// moderatelySlowFactor is the cost factor of moderately slow backends for short items.
	moderatelySlowFactor = 0.5
)

// pickBackend returns the index of the backend with the lowest cost among those that can
// start the item now, or -1 if there is none. typical is the result of typicalPace.
func pickBackend(pool []fleet.Backend, want need, typical time.Duration, snapshot *eligibility.Snapshot) int {
	best := -1
	var bestCost float64
	for i := range pool {
		if !suits(&pool[i], want, snapshot) || want.idleOnly && pool[i].Reach.Idle == 0 {
			continue
		}
		cost := runCost(&pool[i], want, typical, snapshot.Now)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// suits reports whether b can start an item now.
func suits(b *fleet.Backend, want need, snapshot *eligibility.Snapshot) bool {
	return b.Load() < 1 && hasMemory(b, want.held) && fits(b, want, snapshot)
}

// fits reports whether b can run an item once it has room.
func fits(b *fleet.Backend, want need, snapshot *eligibility.Snapshot) bool {
	return !b.Suspended(snapshot.Now) && snapshot.Eligible(b, want.Request)
}

// runCost returns the expected time per event at a backend, weighted by the slowdowns that
// apply.
func runCost(backend *fleet.Backend, want need, typical time.Duration, now time.Time) float64 {
	cost := float64(pace(backend, typical, now)) * (1 + loadSlowdown*backend.Load()) * memoryCost(backend, want.expected)
	cost += float64(backend.Reach.Distance.Duration()) / typicalEvents
	if backend.Reach.Idle == 0 {
		cost *= 1 + want.opening()
	}
	if backend.AssignedModel != "" && backend.AssignedModel != want.Model {
		cost *= 1 + foreignSlowdown
	}
	if backend.ID == want.avoid {
		cost *= 1 + avoidSlowdown
	}
	if backend.Failures > 0 && !want.short {
		cost *= 1 + failedSlowdown
	}
	if backend.Cold(now) {
		cost *= 1 + coldSlowdown
	}
	if want.short && moderatelySlow(pace(backend, typical, now), typical) {
		cost *= moderatelySlowFactor
	}
	return cost
}

// opening returns the slowdown for opening a new connection.
func (n need) opening() float64 {
	if n.short {
		return openingSlowdownShort
	}
	return openingSlowdown
}

// moderatelySlow reports whether a pace is moderately slow: slower than typical, but not slow
// enough for items to be moved away. Short items prefer such backends and leave the faster
// ones to long items, which determine how long a job takes.
func moderatelySlow(pace, typical time.Duration) bool {
	ratio := float64(pace) / float64(typical)
	return ratio > moveRatioLong && ratio <= moveRatio
}

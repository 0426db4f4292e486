package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// need is what an item wants of a back end.
type need struct {
	// Request decides which back ends may get the item.
	eligibility.Request
	// avoid is a back end to be used only if there is no other.
	avoid string
	// ran is for how long the item has been running.
	ran time.Duration
	// short items are among those that their step does not wait for: they leave the
	// fastest back ends to others.
	short bool
	// patient items start only where a connection stands.
	patient bool
	// left is how many events the item is expected to make yet, 0 if nothing is known.
	left int
	// held and expected are the tokens that the item holds when it begins and is
	// expected to hold at its end, 0 where nothing is known of memories.
	held, expected int
}

const (
	// loadSlowdown is how much slower a full back end is taken to be.
	loadSlowdown = 0.15
	// usualEvents is the number of events that the round trips of a run are spread over,
	// where they are weighed beside its pace: what most items make.
	usualEvents = 20
	// openingSlowdown is what a new connection costs: more than the load of a full back
	// end, so that items gather where connections stand, less than a back end that is
	// slow for good. Short items rather give up the pace that they would leave to others.
	openingSlowdown      = 0.2
	openingSlowdownShort = 1.0
	// foreignSlowdown is what a back end costs that is meant for another model: more
	// than a full one of the own model, since its own owner does not see what others
	// start there.
	foreignSlowdown = 0.2
	// avoidSlowdown is what a back end that an item was moved away from costs.
	avoidSlowdown = 1.0
	// failedSlowdown is what a back end costs that failed last: short items try it out.
	failedSlowdown = 0.5
	// coldSlowdown is what a cold back end costs: the few requests that it bears are used
	// where no warm one has room.
	coldSlowdown = 4.0
	// leisurelyBonus makes short items prefer back ends that are a little slower.
	leisurelyBonus = 0.5
)

// pickBackend returns the index of the back end that is expected to run the
// item fastest and has room, or -1; typical is the pool's typicalPace. It is pure.
func pickBackend(pool []fleet.Backend, want need, typical time.Duration, world *eligibility.World) int {
	best := -1
	var bestCost float64
	for i := range pool {
		if !suits(&pool[i], want, world) || want.patient && pool[i].Reach.Idle == 0 {
			continue
		}
		cost := runCost(&pool[i], want, typical, world.Now)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// suits tells whether an item may start at a back end now.
func suits(b *fleet.Backend, want need, world *eligibility.World) bool {
	return b.Load() < 1 && hasMemory(b, want.held) && fits(b, want, world)
}

// fits tells whether an item may run at a back end once it has room.
func fits(b *fleet.Backend, want need, world *eligibility.World) bool {
	return !b.Suspended(world.Now) && world.May(b, want.Request)
}

func runCost(backend *fleet.Backend, want need, typical time.Duration, now time.Time) float64 {
	cost := float64(pace(backend, typical, now)) * (1 + loadSlowdown*backend.Load()) * memoryCost(backend, want.expected)
	cost += float64(backend.Reach.Distance.Duration()) / usualEvents
	if backend.Reach.Idle == 0 {
		cost *= 1 + want.opening()
	}
	if backend.Share != "" && backend.Share != want.Model {
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
	if want.short && leisurely(pace(backend, typical, now), typical) {
		cost *= leisurelyBonus
	}
	return cost
}

// opening returns what a new connection costs, as a share of the pace.
func (n need) opening() float64 {
	if n.short {
		return openingSlowdownShort
	}
	return openingSlowdown
}

// leisurely tells whether a pace is slower than the best, by the back end itself or
// by what runs there, yet not so slow that items are better not begun there. Short
// items gather at such back ends and leave those with little to do to long ones,
// whose pace decides how long a step lasts.
func leisurely(pace, typical time.Duration) bool {
	ratio := float64(pace) / float64(typical)
	return ratio > moveRatioLong && ratio <= moveRatio
}

package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// Bounds of the calls to scoring services.
const (
	// scoreCallsMost is the number of calls of one item at the same time.
	scoreCallsMost = 2
	// scoreReserve is the share of a back end's slots, one at least, that calls
	// leave free: live requests share the service and go first.
	scoreReserve = 0.15
	// scoreOpening is what a new connection costs, in usual latencies: a call rather goes to
	// any back end with a slot that a connection stands to.
	scoreOpening = 1
	// scoreDistance is how many round trips the distance counts for: a call takes one,
	// and bytes between zones and regions have a price.
	scoreDistance = 1.5
	// scoreUsual stands for a latency that nothing is known of.
	scoreUsual = 30 * time.Millisecond
	// scoreLimitLatencies is how many usual latencies a call may take at first, and
	// scoreLimitTargets how many targets of the route at least. Each call that its
	// limit cuts doubles the next one's: one request may be much longer than most.
	scoreLimitLatencies = 12
	scoreLimitTargets   = 2
	// scoreTimeout is the limit of a call on a route without a time-out.
	scoreTimeout clock.Millis = 2000
	// failedPause is the pause of an item whose call was answered with a failure.
	failedPause clock.Millis = 30
	// secondLatencies and secondTargets: a second call is sent beside one that has
	// taken so many usual latencies and this share of the route's target.
	secondLatencies = 4
	secondTargets   = 0.5
)

// scorerWant is what a call wants of a back end.
type scorerWant struct {
	// Request decides which back ends may get the call.
	eligibility.Request
	// avoid is the back end of the call beside which a second one is sent.
	avoid string
	// patient calls go only where a connection stands.
	patient bool
}

// pickScorer returns the index of the back end that a call goes to, or -1 if none
// has a slot beyond those that live requests keep. It is pure.
func pickScorer(pool []fleet.Backend, want scorerWant, world *eligibility.World) int {
	best := -1
	var bestCost float64
	usual := usualScore(pool)
	for i := range pool {
		b := &pool[i]
		if b.ID == want.avoid || b.Suspended(world.Now) || !hasRoom(b) || want.patient && b.Reach.Idle == 0 || !world.May(b, want.Request) {
			continue
		}
		cost := scorerCost(b, usual, world.Now)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// scorerCost weighs a back end; one whose latency is not known is taken to be as quick as
// the best that is known.
func scorerCost(b *fleet.Backend, usual time.Duration, now time.Time) float64 {
	latency := float64(usual)
	if b.ScoreLatency > 0 {
		latency = float64(b.ScoreLatency)
	}
	cost := latency * b.SlowNow(now) * (1 + b.Load())
	cost += scoreDistance * float64(b.Reach.Distance.Duration())
	if b.Reach.Idle == 0 {
		cost += scoreOpening * float64(usual)
	}
	if b.Cold(now) {
		cost *= 1 + coldSlowdown
	}
	return cost
}

func scoreLatency(b *fleet.Backend) time.Duration {
	if b.ScoreLatency == 0 {
		return scoreUsual
	}
	return b.ScoreLatency
}

// hasRoom tells whether a back end has a slot for a call.
func hasRoom(b *fleet.Backend) bool {
	reserve := max(1, int(scoreReserve*float64(b.Slots)))
	used := b.InFlight + b.OthersRunning
	return b.Waiting == 0 && used < max(b.Slots-reserve, 1)
}

// scoreLimit returns how long a call may take. It is pure.
func scoreLimit(b *fleet.Backend, route *routetable.Route, cuts int) clock.Millis {
	most := clock.Of(route.Timeout)
	if most == 0 {
		most = scoreTimeout
	}
	least := max(scoreLimitLatencies*scoreLatency(b), scoreLimitTargets*route.Target)
	limit := clock.Of(least)
	for range cuts {
		if limit >= most {
			break
		}
		limit *= 2
	}
	return min(limit, most)
}

// secondAfter returns after which time a second call is sent beside one. It is
// pure.
func secondAfter(pool []fleet.Backend, route *routetable.Route) clock.Millis {
	return clock.Of(max(secondLatencies*usualScore(pool), time.Duration(secondTargets*float64(route.Target))))
}

// usualScore returns the latency of the best back end that is known, or the usual one. It
// is pure.
func usualScore(pool []fleet.Backend) time.Duration {
	usual := time.Duration(0)
	for i := range pool {
		if latency := pool[i].ScoreLatency; latency > 0 && (usual == 0 || latency < usual) {
			usual = latency
		}
	}
	if usual == 0 {
		return scoreUsual
	}
	return usual
}

// secondCalls is a budget: each first call earns a share of a second one.
type secondCalls struct {
	tokens float64
}

const (
	// secondShare is the number of second calls to a first one; secondsMost, how
	// many may be saved up.
	secondShare = 0.05
	secondsMost = 4
)

func (s *secondCalls) add()       { s.tokens = min(s.tokens+secondShare, secondsMost) }
func (s *secondCalls) left() bool { return s.tokens >= 1 }
func (s *secondCalls) take()      { s.tokens-- }

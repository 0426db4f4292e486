package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// Parameters of the calls to scoring services. Latencies are scoring latencies of the backends,
// targets are the latency targets of the routes.
const (
	// maxScoreCalls is the maximum number of concurrent calls for one item.
	maxScoreCalls = 2
	// scoreReserve is the share of a backend's slots, at least one, that is reserved for live
	// requests, which have precedence.
	scoreReserve = 0.15
	// scoreOpening is the cost of opening a connection, in latencies. A call prefers a backend
	// with an idle connection.
	scoreOpening = 1
	// scoreDistance is the number of round trips to the backend that are added to the cost. A
	// call takes one; the rest accounts for the charges for traffic between zones and regions.
	scoreDistance = 1.5
	// defaultScoreLatency is the assumed latency if none is known.
	defaultScoreLatency = 30 * time.Millisecond
	// scoreLimitLatencies and scoreLimitTargets determine the initial timeout of a call: the
	// greater of these multiples of the latency and of the target. It doubles with each call that
	// was cut off, since a request may take much longer than most.
	scoreLimitLatencies = 12
	scoreLimitTargets   = 2
	// scoreTimeout is the maximum timeout of a call in ms on a route without a timeout.
	scoreTimeout clock.Millis = 2000
	// failedPause is the delay in ms before the next call after a response without a score.
	failedPause clock.Millis = 30
	// hedgeLatencies and hedgeTargets determine the delay of a hedging call: the greater of
	// these multiples of the latency and of the target.
	hedgeLatencies = 4
	hedgeTargets   = 0.5
)

// scorerWant holds the requirements of a scoring call on a backend.
type scorerWant struct {
	// Request determines which backends are eligible.
	eligibility.Request
	// avoid is the ID of the backend of the first call if this is a hedging call.
	avoid string
	// idleOnly restricts the call to backends with an idle connection.
	idleOnly bool
}

// pickScorer returns the index of the backend with the lowest cost for a scoring call, or -1 if
// no eligible one has a slot beyond those reserved for live requests.
func pickScorer(pool []fleet.Backend, want scorerWant, snapshot *eligibility.Snapshot) int {
	best := -1
	var bestCost float64
	usual := lowestScoreLatency(pool)
	for i := range pool {
		b := &pool[i]
		if b.ID == want.avoid || b.Suspended(snapshot.Now) || !hasRoom(b) || want.idleOnly && b.Reach.Idle == 0 || !snapshot.Eligible(b, want.Request) {
			continue
		}
		cost := scorerCost(b, usual, snapshot.Now)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// scorerCost returns the cost of a scoring call at a backend in nanoseconds. A backend without
// a known latency is assumed to be as fast as the fastest one.
func scorerCost(b *fleet.Backend, usual time.Duration, now time.Time) float64 {
	latency := float64(usual)
	if b.ScoreLatency > 0 {
		latency = float64(b.ScoreLatency)
	}
	cost := latency * b.ExpectedSlowdown(now) * (1 + b.Load())
	cost += scoreDistance * float64(b.Reach.Distance.Duration())
	if b.Reach.Idle == 0 {
		cost += scoreOpening * float64(usual)
	}
	if b.Cold(now) {
		cost *= 1 + coldSlowdown
	}
	return cost
}

// scoreLatency returns the scoring latency of b, or defaultScoreLatency if it is unknown.
func scoreLatency(b *fleet.Backend) time.Duration {
	if b.ScoreLatency == 0 {
		return defaultScoreLatency
	}
	return b.ScoreLatency
}

// hasRoom reports whether a backend has a slot for a scoring call and no requests waiting.
func hasRoom(b *fleet.Backend) bool {
	reserve := max(1, int(scoreReserve*float64(b.Slots)))
	used := b.InFlight + b.OthersRunning
	return b.Waiting == 0 && used < max(b.Slots-reserve, 1)
}

// scoreLimit returns the timeout of a scoring call after cuts calls for the same item were cut
// off.
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

// hedgeDelay returns the time after which a call without a response is hedged by a second one.
func hedgeDelay(pool []fleet.Backend, route *routetable.Route) clock.Millis {
	return clock.Of(max(hedgeLatencies*lowestScoreLatency(pool), time.Duration(hedgeTargets*float64(route.Target))))
}

// lowestScoreLatency returns the lowest known scoring latency in the pool, or
// defaultScoreLatency if none is known.
func lowestScoreLatency(pool []fleet.Backend) time.Duration {
	usual := time.Duration(0)
	for i := range pool {
		if latency := pool[i].ScoreLatency; latency > 0 && (usual == 0 || latency < usual) {
			usual = latency
		}
	}
	if usual == 0 {
		return defaultScoreLatency
	}
	return usual
}

// hedgeBudget is a token bucket for hedging calls, filled by first calls.
type hedgeBudget struct {
	tokens float64
}

const (
	// hedgeShare is the number of tokens that a first call adds.
	hedgeShare = 0.05
	// maxHedgeTokens is the capacity of the bucket.
	maxHedgeTokens = 4
)

func (s *hedgeBudget) add()       { s.tokens = min(s.tokens+hedgeShare, maxHedgeTokens) }
func (s *hedgeBudget) left() bool { return s.tokens >= 1 }
func (s *hedgeBudget) take()      { s.tokens-- }

package forward

import (
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// rankBudgets learns the latency budgets of each rank by service and regions, so that requests
// of lower ranks leave capacity for those of higher ranks. Backends may serve requests in order
// of arrival, in which case requests with a long target would build a queue too long for urgent
// ones to be admitted. It is safe for concurrent use.
type urgency struct {
	mu      *sync.Mutex
	demands map[demander]*[ranks]demand
}

// budgetKey identifies requests that compete for the same backends.
type demander struct {
	service string
	regions place.Regions
}

// rankBudget is the shortest recent latency budget of a rank.
type demand struct {
	within time.Duration
	at     time.Time
}

const (
	// ranks is the number of ranks kept apart; lower ones count as the last.
	ranks = 10
	// budgetTTL is how long a budget counts after the last request with it.
	demandKept = 5 * time.Second
	// lowerRankShare is the share of a higher rank's budget that the queue may reach with
	// requests of lower ranks. Service times are estimated to about a tenth; a share near 1
	// lets lower ranks displace higher ones under overload.
	reserve = 0.6
	// maxBudgetKeys bounds the number of pairs of service and regions.
	demandersMost = 1000
)

func newUrgency() urgency {
	return urgency{mu: &sync.Mutex{}, demands: make(map[demander]*[ranks]demand)}
}

// bound records the latency budget of a request and returns the budget to apply: the same, or
// less where recent requests of higher ranks need it. serviceTime is 0 if not known. A budget
// below the service time is not recorded, since that request is late however much capacity
// others leave.
func (u urgency) bound(from demander, rank int, work, within time.Duration, now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	demands := u.demands[from]
	if demands == nil {
		if len(u.demands) >= demandersMost {
			return within
		}
		demands = new([ranks]demand)
		u.demands[from] = demands
	}
	rank = min(max(rank, 0), ranks-1)
	own := &demands[rank]
	hopeless := work > 0 && within < work
	if !hopeless && (now.Sub(own.at) > demandKept || within <= own.within) {
		*own = demand{within: within, at: now}
	}
	for _, higher := range demands[:rank] {
		if now.Sub(higher.at) <= demandKept {
			within = min(within, time.Duration(reserve*float64(higher.within)))
		}
	}
	return within
}

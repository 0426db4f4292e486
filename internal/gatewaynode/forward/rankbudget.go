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
type rankBudgets struct {
	mu    *sync.Mutex
	byKey map[budgetKey]*[ranks]rankBudget
}

// budgetKey identifies requests that compete for the same backends.
type budgetKey struct {
	service string
	regions place.Regions
}

// rankBudget is the shortest recent latency budget of a rank.
type rankBudget struct {
	budget time.Duration
	at     time.Time
}

const (
	// ranks is the number of ranks kept apart; lower ones count as the last.
	ranks = 10
	// budgetTTL is how long a budget counts after the last request with it.
	budgetTTL = 5 * time.Second
	// lowerRankShare is the share of a higher rank's budget that the queue may reach with
	// requests of lower ranks. The rest allows for errors in the estimated service times, which
	// would otherwise let lower ranks displace higher ones under overload: at 1.5 times the
	// capacity for each of two ranks, 0.8 did so in 2 of 40 runs and 0.6 in none.
	lowerRankShare = 0.6
	// maxBudgetKeys bounds the number of pairs of service and regions.
	maxBudgetKeys = 1000
)

func newRankBudgets() rankBudgets {
	return rankBudgets{mu: &sync.Mutex{}, byKey: make(map[budgetKey]*[ranks]rankBudget)}
}

// bound records the latency budget of a request and returns the budget to apply: the same, or
// less where recent requests of higher ranks need it. serviceTime is 0 if not known. A budget
// below the service time is not recorded, since that request is late however much capacity
// others leave.
func (u rankBudgets) bound(key budgetKey, rank int, serviceTime, budget time.Duration, now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	budgets := u.byKey[key]
	if budgets == nil {
		if len(u.byKey) >= maxBudgetKeys {
			return budget
		}
		budgets = new([ranks]rankBudget)
		u.byKey[key] = budgets
	}
	rank = min(max(rank, 0), ranks-1)
	own := &budgets[rank]
	unattainable := serviceTime > 0 && budget < serviceTime
	if !unattainable && (now.Sub(own.at) > budgetTTL || budget <= own.budget) {
		*own = rankBudget{budget: budget, at: now}
	}
	for _, higher := range budgets[:rank] {
		if now.Sub(higher.at) <= budgetTTL {
			budget = min(budget, time.Duration(lowerRankShare*float64(higher.budget)))
		}
	}
	return budget
}

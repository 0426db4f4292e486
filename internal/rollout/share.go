package rollout

import (
	"cmp"
	"slices"
	"time"
)

// StepDemand is what an open step wants of a pool.
type StepDemand struct {
	// Trainer and Step name the step.
	Trainer string
	Step    int64
	// Awaited says that its trainer waits for it, since the time NeededAt;
	// otherwise NeededAt is when the trainer is expected to.
	Awaited  bool
	NeededAt time.Duration
	// Samples counts those without a whole result, running ones included.
	Samples int
	// TokensLeft is the expected number of tokens that they still take.
	TokensLeft float64
	Total int
}

// ShareOrder says which of several steps goes first.
type ShareOrder int

const (
	// ShareByNeed serves the steps in the order in which trainers need them.
	ShareByNeed ShareOrder = iota
	// ShareByWork serves the awaited steps in the order of the work that they
	// have left, the least first, and then the others by need.
	ShareByWork
)

// PlanShares returns how many samples of each step may be at engines at one
// time, out of the pool's slots.
//
// Steps are served one after another and not all at once: each gets what it can
// use of what those before it left. So one trainer gets its last sample early
// and the next not later than if both had been served side by side, and while
// the first step is down to its few long samples the next one fills the slots.
// Equal demands give equal plans at every node.
func PlanShares(order ShareOrder, slots int, steps []StepDemand) []int {
	ranked := make([]int, len(steps))
	for i := range ranked {
		ranked[i] = i
	}
	slices.SortFunc(ranked, func(a, b int) int { return compareDemand(order, &steps[a], &steps[b]) })
	shares := make([]int, len(steps))
	for _, i := range ranked {
		shares[i] = min(slots, steps[i].Samples)
		slots -= shares[i]
	}
	return shares
}

func compareDemand(order ShareOrder, a, b *StepDemand) int {
	byNeed := cmp.Or(cmp.Compare(a.NeededAt, b.NeededAt), cmp.Compare(a.Trainer, b.Trainer), cmp.Compare(a.Step, b.Step))
	if order == ShareByWork {
		return cmp.Or(cmp.Compare(a.Total, b.Total), byNeed)
	}
	if a.Awaited != b.Awaited {
		if a.Awaited {
			return -1
		}
		return 1
	}
	return byNeed
}

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
}

// PlanShares returns how many samples of each step may be at engines at one
// time, out of the pool's slots.
//
// Steps are served one after another, those that a trainer waits for first and
// then by the time of need, and not side by side: each gets what it can use of
// what those before it left. While one step is down to its few long samples the
// next one fills the slots, so that the steps of several trainers seldom come to
// their ends together and leave the engines empty. Equal demands give equal
// plans at every node.
func PlanShares(slots int, steps []StepDemand) []int {
	ranked := make([]int, len(steps))
	for i := range ranked {
		ranked[i] = i
	}
	slices.SortFunc(ranked, func(a, b int) int { return compareDemand(&steps[a], &steps[b]) })
	shares := make([]int, len(steps))
	for _, i := range ranked {
		shares[i] = min(slots, steps[i].Samples)
		slots -= shares[i]
	}
	return shares
}

func compareDemand(a, b *StepDemand) int {
	if a.Awaited != b.Awaited {
		if a.Awaited {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.NeededAt, b.NeededAt), cmp.Compare(a.Trainer, b.Trainer), cmp.Compare(a.Step, b.Step))
}

package experiment

import (
	"math"
	"slices"
	"time"
)

// lowerBound returns a time that the sum of the trainers' idle times cannot go
// below, whatever the schedule, even one that knows every length beforehand.
//
// It combines two relaxations. Alone, a trainer has all engines to itself: a
// step is ready no sooner after it was posted than its tokens take at the
// engines' highest rate, nor than its longest sample takes alone in a batch; it
// overlaps with training as far as the trainer posts ahead. Together, when a
// trainer is the n-th to have all its samples, the engines have produced the
// tokens of n trainers at no more than their highest rate. Whatever the order in
// which the trainers get done, each of them gets done no sooner than either
// says; the bound is that of the best order.
//
// Live requests, prefill, swaps, latencies and the lag of reports are left out,
// and so is all that comes from several trainers' posting step by step; the
// bound is not reachable.
func (s *simulation) lowerBound() time.Duration {
	trainers := make([]boundedTrainer, len(s.scenario.Trainers))
	for i := range trainers {
		trainers[i] = s.boundAlone(i)
	}
	return bestOrder(trainers, 0)
}

// boundedTrainer is what the bound needs of a trainer. All times are as if it
// had the engines to itself.
type boundedTrainer struct {
	idle time.Duration
	// work is the time of all its tokens at the engines' highest rate.
	work time.Duration
	// trained is the time that it trains before its last step.
	trained time.Duration
}

// bestOrder returns the least sum of idle times over the orders in which the
// trainers may get done, after others took the engines for begun.
func bestOrder(trainers []boundedTrainer, begun time.Duration) time.Duration {
	if len(trainers) == 0 {
		return 0
	}
	best := time.Duration(math.MaxInt64)
	for i, next := range trainers {
		done := begun + next.work
		idle := max(next.idle, done-next.trained)
		rest := slices.Delete(slices.Clone(trainers), i, i+1)
		best = min(best, idle+bestOrder(rest, done))
	}
	return best
}

// boundAlone relaxes one trainer.
func (s *simulation) boundAlone(trainer int) boundedTrainer {
	config := s.scenario.Trainers[trainer]
	steps := s.scenario.Steps
	begins := make([]time.Duration, steps+1)
	var free, idle time.Duration
	var tokens int64
	for step := 1; step <= steps; step++ {
		stepTokens, longest := s.sizes(trainer, step)
		tokens += stepTokens
		postedAt := free
		if before := step - config.Ahead; config.Ahead > 0 {
			postedAt = 0
			if before >= 1 {
				postedAt = begins[before]
			}
		}
		ready := postedAt + max(s.fastest(stepTokens), s.fastestAlone(longest))
		begins[step] = max(free, ready)
		idle += begins[step] - free
		free = begins[step] + config.Train
	}
	return boundedTrainer{idle: idle, work: s.fastest(tokens), trained: time.Duration(steps-1) * config.Train}
}

func (s *simulation) sizes(trainer, step int) (tokens int64, longest int) {
	for _, prompt := range s.work.step(trainer, step) {
		for _, length := range prompt.lengths {
			tokens += int64(length)
			longest = max(longest, length)
		}
	}
	return tokens, longest
}

// fastest returns the time that all engines with full batches take.
func (s *simulation) fastest(tokens int64) time.Duration {
	pool := s.scenario.ExperimentPool
	stepTime := pool.BatchStepBase + time.Duration(pool.Capacity)*pool.BatchPerStream
	perToken := stepTime.Seconds() / float64(pool.Capacity*pool.Engines)
	return time.Duration(float64(tokens) * perToken * float64(time.Second))
}

// fastestAlone returns the time that a sample takes alone in a batch.
func (s *simulation) fastestAlone(tokens int) time.Duration {
	return time.Duration(tokens) * (s.scenario.BatchStepBase + s.scenario.BatchPerStream)
}

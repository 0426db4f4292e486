package experiment

import (
	"cmp"
	"slices"
	"time"
)

// LowerBound returns a time that the sum of the trainers' idle times cannot go
// below, whatever the schedule, even one that knows every length beforehand. It
// is the larger of two relaxations.
//
// The first takes each trainer as if it had all engines to itself: a step is
// ready no sooner after it was posted than its tokens take at the engines'
// highest rate, nor than its longest sample takes alone in a batch. It overlaps
// with training as far as the trainer posts ahead.
//
// The second counts all trainers' tokens against the engines' highest rate and
// forgets everything else: the sum of the times at which the trainers have all
// their samples is least if those with the fewest tokens go first. Trainers that
// start at time zero and train for a known time are idle for the rest.
//
// Live requests, prefill, swaps, latencies and the lag of reports are left out
// of both, so the bound is not reachable.
func (s *simulation) lowerBound() time.Duration {
	var alone, posted time.Duration
	var totals []time.Duration
	for i := range s.scenario.Trainers {
		chain, tokens := s.boundAlone(i)
		alone += chain
		totals = append(totals, s.fastest(tokens))
		posted += time.Duration(s.scenario.Steps-1) * s.scenario.Trainers[i].Train
	}
	slices.SortFunc(totals, cmp.Compare)
	var together, sum time.Duration
	for _, total := range totals {
		sum += total
		together += sum
	}
	return max(alone, together-posted, 0)
}

// boundAlone returns the idle time of a trainer that has all engines, and the
// tokens of its samples.
func (s *simulation) boundAlone(trainer int) (idle time.Duration, tokens int64) {
	config := s.scenario.Trainers[trainer]
	steps := s.scenario.Steps
	begins := make([]time.Duration, steps+1)
	var free time.Duration
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
	return idle, tokens
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

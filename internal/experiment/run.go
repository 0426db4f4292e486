package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/settings"
)

// virtualLimit ends a run that makes no progress, in virtual time.
const virtualLimit = 48 * time.Hour

// aloneRequests is how many live requests a run without training takes at most;
// they are plenty for a 99th percentile.
const aloneRequests = 200_000

// Run plays the scenario under one policy with one seed, and then the same
// live traffic for as long without training.
func Run(scenario *settings.Experiment, policy *settings.ExperimentPolicy, seed int64) Result {
	s := newSimulation(scenario, policy, seed, true)
	s.run(virtualLimit, s.trained)
	result := s.result()
	result.LowerBoundSeconds = s.lowerBound().Seconds()
	alone := newSimulation(scenario, policy, seed, false)
	alone.run(s.now, func() bool { return alone.stats.live.TotalCount() >= aloneRequests })
	result.AloneP50MS = alone.stats.liveQuantile(50)
	result.AloneP99MS = alone.stats.liveQuantile(99)
	return result
}

// RunAll plays every policy with every seed, parallel runs at a time, and gives
// the results to each in the order of policies and seeds. It ends early with
// the first error of each, or of ctx.
func RunAll(ctx context.Context, scenario *settings.Experiment, parallel int, each func(done, total int, result Result) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	total := len(scenario.Policies) * scenario.Seeds
	results := make([]chan Result, total)
	for i := range results {
		results[i] = make(chan Result, 1)
	}
	var group sync.WaitGroup
	defer group.Wait()
	next := make(chan int)
	for range min(parallel, total) {
		group.Go(func() {
			for i := range next {
				results[i] <- Run(scenario, &scenario.Policies[i/scenario.Seeds], scenario.FirstSeed+int64(i%scenario.Seeds))
			}
		})
	}
	group.Go(func() {
		defer close(next)
		for i := range total {
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	})
	for i := range total {
		select {
		case result := <-results[i]:
			if err := each(i+1, total, result); err != nil {
				cancel()
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

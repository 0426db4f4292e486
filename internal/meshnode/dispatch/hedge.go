package dispatch

import (
	"context"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
)

// round runs the first attempt, and a hedge beside it where the settings ask
// for one. It returns the attempts that ended; after one that completed, the
// other is cancelled and not waited for.
func (e *execution) round(ctx context.Context, first *attempt) []attemptResult {
	if !e.mayHedge() {
		return []attemptResult{first.run(ctx)}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	e.launch(ctx, first, results)
	timer := time.NewTimer(e.d.cfg.HedgeDelay)
	defer timer.Stop()
	select {
	case result := <-results:
		return []attemptResult{result}
	case <-timer.C:
	}
	running := 1
	if second := e.prepareHedge(first); second != nil {
		e.launch(ctx, second, results)
		running++
	}
	var ended []attemptResult
	for ; running > 0; running-- {
		result := <-results
		ended = append(ended, result)
		if result.State == engine.StateComplete {
			break
		}
	}
	return ended
}

func (e *execution) mayHedge() bool {
	return e.d.cfg.HedgeDelay > 0 &&
		e.request.Repeatable &&
		e.request.Priority <= api.PriorityLive &&
		e.request.OnFrame == nil
}

func (e *execution) launch(ctx context.Context, a *attempt, results chan<- attemptResult) {
	run := func() { results <- a.run(ctx) }
	if !e.d.tasks.track(run) {
		run()
	}
}

// prepareHedge opens a second attempt on another back end; nil if there is none
// or the retry budget is used up.
func (e *execution) prepareHedge(first *attempt) *attempt {
	pool, ok := e.d.backends.PoolSnapshot(e.request.Pool)
	if !ok || len(pool.Backends) < 2 || !e.d.mayHedge() {
		return nil
	}
	excluded := e.excluded
	e.excluded = append(e.excluded[:len(excluded):len(excluded)], first.backend.Name)
	second, _ := e.prepare(&pool)
	e.excluded = excluded
	if second != nil {
		e.hedges++
	}
	return second
}

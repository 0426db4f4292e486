package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// Sender sends the request with the given number and returns its outcome.
type Sender func(ctx context.Context, number int64) api.Outcome

// RunConfig says how a request is repeated.
type RunConfig struct {
	// Concurrency is the number of requests in flight: exactly so many in a
	// closed loop, at most so many in an open one.
	Concurrency int
	// Rate is the number of requests begun a second in an open loop; zero stands
	// for a closed loop, where each answer begins the next request.
	Rate float64
	// Duration ends the run; no request begins after it, and those in flight
	// are waited for.
	Duration time.Duration
	// Requests ends the run earlier; zero stands for no such end.
	Requests int64
}

// Runner repeats a request and measures it.
type Runner struct {
	cfg    RunConfig
	send   Sender
	number atomic.Int64
}

// NewRunner returns a runner of send.
func NewRunner(cfg RunConfig, send Sender) *Runner {
	cfg.Concurrency = max(cfg.Concurrency, 1)
	return &Runner{cfg: cfg, send: send}
}

// Run repeats the request until the run's end or that of ctx; what is in flight
// then gets its answer, bounded by the deadlines of the sender. It may be called
// again; numbers go on.
func (r *Runner) Run(ctx context.Context) *Measurement {
	measurement := newMeasurement()
	begun := time.Now()
	end := begun.Add(r.cfg.Duration)
	if r.cfg.Rate > 0 {
		r.openLoop(ctx, begun, end, measurement)
	} else {
		r.closedLoop(ctx, end, measurement)
	}
	measurement.elapsed = time.Since(begun)
	return measurement
}

func (r *Runner) closedLoop(ctx context.Context, end time.Time, measurement *Measurement) {
	var left atomic.Int64
	left.Store(r.cfg.Requests)
	var workers sync.WaitGroup
	for range r.cfg.Concurrency {
		workers.Go(func() {
			for ctx.Err() == nil && time.Now().Before(end) {
				if r.cfg.Requests > 0 && left.Add(-1) < 0 {
					return
				}
				r.once(ctx, time.Now(), measurement)
			}
		})
	}
	workers.Wait()
}

// openLoop begins requests at fixed intervals. Latency counts from the planned
// beginning, so that a stall shows in every request that it held up.
func (r *Runner) openLoop(ctx context.Context, begun, end time.Time, measurement *Measurement) {
	slots := make(chan struct{}, r.cfg.Concurrency)
	var requests sync.WaitGroup
	defer requests.Wait()
	for count := int64(0); r.cfg.Requests == 0 || count < r.cfg.Requests; count++ {
		planned := begun.Add(time.Duration(float64(count) / r.cfg.Rate * float64(time.Second)))
		if !planned.Before(end) || wait(ctx, time.Until(planned)) != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		requests.Go(func() {
			r.once(ctx, planned, measurement)
			<-slots
		})
	}
}

func (r *Runner) once(ctx context.Context, planned time.Time, measurement *Measurement) {
	outcome := r.send(context.WithoutCancel(ctx), r.number.Add(1))
	measurement.record(outcome, time.Since(planned))
}

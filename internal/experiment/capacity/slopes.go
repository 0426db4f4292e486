package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Slopes are the costs of one unit of each kind of work.
type Slopes struct {
	Report  ReportSlope   `json:"report"`
	Holder  HolderSlope   `json:"holder"`
	Gateway GatewaySlope  `json:"gateway"`
	Steps   []StepSlope   `json:"steps"`
	Claims  ClaimSlope    `json:"claims"`
	State   StateSlope    `json:"state"`
	List    MachineSlope  `json:"machine_list"`
	Changes []ChangeApply `json:"change_apply"`
}

// UnitCost is the processor time of one unit of work in microseconds. Whole is
// that of the process; Bare is that of a bare client and server that exchange
// the same bytes; Node is Whole less half of Bare, the half that is not the
// node's.
type UnitCost struct {
	Whole float64 `json:"whole_us"`
	Bare  float64 `json:"bare_us"`
	Node  float64 `json:"node_us"`
	Units int64   `json:"units"`
}

func measureSlopes(ctx context.Context, cfg Config) (Slopes, error) {
	var slopes Slopes
	parts := []struct {
		name string
		run  func() error
	}{
		{"reports of back ends", func() (err error) { slopes.Report, err = measureReport(ctx, cfg); return err }},
		{"the lease holder's round", func() error { slopes.Holder = measureHolder(ctx, cfg); return nil }},
		{"requests and frames", func() (err error) { slopes.Gateway, err = measureGateway(ctx, cfg); return err }},
		{"steps", func() (err error) { slopes.Steps, err = measureSteps(ctx, cfg); return err }},
		{"bookings", func() (err error) { slopes.Claims, err = measureClaims(ctx, cfg); return err }},
		{"the configuration", func() (err error) { slopes.State, err = measureState(ctx); return err }},
		{"a change", func() (err error) { slopes.Changes, err = measureChangeApply(ctx, cfg); return err }},
		{"the machine list", func() (err error) { slopes.List, err = measureMachineList(cfg); return err }},
	}
	for _, part := range parts {
		cfg.Progress("slopes: " + part.name)
		if err := part.run(); err != nil {
			return slopes, err
		}
	}
	return slopes, ctx.Err()
}

// workCost is what a run of equal pieces of work took.
type workCost struct {
	micros float64
	count  int64
}

// runWork has workers do pieces of work one after the other for the time given,
// and returns the processor time of one piece.
func runWork(ctx context.Context, workers int, duration time.Duration, work func(worker int) error) (workCost, error) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var done atomic.Int64
	failures := make(chan error, workers)
	began := processTime()
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			for ctx.Err() == nil {
				if err := work(worker); err != nil {
					failures <- err
					return
				}
				done.Add(1)
			}
		})
	}
	group.Wait()
	used := processTime() - began
	select {
	case err := <-failures:
		return workCost{}, err
	default:
	}
	return workCost{micros: microseconds(used) / float64(max(1, done.Load())), count: done.Load()}, nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// medianWork runs a benchmark several times and returns the median run.
func medianWork(runs int, run func() (workCost, error)) (workCost, error) {
	var costs []float64
	var count int64
	for range runs {
		cost, err := run()
		if err != nil {
			return workCost{}, err
		}
		costs = append(costs, cost.micros)
		count += cost.count
	}
	return workCost{micros: median(costs), count: count}, nil
}

// slopeRuns is how often each benchmark runs; the median counts.
const slopeRuns = 3

func unitCost(whole, bare workCost) UnitCost {
	return UnitCost{Whole: whole.micros, Bare: bare.micros, Node: whole.micros - bare.micros/2, Units: whole.count}
}

// runAll runs the workers side by side.
func runAll(workers int, run func(worker int)) {
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() { run(worker) })
	}
	group.Wait()
}

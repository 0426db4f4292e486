package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

// Config configures a run.
type Config struct {
	// Gateway is the program of a node.
	Gateway string
	// Directory takes settings and logs of the nodes.
	Directory string
	Nodes     int
	Seed      uint64
	For       time.Duration
	// Out takes the plan and the progress.
	Out io.Writer
}

// Report is what came of a run.
type Report struct {
	Seed uint64
	// Breaches is what broke a promise.
	Breaches []string
	// Counts is what happened how often.
	Counts map[string]int
}

// Write writes a report as text.
func (r Report) Write(w io.Writer) error {
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		if _, err := fmt.Fprintf(w, "%8d  %s\n", r.Counts[what], what); err != nil {
			return err
		}
	}
	for _, breach := range r.Breaches {
		if _, err := fmt.Fprintln(w, "BROKEN", breach); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "seed %d: %d promises broken\n", r.Seed, len(r.Breaches))
	return err
}

// Run plays a run. The error is of the run itself, not of what was judged.
func Run(ctx context.Context, config Config) (Report, error) {
	faults := draw(config.Seed, config.For)
	report := Report{Seed: config.Seed}
	if err := writePlan(config.Out, config.Seed, faults); err != nil {
		return report, err
	}
	s, err := build(config)
	defer s.close()
	if err != nil {
		return report, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return report, err
	}
	load := newLoad(s)
	load.start()
	err = s.play(ctx, faults)
	load.stop()
	s.settle(ctx, load)
	s.judgeHarmless(ctx)
	report.Breaches = s.verdict(load)
	report.Counts = s.judge.Counts()
	return report, err
}

// settle waits until all accepted jobs are whole, for the calm time at most, and reads
// them at every node.
func (s *system) settle(ctx context.Context, load *load) {
	for _, n := range s.nodes {
		n.resume()
	}
	deadline := time.Now().Add(calmLast)
	for _, job := range load.accepted() {
		for !load.readWhole(ctx, job) && time.Now().Before(deadline) && ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	sleepUntil(ctx, time.Now().Add(max(0, min(usageWithin, time.Until(deadline)))))
}

// verdict judges what was seen.
func (s *system) verdict(load *load) []string {
	var runs []standin.Run
	for _, b := range s.backends {
		runs = append(runs, b.Runs()...)
		s.judge.Orders(b.ID, b.Orders(), settleTime, func(order standin.Order) bool {
			return b.excuses(order.At) || s.excuses(order)
		})
	}
	for _, job := range load.accepted() {
		s.judge.Whole(job.id, job.items)
	}
	s.judge.Runs(runs, load.tenantsOfItems())
	s.judgePlaces(load, runs)
	s.judgeDeadly(runs)
	s.judgeMetered(runs)
	s.judge.Usage(s.duties.Usage(), s.duties.Breaches(), runs)
	breaches := s.judge.Breaches()
	for _, n := range s.nodes {
		breaches = append(breaches, n.exits...)
	}
	return breaches
}

// excuses tells whether an order's holder was paused when it came.
func (s *system) excuses(order standin.Order) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool { return n.name == order.Holder && n.excuses(order.At) })
}

package batch

import (
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// A job takes as long as its longest item. Starting all items at once would open one
// connection per item, most of them for a single short item. A job therefore opens only as
// many connections as it needs for all items to finish by the time the longest does; the
// other items wait for idle connections. Since the longest items start first, this does not
// delay the job.

// demand is the remaining work of a job. Lengths are in events, or in tokens according to the
// length hints while no item has ended yet.
type demand struct {
	// running is the number of running items, left that of running and waiting items.
	running, left int
	// work is the total remaining length, longest that of the item with the most remaining.
	work, longest int
}

const (
	// parallelMargin is the factor by which the concurrency exceeds the computed minimum,
	// since lengths are known only within a factor of two.
	parallelMargin = 2
	// maxSpread limits the ratio of the longest remaining length to the mean, since hints
	// vary more widely than actual lengths.
	maxSpread = 6
	// longShareLeft is the share of the longest remaining length from which an item does not
	// wait for an idle connection.
	longShareLeft = 0.5
)

// parallel returns the number of items to run concurrently so that all of them finish by the
// time the longest does.
func (d demand) parallel() int {
	longest := min(d.longest, maxSpread*d.work/max(d.left, 1))
	if longest <= 0 {
		return d.left
	}
	return (parallelMargin*d.work + longest - 1) / longest
}

// patient reports whether an item with the given remaining length is to wait for an idle
// connection.
func (d demand) patient(left int) bool {
	return d.running >= d.parallel() && float64(left) < longShareLeft*float64(d.longest)
}

// maxPatientWait is the maximum time that a scoring call waits for an idle connection.
const maxPatientWait = time.Second

// width returns the number of items to run concurrently so that, by their hints, all finish
// by the time the longest does. It is the number of all items if one of them has no hint.
func width(items []Item) int {
	d := demand{left: len(items)}
	for i := range items {
		hint := items[i].LengthHint
		if hint == 0 {
			return len(items)
		}
		d.work += hint
		d.longest = max(d.longest, hint)
	}
	return min(d.parallel(), len(items))
}

// width returns the number of items of the job to run concurrently. It is the number of all
// items for a head without a stored width.
func (h Head) width() int {
	if h.Width > 0 {
		return h.Width
	}
	return h.Total
}

// patientScore reports whether a scoring call may wait for an idle connection because its job
// runs for considerably longer than the call takes. longest is the job's longest remaining
// length, waited the time for which the call has been waiting.
func patientScore(longest int, pace, latency, waited time.Duration) bool {
	return time.Duration(longest)*pace > patientCalls*latency && waited < maxPatientWait
}

// patientCalls is the number of scoring latencies for which a job must still run if one of its
// scoring calls is to wait for an idle connection. It leaves time to repeat the call.
const patientCalls = 4

// awaited reports whether an idle connection exists or may become available, because this
// node has a call in flight at one of the backends.
func awaited(pool []fleet.Backend) bool {
	return slices.ContainsFunc(pool, func(b fleet.Backend) bool { return b.InFlight > 0 || b.Reach.Idle > 0 })
}

// left returns the expected number of remaining events of an item, 0 if unknown. The caller
// holds r.mu.
func (r *runner) left(job *ownedJob, index int) int {
	if r.lengths.hints == 0 {
		return 0
	}
	return r.expectedEvents(job, index) - len(job.items[index].text.events)
}

// lengthLeft returns the expected remaining length of an item, for comparison within its job:
// in events, or its hint in tokens while no item has ended yet. The caller holds r.mu.
func (r *runner) lengthLeft(job *ownedJob, index int) int {
	if r.lengths.hints == 0 {
		return job.spec.Items[index].LengthHint
	}
	return r.left(job, index)
}

// demandOf returns the remaining work of a job. The caller holds r.mu.
func (r *runner) demandOf(job *ownedJob) *demand {
	d := &demand{}
	for i := range job.items {
		phase := job.items[i].phase
		if phase != phaseWaiting && phase != phaseRunning {
			continue
		}
		if phase == phaseRunning {
			d.running++
		}
		left := r.lengthLeft(job, i)
		d.left++
		d.work += left
		d.longest = max(d.longest, left)
	}
	return d
}

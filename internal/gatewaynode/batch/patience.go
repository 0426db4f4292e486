package batch

import (
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// A step waits for its longest items alone. Were all of its items begun at once, they
// would open as many connections as they are, and use most of them for one short item.
// What is left of a job is therefore begun at once only as far as its longest item leaves
// no time for it to be run one after the other; the rest waits for connections that other
// items give back. The longest go first, so the step takes no longer by that.

// demand is what is left to do of a job, in events, or in tokens by the hints as long as
// nothing is known of lengths.
type demand struct {
	// running counts the items at back ends, left those that run or wait.
	running, left int
	// work is what they have left together, longest, the one with most.
	work, longest int
}

const (
	// parallelMargin is how many times more items than would do run at once: lengths are
	// known within a factor of two.
	parallelMargin = 2
	// spreadMost is how many times longer than the mean the longest item is taken to be at
	// most: hints of length scatter more than lengths do.
	spreadMost = 6
	// longShareLeft is the share of the longest from which on an item counts as one that
	// the step waits for.
	longShareLeft = 0.5
)

// parallel returns how many items have to run at once so that all are done by the time
// that the longest is. It is pure.
func (d demand) parallel() int {
	longest := min(d.longest, spreadMost*d.work/max(d.left, 1))
	if longest <= 0 {
		return d.left
	}
	return (parallelMargin*d.work + longest - 1) / longest
}

// patient tells whether an item with so much left waits for a connection that stands. It
// is pure.
func (d demand) patient(left int) bool {
	return d.running >= d.parallel() && float64(left) < longShareLeft*float64(d.longest)
}

// patientMost is how long a score waits for a connection at most.
const patientMost = time.Second

// width returns how many of the items have to run at once for the longest to be the one
// that all wait for, by their hints; all of them where not every one has a hint. It is
// pure.
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

// width returns how many of the job's items have to run at once.
func (h Head) width() int {
	if h.Width > 0 {
		return h.Width
	}
	return h.Total
}

// patientScore tells whether a whole text may wait with its score for a connection that
// stands: items of its job run on for some calls longer. It is pure.
func patientScore(longest int, pace, latency, waited time.Duration) bool {
	return time.Duration(longest)*pace > patientCalls*latency && waited < patientMost
}

// patientCalls is how many usual latencies of a scoring service its step has to go on for
// where a score waits for a connection: its call may have to be made again.
const patientCalls = 4

// awaited tells whether a connection may come free that an item could wait for: calls of
// this node are under way at one of the back ends. It is pure.
func awaited(pool []fleet.Backend) bool {
	return slices.ContainsFunc(pool, func(b fleet.Backend) bool { return b.InFlight > 0 || b.Reach.Idle > 0 })
}

// left returns how many events an item is expected to make yet, 0 if nothing is known.
// The lock is held.
func (r *runner) left(job *ownedJob, index int) int {
	if r.lengths.hints == 0 {
		return 0
	}
	return r.expectedEvents(job, index) - len(job.items[index].text.events)
}

// lengthLeft returns how long an item goes on, to be compared with others of its job:
// events, or tokens by its hint as long as nothing is known. The lock is held.
func (r *runner) lengthLeft(job *ownedJob, index int) int {
	if r.lengths.hints == 0 {
		return job.spec.Items[index].LengthHint
	}
	return r.left(job, index)
}

// demandOf returns what is left to do of a job. The lock is held.
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

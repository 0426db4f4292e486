package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// Conditions for moving a run to a faster backend.
const (
	// moveRatio is the ratio to the typical pace from which a backend counts as slow.
	moveRatio = 1.6
	// moveRatioLong replaces moveRatio for items that have run for longer than longRun.
	moveRatioLong = 1.15
	// longRun is the time since its first start after which an item counts as long-running.
	longRun = 1500 * time.Millisecond
	// moveAfter is the minimum time since the start of the run and since the last move.
	moveAfter = 600 * time.Millisecond
	// moveGain is the minimum time that a move has to save. A move processes the prompt again,
	// closes a connection and usually opens another one.
	moveGain = 400 * time.Millisecond
	// paceFresh is the maximum age of the current backend's pace measurement.
	paceFresh = time.Second
)

// movable reports whether an item has run at its backend for long enough to be moved.
func movable(item *itemState, now time.Time) bool {
	return now.Sub(item.started) >= moveAfter && now.Sub(item.moved) >= moveAfter
}

// moveItem cancels a run on a slow backend if a much faster one has room, and reserves a slot
// there. The item resumes there after its last event. The caller holds r.mu.
func (r *runner) moveItem(c candidate, p *schedulingRound) {
	item := &c.job.items[c.index]
	pool := p.of(c.route, c.index)
	want := r.needOf(c, pool)
	if pool.full[want] {
		return
	}
	moving := want
	moving.ran = p.now.Sub(item.firstStart)
	moving.left = r.left(c.job, c.index)
	target := moveTarget(pool.backends, item.backend, moving, pool.typical, p.snapshot)
	if target < 0 {
		return
	}
	b := &pool.backends[target]
	p.assign(b)
	takeMemory(b, want)
	item.moved = p.now
	item.avoid = item.backend
	item.target = b.ID
	item.urgent = true
	r.manager.config.Log.Info(eventlog.ItemMoved, eventlog.Fields{
		eventlog.Job: c.job.id, eventlog.Item: c.job.spec.Items[c.index].ID, eventlog.Backend: item.backend,
		"to": b.ID, "events": len(item.text.events), "to_pace_ms": b.Pace.Milliseconds(),
	})
	item.cancel(errMoved)
}

// moveTarget returns the index of the fastest backend to which moving an item from current
// is worthwhile, or -1 if there is none.
//
// The current backend must be slow compared with the typical pace of the pool, not only with
// the fastest backend: otherwise one wrong measurement would attract all items. It must have
// been slow for some time, since backends on shared machines slow down briefly and recover
// before a moved item has started elsewhere. A backend whose last request failed is not a
// target until another request succeeds there.
func moveTarget(pool []fleet.Backend, current string, want need, typical time.Duration, snapshot *eligibility.Snapshot) int {
	now := snapshot.Now
	var from *fleet.Backend
	for i := range pool {
		if pool[i].ID == current {
			from = &pool[i]
		}
	}
	if from == nil || from.Pace == 0 || now.Sub(from.PaceAt) > paceFresh {
		return -1
	}
	slow, ratio := slowFor(from, want, typical)
	if slow == 0 {
		return -1
	}
	best := -1
	for i := range pool {
		b := &pool[i]
		if b.Memory.ExpectedUtilization(want.expected) > 1 || b.Failures > 0 || b.Cold(now) {
			continue
		}
		if b.Pace == 0 || now.Sub(b.PaceAt) > paceMemory || float64(slow) < ratio*float64(b.SmoothedPaceOrPace()) {
			continue
		}
		if !worthMoving(slow, b.SmoothedPaceOrPace(), want.left) {
			continue
		}
		if (best < 0 || b.SmoothedPaceOrPace() < pool[best].SmoothedPaceOrPace()) && suits(b, want, snapshot) {
			best = i
		}
	}
	return best
}

// slowFor returns the pace of from and the factor by which another backend must be faster if
// from is slow enough for the run to be moved away, and zeros otherwise. A backend is slow
// enough if it was much slower than typical over the last seconds. A long-running item is
// expected to run on for long, so it is also moved from a slightly slower backend, provided
// that the lifetime pace of the backend is slower too.
func slowFor(from *fleet.Backend, want need, typical time.Duration) (slow time.Duration, ratio float64) {
	slow = min(from.Pace, from.SmoothedPaceOrPace())
	if float64(slow) >= moveRatio*float64(typical) {
		return slow, moveRatio
	}
	if want.ran <= longRun || !from.LifetimePace.Known() {
		return 0, 0
	}
	if slow = min(slow, from.LifetimePace.Pace); float64(slow) >= moveRatioLong*float64(typical) {
		return slow, moveRatioLong
	}
	return 0, 0
}

// worthMoving reports whether a run with left expected remaining events saves at least
// moveGain by a move between the given paces. It assumes so if left is 0, which means unknown.
func worthMoving(from, to time.Duration, left int) bool {
	return left == 0 || time.Duration(left)*(from-to) >= moveGain
}

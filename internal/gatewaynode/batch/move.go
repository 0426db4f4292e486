package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// Conditions under which a run is moved to a faster back end.
const (
	// moveRatio is how many times slower than the best its back end must be.
	moveRatio     = 1.6
	moveRatioLong = 1.15
	// longRun is from when on an item has run for long.
	longRun = 1500 * time.Millisecond
	// moveAfter is the least time since its start or the last move.
	moveAfter = 600 * time.Millisecond
	// moveGain is the least time that a move has to save: it reads the item's prompt anew,
	// and closes one connection and as a rule opens another.
	moveGain = 400 * time.Millisecond
	// paceFresh is how old a measured pace may be.
	paceFresh = time.Second
)

// movable tells whether an item has run at its back end for long enough.
func movable(item *itemState, now time.Time) bool {
	return now.Sub(item.started) >= moveAfter && now.Sub(item.moved) >= moveAfter
}

// moveItem ends the run of an item on a back end that is much slower than one with
// room; it goes on there after its last event. The lock is held.
func (r *runner) moveItem(c candidate, p *pools) {
	item := &c.job.items[c.index]
	pool := p.of(c.route, c.index)
	want := r.needOf(c, pool)
	if pool.full[want] {
		return
	}
	moving := want
	moving.ran = p.now.Sub(item.firstStart)
	moving.left = r.left(c.job, c.index)
	target := moveTarget(pool.backends, item.backend, moving, pool.typical, p.world)
	if target < 0 {
		return
	}
	b := &pool.backends[target]
	p.give(b)
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

// moveTarget returns the index of a back end that is so much faster than the
// one that runs an item that moving it is worth while, or -1. The one that runs it
// must be slow beside the typical pace of the pool too: against the best alone,
// items would follow each wrong measurement. It must have been so for a while: where
// machines are shared, each back end is slow for a moment now and then, and by the time a
// moved item runs, that is over. One that failed last has to show first
// that it is there. It is pure.
func moveTarget(pool []fleet.Backend, current string, want need, typical time.Duration, world *eligibility.World) int {
	now := world.Now
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
		if b.Memory.Crowded(want.expected) > 1 || b.Failures > 0 || b.Cold(now) {
			continue
		}
		if b.Pace == 0 || now.Sub(b.PaceAt) > paceMemory || float64(slow) < ratio*float64(b.SettledPace()) {
			continue
		}
		if !worthMoving(slow, b.SettledPace(), want.left) {
			continue
		}
		if (best < 0 || b.SettledPace() < pool[best].SettledPace()) && suits(b, want, world) {
			best = i
		}
	}
	return best
}

// slowFor returns the pace of a back end that is slow enough for a run to be moved away, and
// how many times faster another one must be; 0 if it is not. Much slower than usual over the
// last seconds is enough. A run that has gone on for long goes on for long: it is moved from
// one that is a little slower, but only if that one is so for good. It is pure.
func slowFor(from *fleet.Backend, want need, typical time.Duration) (slow time.Duration, ratio float64) {
	slow = min(from.Pace, from.SettledPace())
	if float64(slow) >= moveRatio*float64(typical) {
		return slow, moveRatio
	}
	if want.ran <= longRun || !from.Lasting.Known() {
		return 0, 0
	}
	if slow = min(slow, from.Lasting.Pace); float64(slow) >= moveRatioLong*float64(typical) {
		return slow, moveRatioLong
	}
	return 0, 0
}

// worthMoving tells whether a run that is expected to make so many events yet, 0 if
// nothing is known, gains enough by a move from one pace to another. It is pure.
func worthMoving(from, to time.Duration, left int) bool {
	return left == 0 || time.Duration(left)*(from-to) >= moveGain
}

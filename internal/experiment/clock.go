package experiment

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time. Events of one time happen
// in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(value any) { *h = append(*h, value.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return value
}

// clock is virtual time and what is still to happen.
type clock struct {
	now      time.Duration
	events   eventHeap
	sequence uint64
}

// at schedules fn; a time in the past counts as now.
func (c *clock) at(when time.Duration, fn func()) {
	c.sequence++
	heap.Push(&c.events, event{at: max(when, c.now), sequence: c.sequence, run: fn})
}

func (c *clock) after(delay time.Duration, fn func()) { c.at(c.now+delay, fn) }

// every runs fn now and then at each interval.
func (c *clock) every(interval time.Duration, fn func()) {
	fn()
	c.after(interval, func() { c.every(interval, fn) })
}

// step runs the next event and tells whether there was one.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	next := heap.Pop(&c.events).(event)
	c.now = next.at
	next.run()
	return true
}

// instant returns now as the wall time that the decision packages take.
func (c *clock) instant() time.Time { return time.Unix(0, 0).Add(c.now) }

// engineClock is an engine's own time, which runs slower by a factor.
type engineClock struct {
	since      time.Duration
	localSince time.Duration
	factor     float64
}

func (c *engineClock) local(now time.Duration) time.Duration {
	if c.factor == 1 {
		return c.localSince + now - c.since
	}
	return c.localSince + time.Duration(float64(now-c.since)/c.factor)
}

// global returns a time at which local has reached at least the given one.
func (c *engineClock) global(local time.Duration) time.Duration {
	if c.factor == 1 {
		return c.since + local - c.localSince
	}
	return c.since + time.Duration(float64(local-c.localSince)*c.factor) + time.Microsecond
}

func (c *engineClock) setFactor(now time.Duration, factor float64) {
	*c = engineClock{since: now, localSince: c.local(now), factor: factor}
}

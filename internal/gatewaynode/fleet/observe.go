package fleet

import "time"

const (
	// smoothing is the weight of a new measurement in a moving average.
	smoothing = 0.3
	// suspendFirst and suspendMost bound the pause after failures in a row.
	suspendFirst = 250 * time.Millisecond
	suspendMost  = 4 * time.Second
)

// Load is what a back end said of itself in an answer.
type Load struct {
	Running, Waiting int
	// Slowdown is how many times as long as usual work takes there, 0 if it does not say.
	Slowdown float64
}

// ObserveLoad records the load that an answer reported.
func (f *Fleet) ObserveLoad(id string, load Load, now time.Time) {
	f.with(id, func(c *Condition) {
		c.OthersRunning = max(0, load.Running-c.InFlight)
		c.Waiting = load.Waiting
		c.Slowdown = load.Slowdown
		c.LoadAt = now
	})
}

// AsUsual returns how long what took a time would have taken at the back end's usual pace, as
// far as it said how slow it was.
func (l Load) AsUsual(took time.Duration) time.Duration {
	if l.Slowdown <= 0 {
		return took
	}
	return time.Duration(float64(took) / l.Slowdown)
}

// ObserveLatency records the time of a whole answer.
func (f *Fleet) ObserveLatency(id string, latency time.Duration) {
	f.with(id, func(c *Condition) {
		c.Latency = average(c.Latency, latency)
		c.Failures = 0
	})
}

// ObserveScore records the time of a whole answer of a scoring service.
func (f *Fleet) ObserveScore(id string, latency time.Duration) {
	f.with(id, func(c *Condition) {
		c.ScoreLatency = average(c.ScoreLatency, latency)
		c.Failures = 0
	})
}

// ObservePace records the time between two events of a stream.
func (f *Fleet) ObservePace(id string, gap time.Duration, now time.Time) {
	f.with(id, func(c *Condition) {
		since := now.Sub(c.PaceAt)
		c.Pace = paceAverage(c.Pace, gap, since, paceWindow)
		c.Settled = paceAverage(c.Settled, gap, since, settledWindow)
		c.PaceAt = now
		c.Lasting = c.Lasting.observe(c.Pace, now)
		c.Failures = 0
	})
}

func average(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return old + time.Duration(smoothing*float64(measured-old))
}

// paceWindow is the time over which the pace of an instance is averaged, over
// all its streams.
const paceWindow = 400 * time.Millisecond

// settledWindow is the time over which the settled pace is averaged: a machine that is slowed
// two and a half times for 0.6 s by what it shares raises it by less than half.
const settledWindow = 2 * time.Second

// paceAverage weighs a gap by the time since the last measurement, so that many
// streams at once do not make the average over a window follow each single event.
func paceAverage(old, gap, since, window time.Duration) time.Duration {
	if old == 0 || since >= window {
		return gap
	}
	weight := max(float64(since)/float64(window), paceLeast*float64(paceWindow)/float64(window))
	return old + time.Duration(weight*float64(gap-old))
}

// paceLeast is the least weight of a measurement in an average over paceWindow.
const paceLeast = 0.005

// ObserveFailure records a failure and leaves the instance alone for a time
// that doubles with each failure in a row. What fails while the instance is left
// alone already was begun before: it counts, but makes the present pause no longer.
// Many requests that fail together, as those that wait at a full instance do, would
// take it out of use for long at once.
func (f *Fleet) ObserveFailure(id, reason string, now time.Time) {
	f.with(id, func(c *Condition) {
		c.Failures++
		if now.Before(c.SuspendedUntil) {
			return
		}
		pause := min(suspendFirst<<min(c.Failures-1, 8), suspendMost)
		c.SuspendedUntil = now.Add(pause)
		c.SuspendReason = reason
	})
}

// Suspend leaves the instance alone for a while without counting a failure.
func (f *Fleet) Suspend(id, reason string, until time.Time) {
	f.with(id, func(c *Condition) {
		if until.After(c.SuspendedUntil) {
			c.SuspendedUntil = until
			c.SuspendReason = reason
		}
	})
}

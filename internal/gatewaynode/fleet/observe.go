package fleet

import "time"

const (
	// smoothing is the weight of a new measurement in a moving average.
	smoothing = 0.3
	// suspendFirst and suspendMost bound the pause after failures in a row.
	suspendFirst = 250 * time.Millisecond
	suspendMost  = 4 * time.Second
)

// ObserveLoad records the load that an answer reported.
func (f *Fleet) ObserveLoad(id string, running, waiting int, now time.Time) {
	f.with(id, func(c *Condition) {
		c.OthersRunning = max(0, running-c.InFlight)
		c.Waiting = waiting
		c.LoadAt = now
	})
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
		c.Pace = paceAverage(c.Pace, gap, now.Sub(c.PaceAt))
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

// paceAverage weighs a gap by the time since the last measurement, so that many
// streams at once do not make the average follow each single event.
func paceAverage(old, gap, since time.Duration) time.Duration {
	if old == 0 || since >= paceWindow {
		return gap
	}
	weight := max(float64(since)/float64(paceWindow), paceLeast)
	return old + time.Duration(weight*float64(gap-old))
}

// paceLeast is the least weight of a measurement.
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

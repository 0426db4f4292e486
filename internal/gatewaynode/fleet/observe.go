package fleet

import "time"

const (
	// smoothing is the weight of a new measurement in the averages of latencies.
	smoothing = 0.3
	// minSuspension and maxSuspension are the shortest and the longest suspension after
	// consecutive failures.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 4 * time.Second
)

// Load is the load that a backend reports in an answer.
type Load struct {
	Running, Waiting int
	// Slowdown is the factor by which the backend is slower than usual, 0 if it does not
	// report one.
	Slowdown float64
}

// ObserveLoad records the load that an answer reported.
func (f *Fleet) ObserveLoad(id string, load Load, now time.Time) {
	f.updateCondition(id, func(c *Condition) {
		c.OthersRunning = max(0, load.Running-c.InFlight)
		c.Waiting = load.Waiting
		c.Slowdown = load.Slowdown
		c.LoadAt = now
	})
}

// Normalize converts a measured time to the time at the usual speed of the backend. It
// returns took if no slowdown is reported.
func (l Load) Normalize(took time.Duration) time.Duration {
	if l.Slowdown <= 0 {
		return took
	}
	return time.Duration(float64(took) / l.Slowdown)
}

// ObserveLatency records the time of a whole answer. It resets the count of failures.
func (f *Fleet) ObserveLatency(id string, latency time.Duration) {
	f.updateCondition(id, func(c *Condition) {
		c.Latency = average(c.Latency, latency)
		c.Failures = 0
	})
}

// ObserveScore records the time of a call to a scoring service. It resets the count of
// failures.
func (f *Fleet) ObserveScore(id string, latency time.Duration) {
	f.updateCondition(id, func(c *Condition) {
		c.ScoreLatency = average(c.ScoreLatency, latency)
		c.Failures = 0
	})
}

// ObservePace records the time between two events of a stream. It resets the count of
// failures.
func (f *Fleet) ObservePace(id string, gap time.Duration, now time.Time) {
	f.updateCondition(id, func(c *Condition) {
		since := now.Sub(c.PaceAt)
		c.Pace = paceAverage(c.Pace, gap, since, paceWindow)
		c.SmoothedPace = paceAverage(c.SmoothedPace, gap, since, smoothedPaceWindow)
		c.PaceAt = now
		c.LifetimePace = c.LifetimePace.observe(c.Pace, now)
		c.Failures = 0
	})
}

// average returns the moving average old updated by a measurement. An old of 0 means none.
func average(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return old + time.Duration(smoothing*float64(measured-old))
}

// paceWindow is the time over which Condition.Pace is averaged.
const paceWindow = 400 * time.Millisecond

// smoothedPaceWindow is the time over which Condition.SmoothedPace is averaged. It is long
// enough that a slow phase of half a second changes the average little: one of 0.6 s at 2.5
// times the usual gap raises it by less than half.
const smoothedPaceWindow = 2 * time.Second

// paceAverage returns the average old updated by a gap, which is weighted by the time since
// the last measurement. The average therefore depends on time and not on the number of
// events, of which many concurrent streams deliver several at the same moment.
func paceAverage(old, gap, since, window time.Duration) time.Duration {
	if old == 0 || since >= window {
		return gap
	}
	weight := max(float64(since)/float64(window), minPaceWeight*float64(paceWindow)/float64(window))
	return old + time.Duration(weight*float64(gap-old))
}

// minPaceWeight is the minimum weight of a measurement in an average over paceWindow.
const minPaceWeight = 0.005

// ObserveFailure records a failure and suspends the instance for a time that doubles with
// each consecutive failure. A failure during a suspension is counted but does not extend it:
// otherwise many requests that fail together, such as those queued at a full instance,
// would cause the longest suspension at once.
func (f *Fleet) ObserveFailure(id, reason string, now time.Time) {
	f.updateCondition(id, func(c *Condition) {
		c.Failures++
		if now.Before(c.SuspendedUntil) {
			return
		}
		pause := min(minSuspension<<min(c.Failures-1, 8), maxSuspension)
		c.SuspendedUntil = now.Add(pause)
		c.SuspendReason = reason
	})
}

// Suspend suspends an instance without counting a failure. It never shortens a suspension.
func (f *Fleet) Suspend(id, reason string, until time.Time) {
	f.updateCondition(id, func(c *Condition) {
		if until.After(c.SuspendedUntil) {
			c.SuspendedUntil = until
			c.SuspendReason = reason
		}
	})
}

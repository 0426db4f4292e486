package fleet

import "time"

// LifetimePace is the average pace of an instance over its lifetime. It shows permanent
// differences between the instances of a service, also after a time without traffic.
type LifetimePace struct {
	Pace time.Duration
	// Count is the number of measurements, which are at least paceWindow apart.
	Count int
	// At is the time of the last measurement.
	At time.Time
}

const (
	// lifetimeDecreaseWeight and lifetimeIncreaseWeight are the weights of a measurement
	// below and above the average. Temporary slowness is far more common than temporary
	// speed, so that the average follows low measurements quickly and high ones slowly.
	lifetimeDecreaseWeight = 0.3
	lifetimeIncreaseWeight = 0.01
	// minLifetimeCount is the number of measurements from which the average is used.
	minLifetimeCount = 5
)

// observe returns l updated by a measurement. It ignores one that follows the last within
// paceWindow.
func (l LifetimePace) observe(pace time.Duration, now time.Time) LifetimePace {
	if l.Count > 0 && now.Sub(l.At) < paceWindow {
		return l
	}
	weight := lifetimeIncreaseWeight
	if pace < l.Pace {
		weight = lifetimeDecreaseWeight
	}
	if l.Count < minLifetimeCount {
		weight = max(weight, 1/float64(l.Count+1))
	}
	l.Pace += time.Duration(weight * float64(pace-l.Pace))
	l.Count++
	l.At = now
	return l
}

// Known reports whether there are enough measurements to use the average.
func (l LifetimePace) Known() bool { return l.Count >= minLifetimeCount }

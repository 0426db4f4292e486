package fleet

import "time"

// LastingPace is the pace that an instance has had over its life. Instances of a service
// may differ for good, and then differ still when nothing was measured for a while.
type LastingPace struct {
	Pace time.Duration
	// Count is the number of measurements, paceWindow apart at least, At, when the last
	// one was taken.
	Count int
	At    time.Time
}

const (
	// lastingFall and lastingRise are the weights of a measurement that is below and above
	// what is known. An instance is slow for some seconds far more often than it is quick
	// for some: ten seconds of a third of its speed raise its lasting pace by four tenths,
	// and a second at its own brings that back.
	lastingFall = 0.3
	lastingRise = 0.01
	// lastingLeast is from how many measurements on the lasting pace tells something.
	lastingLeast = 5
)

// observe returns the lasting pace after one more measurement.
func (l LastingPace) observe(pace time.Duration, now time.Time) LastingPace {
	if l.Count > 0 && now.Sub(l.At) < paceWindow {
		return l
	}
	weight := lastingRise
	if pace < l.Pace {
		weight = lastingFall
	}
	if l.Count < lastingLeast {
		weight = max(weight, 1/float64(l.Count+1))
	}
	l.Pace += time.Duration(weight * float64(pace-l.Pace))
	l.Count++
	l.At = now
	return l
}

// Known tells whether the lasting pace tells something.
func (l LastingPace) Known() bool { return l.Count >= lastingLeast }

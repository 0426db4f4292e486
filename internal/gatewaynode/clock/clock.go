// Package clock tells time in milliseconds, the unit in which users state every
// bound. A moment is one of the process's steady clock, so that a change of the
// time of day does not move it; moments of different processes must not be
// compared. All moments are above 0.
package clock

import "time"

// Millis is a moment or a span, in milliseconds.
type Millis int64

// originYears is how long before the start of the process the moment 0 lies: tests
// in virtual time are played in years before.
const originYears = 100

// origin is the moment 0.
var origin = time.Now().Add(-originYears * 365 * 24 * time.Hour)

// Now returns the present moment.
func Now() Millis { return At(time.Now()) }

// At returns the moment of t, which carries a reading of the steady clock.
func At(t time.Time) Millis { return Of(t.Sub(origin)) }

// Of returns the span of d, rounded down.
func Of(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Duration returns the span m as the standard library has it.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time returns the moment m as the standard library has it.
func (m Millis) Time() time.Time { return origin.Add(m.Duration()) }

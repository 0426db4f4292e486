package clock

import (
	"sync/atomic"
	"time"
)

// A machine may be suspended. Its steady clock, on which time.Now, timers and contexts
// stand, does not count that time; the rest of the system goes on. What a process believes
// for a time (that it holds a lease, that a view is fresh) is older than the steady clock
// says by what Away grew.

// source returns how much less the steady clock has counted than the time that passed; it
// is replaced by tests.
var source atomic.Pointer[func() time.Duration]

// Away returns for how long the machine was suspended, from some moment on. Only the
// difference between two readings has a meaning. Where the system does not tell it stays 0,
// see Tells.
func Away() time.Duration {
	if replaced := source.Load(); replaced != nil {
		return (*replaced)()
	}
	return away()
}

// SetAway makes Away return what a function does, for tests, and returns what ends that.
func SetAway(function func() time.Duration) (restore func()) {
	source.Store(&function)
	return func() { source.Store(nil) }
}

// Mark is a moment from which time is counted that includes time away. The zero Mark is
// none.
type Mark struct {
	at   time.Time
	away time.Duration
}

// NewMark returns the mark of the present moment. Time away is read first: a suspension
// between the two readings makes what is counted from the mark older, not younger.
func NewMark() Mark {
	before := Away()
	return Mark{at: time.Now(), away: before}
}

// At returns the moment of the mark by the steady clock.
func (m Mark) At() time.Time { return m.at }

// awayLeast is the least time away that counts: two clocks that are read one after the other
// never agree wholly, and a bound must not move by that.
const awayLeast = 5 * time.Millisecond

// Since returns the time away since the mark.
func (m Mark) Since() time.Duration {
	grown := Away() - m.away
	if grown < awayLeast {
		return 0
	}
	return grown
}

// Earlier returns the moment of the mark as the steady clock would tell it if it had
// counted the time away since: so much before.
func (m Mark) Earlier() time.Time {
	if m.at.IsZero() {
		return m.at
	}
	return m.at.Add(-m.Since())
}

package batch

import "time"

// lengths learns what hints of length are worth, and how long items run, from the
// items that ended.
type lengths struct {
	hints, events, took, count float64
	// longest is the most events that an item of a model had.
	longest map[string]int
}

// lengthMemory is the weight of what was learnt before when an item ends.
const lengthMemory = 0.99

// observe takes an item of a model that ended, with its hint of length, the events
// that it had, and the time from its first run on.
func (l *lengths) observe(model string, hint, events int, took time.Duration) {
	l.hints = lengthMemory*l.hints + float64(hint)
	l.events = lengthMemory*l.events + float64(events)
	l.took = lengthMemory*l.took + float64(took)
	l.count = lengthMemory*l.count + 1
	if l.longest == nil {
		l.longest = make(map[string]int)
	}
	l.longest[model] = max(l.longest[model], events)
}

// expected returns how many events an item with a hint should have, 0 if nothing
// is known.
func (l *lengths) expected(hint int) float64 {
	if l.hints == 0 {
		return 0
	}
	return float64(hint) * l.events / l.hints
}

// wait returns how long an item waits with so many before it, for so many slots.
func (l *lengths) wait(before, slots int) time.Duration {
	if slots == 0 {
		return never
	}
	if l.count == 0 {
		return 0
	}
	return time.Duration(l.took / l.count * float64(before+1) / float64(slots))
}

// never is longer than anything waits.
const never = 24 * time.Hour

// longestLeft returns how long an item of a model that has made some events may go
// on, were it as long as the longest known, and whether that is known: an item that
// is longer already may go on for any time.
func (l *lengths) longestLeft(model string, made int) (time.Duration, bool) {
	longest := l.longest[model]
	if longest == 0 || l.events == 0 || made > longest {
		return 0, false
	}
	return time.Duration(l.took / l.events * float64(longest-made)), true
}

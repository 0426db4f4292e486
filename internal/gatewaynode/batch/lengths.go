package batch

import "time"

// lengths estimates the lengths and durations of items from those of the items that ended.
type lengths struct {
	// hints, events, took and count are exponentially decaying sums over the ended items of
	// their length hints, events and durations in nanoseconds, and of 1.
	hints, events, took, count float64
	// longest is the largest number of events of an ended item, by model.
	longest map[string]int
}

// lengthMemory is the decay factor of the sums per ended item.
const lengthMemory = 0.99

// observe records an ended item with its model, its length hint, its number of events and the
// time since its first run began.
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

// expected returns the expected number of events of an item with the given length hint, 0 if
// unknown.
func (l *lengths) expected(hint int) float64 {
	if l.hints == 0 {
		return 0
	}
	return float64(hint) * l.events / l.hints
}

// wait returns the expected waiting time of an item that is queued behind before others for
// the given number of slots.
func (l *lengths) wait(before, slots int) time.Duration {
	if slots == 0 {
		return unboundedWait
	}
	if l.count == 0 {
		return 0
	}
	return time.Duration(l.took / l.count * float64(before+1) / float64(slots))
}

// unboundedWait is the waiting time if there are no slots. It exceeds any other.
const unboundedWait = 24 * time.Hour

// longestLeft returns the remaining duration of an item with made events if it becomes as long
// as the longest ended item of its model. It returns false if no item of the model has ended
// or if the item is longer than all of them.
func (l *lengths) longestLeft(model string, made int) (time.Duration, bool) {
	longest := l.longest[model]
	if longest == 0 || l.events == 0 || made > longest {
		return 0, false
	}
	return time.Duration(l.took / l.events * float64(longest-made)), true
}

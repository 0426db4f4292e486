package soak

import (
	"slices"
	"sync"
	"time"
)

// span is a time; one without an end goes on.
type span struct{ from, until time.Time }

// overlaps tells whether a part of the span lies between two times.
func (s span) overlaps(from, until time.Time) bool {
	return !s.from.After(until) && (s.until.IsZero() || !s.until.Before(from))
}

// Names of what is disturbed beside nodes and back ends.
const (
	// everyStoreCall stands for the store, for all nodes.
	everyStoreCall = "store"
	// anyPause stands for the nodes that stand still.
	anyPause = "pause"
)

// History tells what was disturbed when: nodes and back ends by their names, the store
// and pauses by theirs. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	spans map[string][]span
}

// NewHistory returns a history of nothing.
func NewHistory() *History { return &History{spans: make(map[string][]span)} }

// begin records the begin of a disturbance of all of the names, and returns what records
// its end.
func (h *History) begin(names ...string) func() {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.spans[name] = append(h.spans[name], span{from: now})
	}
	return func() { h.end(now, names) }
}

func (h *History) end(begun time.Time, names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		place := slices.IndexFunc(h.spans[name], func(s span) bool { return s.from.Equal(begun) && s.until.IsZero() })
		h.spans[name][place].until = time.Now()
	}
}

// disturbed tells whether one of the names was at a time or shortly before.
func (h *History) disturbed(at time.Time, before time.Duration, names ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(names, func(name string) bool {
		return slices.ContainsFunc(h.spans[name], func(s span) bool { return s.overlaps(at.Add(-before), at) })
	})
}

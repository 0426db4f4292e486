package batch

import (
	"maps"
	"sync"
)

// unsent counts, by back end, the calls that were given out and wait for a connection:
// they have not taken their turn at a cold back end yet. It is safe for concurrent use.
type unsent struct {
	mu     sync.Mutex
	counts map[string]int
}

func newUnsent() *unsent { return &unsent{counts: make(map[string]int)} }

// begin counts a call to a back end until the function returned is called.
func (u *unsent) begin(backend string) func() {
	u.mu.Lock()
	u.counts[backend]++
	u.mu.Unlock()
	return sync.OnceFunc(func() { u.end(backend) })
}

func (u *unsent) end(backend string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[backend]--
	if u.counts[backend] <= 0 {
		delete(u.counts, backend)
	}
}

// snapshot returns the counts as they are now.
func (u *unsent) snapshot() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.counts)
}

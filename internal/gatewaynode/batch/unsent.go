package batch

import (
	"maps"
	"sync"
)

// unsent counts the calls per backend that were scheduled and still wait for a
// connection. The limit on requests to a cold backend does not count them yet, so the
// scheduler subtracts them from it. unsent is safe for concurrent use.
type unsent struct {
	mu     sync.Mutex
	counts map[string]int
}

func newUnsent() *unsent { return &unsent{counts: make(map[string]int)} }

// begin counts a call to a backend until the returned function is called, which may be
// called repeatedly.
func (u *unsent) begin(backend string) func() {
	u.mu.Lock()
	u.counts[backend]++
	u.mu.Unlock()
	return sync.OnceFunc(func() { u.end(backend) })
}

// end removes a call from the count of a backend.
func (u *unsent) end(backend string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts[backend]--
	if u.counts[backend] <= 0 {
		delete(u.counts, backend)
	}
}

// snapshot returns a copy of the counts by backend ID.
func (u *unsent) snapshot() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.counts)
}

package claim

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestBackgroundIsWaitedForWhileWorkBegins: what began before a wait has ended after it, also
// where more begins meanwhile; run with the race detector.
func TestBackgroundIsWaitedForWhileWorkBegins(t *testing.T) {
	for range 200 {
		var b background
		var before atomic.Bool
		b.begin(func() { before.Store(true) })
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() { b.begin(func() {}) })
		}
		b.wait()
		if !before.Load() {
			t.Fatal("work that began before the wait had not ended")
		}
		callers.Wait()
		b.wait()
	}
}

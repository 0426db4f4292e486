package quarantine

import (
	"testing"
	"time"
)

// TestBackoffOf checks that a work of a job does not wait after a few failures, and never for so long
// that an item with room for it would be left lying.
func TestBackoffOf(t *testing.T) {
	last := time.Unix(100, 0)
	wants := []time.Duration{0, 0, 0, 0, 0, 0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second}
	for failures, want := range wants {
		if got := backoffOf(failures, last).Left(last); got != want {
			t.Errorf("%d failures: backs off for %v, want %v", failures, got, want)
		}
	}
	if got := backoffOf(1000, last).Left(last); got > maxBackoff {
		t.Errorf("1000 failures: backs off for %v, want %v at most", got, maxBackoff)
	}
	if got := backoffOf(7, last).Left(last.Add(time.Minute)); got != 0 {
		t.Errorf("a minute later: backs off for %v", got)
	}
}

package forward

import (
	"testing"
	"time"
)

// TestAcceptsWhileStopping checks which requests a node accepts during a planned stop.
func TestAcceptsWhileStopping(t *testing.T) {
	began := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	stop := stopTimes{told: at(3), end: at(7)}
	for _, test := range []struct {
		name      string
		now, ends float64
		expected  time.Duration
		want      bool
	}{
		{"ends before the node in any case", 1, 7, 0, true},
		{"the same once callers have heard", 5, 6.9, 0, true},
		{"expected to end in time", 1, 9, 6 * time.Second, true},
		{"expected to end too late", 1.1, 9, 6 * time.Second, false},
		{"not known how long it takes", 1, 9, 0, false},
		{"expected to end in time, once callers have heard", 3, 9, time.Millisecond, false},
		{"after the end", 7.1, 9, time.Millisecond, false},
	} {
		if got := stop.accepts(at(test.now), at(test.ends), test.expected); got != test.want {
			t.Errorf("%s: accepted is %t, want %t", test.name, got, test.want)
		}
	}
}

// TestDurationBound checks that the bound of a route follows its requests, and exceeds them by more
// where they differ.
func TestDurationBound(t *testing.T) {
	d := newDurations()
	if bound := d.bound("r"); bound != 0 {
		t.Errorf("bound %v of a route without requests", bound)
	}
	for range 50 {
		d.observe("even", time.Second)
	}
	if bound := d.bound("even"); bound < time.Second || bound > 1010*time.Millisecond {
		t.Errorf("bound %v of requests that take 1s each", bound)
	}
	for range 50 {
		d.observe("uneven", time.Second)
		d.observe("uneven", 2*time.Second)
	}
	if bound := d.bound("uneven"); bound < 2*time.Second || bound > 4*time.Second {
		t.Errorf("bound %v of requests that take 1s or 2s", bound)
	}
}

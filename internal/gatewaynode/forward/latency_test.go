package forward

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// TestSecondAttemptWaitsForTheRoutesOwnLatency: answers of a route that take no time say
// nothing of another one at the same back ends.
func TestSecondAttemptWaitsForTheRoutesOwnLatency(t *testing.T) {
	f := New(Config{})
	route := func(name string) *try {
		return &try{forwarder: f, route: &routetable.Route{Name: name, Target: 200 * time.Millisecond}}
	}
	if delay := route("page").hedgeDelay(); delay != 100*time.Millisecond {
		t.Errorf("nothing known: %s, want half of the target", delay)
	}
	for range 50 {
		f.latencies.observe("probe", time.Millisecond, true)
		f.latencies.observe("page", 25*time.Millisecond, true)
	}
	if delay := route("page").hedgeDelay(); delay < 70*time.Millisecond || delay > 80*time.Millisecond {
		t.Errorf("page: %s, want three times 25ms", delay)
	}
	if delay := route("probe").hedgeDelay(); delay != hedgeLeast {
		t.Errorf("probe: %s, want %s", delay, hedgeLeast)
	}
	for range 50 {
		f.latencies.observe("page", 400*time.Millisecond, true)
	}
	if delay := route("page").hedgeDelay(); delay != 100*time.Millisecond {
		t.Errorf("slow pages: %s, want half of the target", delay)
	}
}

// TestLongRoutesSayNothingAgainstABackEnd: answers that end with the time of their route
// would have a node go to another back end after each.
func TestLongRoutesSayNothingAgainstABackEnd(t *testing.T) {
	l := newLatencies()
	for range 20 {
		if got := l.relative("ends with its time", 400*time.Millisecond); got != usualLatency {
			t.Fatalf("a usual answer of a long route counts as %s", got)
		}
		l.observe("ends with its time", 400*time.Millisecond, true)
	}
	l.observe("page", 25*time.Millisecond, true)
	if got := l.relative("page", 160*time.Millisecond); got != 4*usualLatency {
		t.Errorf("an answer that took 135 ms longer than 25 ms counts as %s", got)
	}
	l.observe("probe", time.Millisecond, true)
	if got := l.relative("probe", 3*time.Millisecond); got > 5*usualLatency/4 {
		t.Errorf("an answer in 3 ms where 1 ms is usual counts as %s", got)
	}
}

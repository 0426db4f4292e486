package forward

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// TestHedgeDelayFollowsRouteLatency checks that a fast route does not shorten the hedge delay
// of another route at the same backends.
func TestHedgeDelayFollowsRouteLatency(t *testing.T) {
	f := New(Config{})
	route := func(name string) *try {
		return &try{forwarder: f, route: &routetable.Route{Name: name, Target: 200 * time.Millisecond}}
	}
	if delay := route("page").hedgeDelay(); delay != 100*time.Millisecond {
		t.Errorf("no latency known: delay %s, want half of the target", delay)
	}
	for range 50 {
		f.latencies.observe("probe", time.Millisecond, true)
		f.latencies.observe("page", 25*time.Millisecond, true)
	}
	if delay := route("page").hedgeDelay(); delay < 70*time.Millisecond || delay > 80*time.Millisecond {
		t.Errorf("page: delay %s, want three times 25ms", delay)
	}
	if delay := route("probe").hedgeDelay(); delay != minHedgeDelay {
		t.Errorf("probe: delay %s, want %s", delay, minHedgeDelay)
	}
	for range 50 {
		f.latencies.observe("page", 400*time.Millisecond, true)
	}
	if delay := route("page").hedgeDelay(); delay != 100*time.Millisecond {
		t.Errorf("slow pages: delay %s, want half of the target", delay)
	}
}

// TestNormalizedLatency checks that responses of a slow route do not count against their
// backend: the node would otherwise switch to another backend after each.
func TestNormalizedLatency(t *testing.T) {
	l := newLatencies()
	for range 20 {
		if got := l.normalized("slow", 400*time.Millisecond); got != defaultLatency {
			t.Fatalf("usual response of a slow route: normalized to %s, want %s", got, defaultLatency)
		}
		l.observe("slow", 400*time.Millisecond, true)
	}
	l.observe("page", 25*time.Millisecond, true)
	if got := l.normalized("page", 160*time.Millisecond); got != 4*defaultLatency {
		t.Errorf("response in 160 ms on a route that takes 25 ms: normalized to %s", got)
	}
	l.observe("probe", time.Millisecond, true)
	if got := l.normalized("probe", 3*time.Millisecond); got > 5*defaultLatency/4 {
		t.Errorf("response in 3 ms on a route that takes 1 ms: normalized to %s", got)
	}
}

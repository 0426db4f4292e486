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

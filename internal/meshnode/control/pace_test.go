package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// TestPace has a holder of a large shard go through rest, a version and a drain,
// and counts the reports it reads.
func TestPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 48 {
			names = append(names, fmt.Sprintf("e%02d", i))
		}
		state := poolOf(1, names...)
		backends := serving(names...)
		run(backends, &fakeLessor{epoch: 1}, state, 59*time.Second)
		// 48 back ends at 12 reports a second are read every 4 s, first at once.
		if want := 15 * len(names); backends.reads != want {
			t.Errorf("%d reports were read at rest, want %d", backends.reads, want)
		}

		// A version on its way is followed in every round.
		backends = serving(names...)
		controller := run(backends, &fakeLessor{epoch: 1}, poolOf(2, names...), 5*time.Second)
		if progress := controller.Progress()["rollouts/0"]; progress.Loaded != len(names) {
			t.Errorf("after 5 s: %+v", progress)
		}
	})
}

// TestPaceOfABackendThatLeaves has an engine report that it leaves while its
// shard is settled: it is ordered to drain within the longest interval.
func TestPaceOfABackendThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for i := range 100 {
			names = append(names, fmt.Sprintf("e%02d", i))
		}
		backends := serving(names...)
		time.AfterFunc(10*time.Second+time.Millisecond, func() {
			backends.mu.Lock()
			defer backends.mu.Unlock()
			report := backends.reports["e07:1"]
			report.Leaving = true
			backends.reports["e07:1"] = report
		})
		run(backends, &fakeLessor{epoch: 1}, poolOf(1, names...), 15*time.Second+2*time.Millisecond)
		if got := backends.reports["e07:1"].Role; got != api.RoleDraining {
			t.Errorf("role %s", got)
		}
	})
}

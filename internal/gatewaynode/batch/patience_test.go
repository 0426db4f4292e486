package batch

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

func TestDemandParallelism(t *testing.T) {
	for _, test := range []struct {
		name     string
		demand   demand
		left     int
		parallel int
		patient  bool
	}{
		{"lengths unknown", demand{left: 8}, 0, 8, false},
		{"equal lengths: all concurrently", demand{running: 8, left: 10, work: 100, longest: 10}, 10, 20, false},
		{"short item beside a long one", demand{running: 7, left: 11, work: 200, longest: 100}, 10, 4, true},
		{"too few items running", demand{running: 3, left: 11, work: 200, longest: 100}, 10, 4, false},
		{"the long item itself", demand{running: 7, left: 11, work: 200, longest: 100}, 100, 4, false},
		{"item with half of the longest length", demand{running: 7, left: 11, work: 200, longest: 100}, 50, 4, false},
		{"outlier limited to maxSpread times the mean", demand{running: 3, left: 12, work: 1200, longest: 100000}, 10, 4, false},
	} {
		if got := test.demand.parallel(); got != test.parallel {
			t.Errorf("%s: parallel = %d, want %d", test.name, got, test.parallel)
		}
		if got := test.demand.patient(test.left); got != test.patient {
			t.Errorf("%s: patient = %t, want %t", test.name, got, test.patient)
		}
	}
}

func TestWidth(t *testing.T) {
	equal, oneLong := make([]Item, 12), make([]Item, 12)
	for i := range equal {
		equal[i].LengthHint, oneLong[i].LengthHint = 100, 100
	}
	oneLong[3].LengthHint = 600
	for _, test := range []struct {
		name  string
		items []Item
		want  int
	}{
		{"no hints", make([]Item, 12), 12},
		{"equal hints", equal, 12},
		{"one long item", oneLong, 6},
	} {
		if got := width(test.items); got != test.want {
			t.Errorf("%s: width = %d, want %d", test.name, got, test.want)
		}
	}
	if got := (Head{Total: 7}).width(); got != 7 {
		t.Errorf("head without a width: width = %d, want 7", got)
	}
}

func TestPatientItemsOpenNoConnection(t *testing.T) {
	connected := func(b *fleet.Backend) { b.Reach.Idle = 1 }
	for _, test := range []struct {
		name string
		pool []fleet.Backend
		want need
		pick string
	}{
		{"patient item uses an idle connection", []fleet.Backend{backend("a", nil), backend("b", connected)}, need{idleOnly: true}, "b"},
		{"patient item without an idle connection", []fleet.Backend{backend("a", nil)}, need{idleOnly: true}, ""},
		{"other item opens a connection", []fleet.Backend{backend("a", nil)}, need{}, "a"},
		{"other item prefers an idle connection to lower load", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Reach.Idle, b.InFlight = 1, 3 })}, need{}, "b"},
		{"other item prefers a faster backend to an idle connection", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Reach.Idle, b.Pace = 1, 52*time.Millisecond })}, need{}, "a"},
		{"short item prefers an idle connection to a faster backend", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Reach.Idle, b.Pace = 1, 52*time.Millisecond })}, need{short: true}, "b"},
		{"other item prefers an idle connection to a shorter distance", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Reach.Idle, b.Reach.Distance = 1, 24 })}, need{}, "b"},
	} {
		test.want.Request = weightsOf("m", 3)
		got := ""
		if index := pickBackend(test.pool, test.want, 40*time.Millisecond, placeSnapshot); index >= 0 {
			got = test.pool[index].ID
		}
		if got != test.pick {
			t.Errorf("%s: picked %q, want %q", test.name, got, test.pick)
		}
	}
}

func TestAwaited(t *testing.T) {
	if awaited([]fleet.Backend{backend("a", nil)}) {
		t.Error("awaited without a call in flight")
	}
	if !awaited([]fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.InFlight = 1 })}) {
		t.Error("not awaited with a call in flight")
	}
}

func TestPatientScore(t *testing.T) {
	const pace, latency = 40 * time.Millisecond, 200 * time.Millisecond
	for _, test := range []struct {
		name    string
		longest int
		waited  time.Duration
		want    bool
	}{
		{"job runs on for long", 100, 0, true},
		{"job ends soon", 10, 0, false},
		{"maximum wait reached", 100, maxPatientWait, false},
	} {
		if got := patientScore(test.longest, pace, latency, test.waited); got != test.want {
			t.Errorf("%s: patientScore = %t, want %t", test.name, got, test.want)
		}
	}
}

func TestWorthMoving(t *testing.T) {
	const slow, fast = 120 * time.Millisecond, 45 * time.Millisecond
	for left, want := range map[int]bool{0: true, 3: false, 6: true, 100: true} {
		if got := worthMoving(slow, fast, left); got != want {
			t.Errorf("%d events left: worthMoving = %t, want %t", left, got, want)
		}
	}
}

func TestLifetimePaceReplacesOutdatedPace(t *testing.T) {
	slow := backend("slow", func(b *fleet.Backend) {
		b.Pace, b.PaceAt = 60*time.Millisecond, placeNow.Add(-time.Minute)
		b.LifetimePace = fleet.LifetimePace{Pace: 60 * time.Millisecond, Count: 50}
	})
	recovered := backend("recovered", func(b *fleet.Backend) {
		b.Pace, b.PaceAt = 60*time.Millisecond, placeNow.Add(-time.Minute)
		b.LifetimePace = fleet.LifetimePace{Pace: 40 * time.Millisecond, Count: 50}
	})
	pool := []fleet.Backend{slow, recovered}
	if got := pickBackend(pool, need{Request: weightsOf("m", 3)}, typicalPace(pool, placeNow), placeSnapshot); got != 1 {
		t.Errorf("picked backend %d, want 1", got)
	}
}

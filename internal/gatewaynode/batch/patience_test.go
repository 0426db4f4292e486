package batch

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

func TestDemandOfConnections(t *testing.T) {
	for _, test := range []struct {
		name     string
		demand   demand
		left     int
		parallel int
		patient  bool
	}{
		{"nothing is known", demand{left: 8}, 0, 8, false},
		{"all alike: all at once", demand{running: 8, left: 10, work: 100, longest: 10}, 10, 20, false},
		{"one long item leaves time for the others", demand{running: 7, left: 11, work: 200, longest: 100}, 10, 4, true},
		{"too few run to be done in its time", demand{running: 3, left: 11, work: 200, longest: 100}, 10, 4, false},
		{"the long one itself", demand{running: 7, left: 11, work: 200, longest: 100}, 100, 4, false},
		{"one that may turn out as long", demand{running: 7, left: 11, work: 200, longest: 100}, 50, 4, false},
		{"a hint far beyond the others counts for six of them", demand{running: 3, left: 12, work: 1200, longest: 100000}, 10, 4, false},
	} {
		if got := test.demand.parallel(); got != test.parallel {
			t.Errorf("%s: %d at once, want %d", test.name, got, test.parallel)
		}
		if got := test.demand.patient(test.left); got != test.patient {
			t.Errorf("%s: patient %t", test.name, got)
		}
	}
}

func TestWidthOfAJob(t *testing.T) {
	alike, oneLong := make([]Item, 12), make([]Item, 12)
	for i := range alike {
		alike[i].LengthHint, oneLong[i].LengthHint = 100, 100
	}
	oneLong[3].LengthHint = 600
	for _, test := range []struct {
		name  string
		items []Item
		want  int
	}{
		{"without hints", make([]Item, 12), 12},
		{"all alike", alike, 12},
		{"one long item", oneLong, 6},
	} {
		if got := width(test.items); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
	if got := (Head{Total: 7}).width(); got != 7 {
		t.Errorf("a head that tells no width: %d", got)
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
		{"where a connection stands", []fleet.Backend{backend("a", nil), backend("b", connected)}, need{patient: true}, "b"},
		{"nowhere", []fleet.Backend{backend("a", nil)}, need{patient: true}, ""},
		{"others open one", []fleet.Backend{backend("a", nil)}, need{}, "a"},
		{"others gather where connections stand", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Reach.Idle, b.InFlight = 1, 3 })}, need{}, "b"},
		{"but not at a slow one", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Reach.Idle, b.Pace = 1, 52*time.Millisecond })}, need{}, "a"},
		{"short ones at a slow one too", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Reach.Idle, b.Pace = 1, 52*time.Millisecond })}, need{short: true}, "b"},
		{"far away if the pace is equal and a connection stands", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Reach.Idle, b.Reach.Distance = 1, 24 })}, need{}, "b"},
	} {
		test.want.Request = weightsOf("m", 3)
		got := ""
		if index := pickBackend(test.pool, test.want, 40*time.Millisecond, placeWorld); index >= 0 {
			got = test.pool[index].ID
		}
		if got != test.pick {
			t.Errorf("%s: %q, want %q", test.name, got, test.pick)
		}
	}
}

func TestConnectionsThatMayComeFree(t *testing.T) {
	if awaited([]fleet.Backend{backend("a", nil)}) {
		t.Error("waits for a connection where none is used")
	}
	if !awaited([]fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.InFlight = 1 })}) {
		t.Error("does not wait though one is used")
	}
}

func TestScoresWaitOnlyWhileTheirStepGoesOn(t *testing.T) {
	const pace, latency = 40 * time.Millisecond, 200 * time.Millisecond
	for _, test := range []struct {
		name    string
		longest int
		waited  time.Duration
		want    bool
	}{
		{"its step goes on for long", 100, 0, true},
		{"it is among the last", 10, 0, false},
		{"it has waited for long", 100, patientMost, false},
	} {
		if got := patientScore(test.longest, pace, latency, test.waited); got != test.want {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}

func TestMovesSaveTime(t *testing.T) {
	const slow, fast = 120 * time.Millisecond, 45 * time.Millisecond
	for left, want := range map[int]bool{0: true, 3: false, 6: true, 100: true} {
		if got := worthMoving(slow, fast, left); got != want {
			t.Errorf("%d events left: %t", left, got)
		}
	}
}

func TestLastingPaceCountsOnceTheLatestIsOld(t *testing.T) {
	slow := backend("slow", func(b *fleet.Backend) {
		b.Pace, b.PaceAt = 60*time.Millisecond, placeNow.Add(-time.Minute)
		b.Lasting = fleet.LastingPace{Pace: 60 * time.Millisecond, Count: 50}
	})
	recovered := backend("recovered", func(b *fleet.Backend) {
		b.Pace, b.PaceAt = 60*time.Millisecond, placeNow.Add(-time.Minute)
		b.Lasting = fleet.LastingPace{Pace: 40 * time.Millisecond, Count: 50}
	})
	pool := []fleet.Backend{slow, recovered}
	if got := pickBackend(pool, need{Request: weightsOf("m", 3)}, typicalPace(pool, placeNow), placeWorld); got != 1 {
		t.Errorf("a long item goes to %d", got)
	}
}

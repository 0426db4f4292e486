package batch

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

var placeNow = time.Unix(1000, 0)

var placeSnapshot = &eligibility.Snapshot{Now: placeNow}

// weightsOf returns a request for a model with weights of at least the given version.
func weightsOf(model string, version int64) eligibility.Request {
	return eligibility.Request{Model: model, MinVersion: version, Weights: true}
}

// backend returns an idle backend with four slots, version 3 of model m and a pace of 40 ms, after
// applying change to it.
func backend(id string, change func(*fleet.Backend)) fleet.Backend {
	b := fleet.Backend{Instance: fleet.Instance{ID: id, Slots: 4, Models: map[string]int64{"m": 3}}}
	b.Pace, b.PaceAt = 40*time.Millisecond, placeNow
	if change != nil {
		change(&b)
	}
	return b
}

func TestPickBackend(t *testing.T) {
	want := need{Request: weightsOf("m", 3)}
	cases := []struct {
		name string
		pool []fleet.Backend
		want need
		pick string
	}{
		{"empty pool", nil, want, ""},
		{"least loaded", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.InFlight = 2 }), backend("b", nil)}, want, "b"},
		{"load from other nodes", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.OthersRunning = 4 }), backend("b", func(b *fleet.Backend) { b.InFlight = 3 })}, want, "b"},
		{"full", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.InFlight = 4 })}, want, ""},
		{"fastest", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.Pace = 60 * time.Millisecond }), backend("b", func(b *fleet.Backend) { b.InFlight = 3 })}, want, "b"},
		{"unknown pace counts as typical", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.Pace = 0 }), backend("b", func(b *fleet.Backend) { b.InFlight = 1 })}, want, "a"},
		{"draining", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.Draining = true })}, want, ""},
		{"suspended", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.SuspendedUntil = placeNow.Add(time.Second) })}, want, ""},
		{"version below the minimum", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.Models = map[string]int64{"m": 2} })}, want, ""},
		{"newer version", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.Models = map[string]int64{"m": 9} })}, want, "a"},
		{"not the version of the existing text", []fleet.Backend{backend("a", nil)}, need{Request: eligibility.Request{Model: "m", Version: 4, Weights: true}}, ""},
		{"loading weights of the model", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.LoadingModel = "m" })}, want, ""},
		{"loading weights of another model", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.LoadingModel = "other" })}, want, "a"},
		{"own zone preferred", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.Reach.Distance = 2 }), backend("b", nil)}, want, "b"},
		{"avoided if there is another", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.InFlight = 3 })}, need{Request: weightsOf("m", 0), avoid: "a"}, "b"},
		{"short item prefers a moderately slow backend", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Pace = 52 * time.Millisecond })}, need{Request: weightsOf("m", 0), short: true}, "b"},
		{"short item does not prefer a slow backend", []fleet.Backend{backend("a", nil), backend("b", func(b *fleet.Backend) { b.Pace = 120 * time.Millisecond })}, need{Request: weightsOf("m", 0), short: true}, "a"},
		{"short item probes a failed backend", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.Failures = 1 }), backend("b", func(b *fleet.Backend) { b.InFlight = 2 })}, need{Request: weightsOf("m", 0), short: true}, "a"},
		{"other items avoid a failed backend", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.Failures = 1 }), backend("b", func(b *fleet.Backend) { b.InFlight = 2 })}, want, "b"},
		{"backend assigned to the model preferred", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.AssignedModel = "other" }), backend("b", func(b *fleet.Backend) { b.AssignedModel, b.InFlight = "m", 3 })}, want, "b"},
		{"only backend is assigned to another model", []fleet.Backend{backend("a", func(b *fleet.Backend) { b.AssignedModel = "other" })}, want, "a"},
		{"only backend is to be avoided", []fleet.Backend{backend("a", nil)}, need{Request: weightsOf("m", 0), avoid: "a"}, "a"},
	}
	for _, test := range cases {
		got := ""
		if index := pickBackend(test.pool, test.want, typicalPace(test.pool, placeNow), placeSnapshot); index >= 0 {
			got = test.pool[index].ID
		}
		if got != test.pick {
			t.Errorf("%s: picked %q, want %q", test.name, got, test.pick)
		}
	}
}

// TestLongRunsMoveAtLowerRatio checks that a long-running item leaves a backend that is 30% slower
// than typical over its lifetime, and that other items stay.
func TestLongRunsMoveAtLowerRatio(t *testing.T) {
	const third = 52 * time.Millisecond
	forGood := fleet.LifetimePace{Pace: third, Count: 100}
	pool := []fleet.Backend{backend("slow", func(b *fleet.Backend) { b.Pace, b.LifetimePace = third, forGood }), backend("fast", nil)}
	want := need{Request: weightsOf("m", 3)}
	if got := moveTarget(pool, "slow", want, typicalPace(pool, placeNow), placeSnapshot); got >= 0 {
		t.Error("short run was moved from a backend that is 30% slower")
	}
	want.ran = longRun + time.Second
	if got := moveTarget(pool, "slow", want, typicalPace(pool, placeNow), placeSnapshot); got != 1 {
		t.Error("long run was not moved from a backend that is 30% slower")
	}
	pool[0].LifetimePace.Pace = 40 * time.Millisecond
	if got := moveTarget(pool, "slow", want, typicalPace(pool, placeNow), placeSnapshot); got >= 0 {
		t.Error("long run was moved from a backend that is 30% slower only at present")
	}
}

// TestNoMoveForBriefSlowdown checks that runs stay at a backend that is slow for half a second,
// as happens on shared machines, and leave one that is slow for 1.5 seconds.
func TestNoMoveForBriefSlowdown(t *testing.T) {
	const usual, slowed = 40 * time.Millisecond, 100 * time.Millisecond
	backends := fleet.New(nil)
	backends.Replace([]fleet.Instance{
		{ID: "shared", Service: "s", Slots: 4, Models: map[string]int64{"m": 3}}, {ID: "other", Service: "s", Slots: 4, Models: map[string]int64{"m": 3}},
	})
	now := placeNow
	play := func(pace, during time.Duration) {
		for end := now.Add(during); now.Before(end); now = now.Add(usual / 2) {
			backends.ObservePace("shared", pace, now)
			backends.ObservePace("other", usual, now)
		}
	}
	moved := func() bool {
		pool := backends.Service("s", now)
		snapshot := &eligibility.Snapshot{Now: now}
		want := need{Request: weightsOf("m", 3), ran: longRun + time.Second}
		return moveTarget(pool, "shared", want, typicalPace(pool, now), snapshot) >= 0
	}
	play(usual, 5*time.Second)
	play(slowed, 500*time.Millisecond)
	if moved() {
		t.Error("run was moved from a backend that has been slow for 0.5 s")
	}
	play(usual, 3*time.Second)
	play(slowed, 1500*time.Millisecond)
	if !moved() {
		t.Error("run was not moved from a backend that has been slow for 1.5 s")
	}
}

func TestMoveTarget(t *testing.T) {
	slow := backend("slow", func(b *fleet.Backend) { b.Pace = 120 * time.Millisecond })
	cases := []struct {
		name string
		pool []fleet.Backend
		move string
	}{
		{"much faster with room", []fleet.Backend{slow, backend("fast", nil)}, "fast"},
		{"slightly faster", []fleet.Backend{slow, backend("b", func(b *fleet.Backend) { b.Pace = 100 * time.Millisecond })}, ""},
		{"faster but full", []fleet.Backend{slow, backend("b", func(b *fleet.Backend) { b.InFlight = 4 })}, ""},
		{"faster but outdated weights", []fleet.Backend{slow, backend("b", func(b *fleet.Backend) { b.Models = map[string]int64{"m": 1} })}, ""},
		{"unknown pace", []fleet.Backend{slow, backend("b", func(b *fleet.Backend) { b.Pace = 0 })}, ""},
		{"outdated pace of the current backend", []fleet.Backend{backend("slow", func(b *fleet.Backend) { b.Pace, b.PaceAt = time.Second, placeNow.Add(-time.Minute) }), backend("b", nil)}, ""},
		{"current backend no longer registered", []fleet.Backend{backend("b", nil)}, ""},
	}
	for _, test := range cases {
		got := ""
		if index := moveTarget(test.pool, "slow", need{Request: weightsOf("m", 3)}, typicalPace(test.pool, placeNow), placeSnapshot); index >= 0 {
			got = test.pool[index].ID
		}
		if got != test.move {
			t.Errorf("%s: target %q, want %q", test.name, got, test.move)
		}
	}
}

// TestNoMoveAfterOneWrongPace guards against moving all long runs to one backend whose pace was
// measured as too fast.
func TestNoMoveAfterOneWrongPace(t *testing.T) {
	pool := []fleet.Backend{backend("wrong", func(b *fleet.Backend) { b.Pace = 25 * time.Millisecond })}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		pool = append(pool, backend(id, nil))
	}
	want := need{Request: weightsOf("m", 3), ran: longRun + time.Second}
	if got := moveTarget(pool, "a", want, typicalPace(pool, placeNow), placeSnapshot); got >= 0 {
		t.Errorf("run at the typical pace was moved to %s", pool[got].ID)
	}
	pool[1].Pace = 120 * time.Millisecond
	if got := moveTarget(pool, "a", want, typicalPace(pool, placeNow), placeSnapshot); got < 0 {
		t.Error("run at a slow backend was not moved")
	}
}

// TestPaceOfEventsReadTogether checks that the measured pace stays close to that of the backend if
// the node reads some events late and several together.
func TestPaceOfEventsReadTogether(t *testing.T) {
	const made = 40 * time.Millisecond
	var window paceWindow
	for event := range 60 {
		// Events 20 to 24 are all read at the time of event 24.
		read := event
		if event >= 20 && event < 24 {
			read = 24
		}
		pace, known := window.add(placeNow.Add(time.Duration(read) * made))
		if known != (event >= minPaceGaps) {
			t.Fatalf("event %d: known = %t", event, known)
		}
		if known && (pace < made/2 || pace > 2*made) {
			t.Errorf("event %d: pace = %s, want about %s", event, pace, made)
		}
	}
}

// TestPriorityOfRuns checks that items that are long, or expected to be, precede other items of
// equal rank, and that no item precedes a live request of equal or higher rank.
func TestPriorityOfRuns(t *testing.T) {
	events := func(count int) text { return text{events: make([][]byte, count)} }
	for _, test := range []struct {
		name string
		item itemState
		want int
	}{
		{"long", itemState{long: true}, offsetLong},
		{"short", itemState{short: true}, offsetShort},
		{"neither", itemState{}, offsetMiddle},
		{"marked short but long", itemState{short: true, text: events(minLongEvents)}, offsetLong},
		{"marked short and just below the limit", itemState{short: true, text: events(minLongEvents - 1)}, offsetShort},
	} {
		got := test.item.priorityOffset()
		if got != test.want {
			t.Errorf("%s: priorityOffset = %d, want %d", test.name, got, test.want)
		}
		for rank := range 12 {
			own := upstream.PriorityOf(rank, got)
			if first, next := upstream.PriorityOf(rank, 0), upstream.PriorityOf(rank+1, 0); own < first || own > next || own < 1 || own > 9 {
				t.Errorf("%s item of rank %d: priority %d, want 1 to 9 and %d to %d", test.name, rank, own, first, next)
			}
		}
	}
}

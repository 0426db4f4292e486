package batch

import (
	"errors"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

func scoringBackend(id string, distance place.Distance, running int, latency time.Duration) fleet.Backend {
	return fleet.Backend{
		Instance:  fleet.Instance{ID: id, Slots: 6},
		Condition: fleet.Condition{InFlight: running, ScoreLatency: latency},
		Reach:     fleet.Reach{Distance: distance},
	}
}

func TestPickScorer(t *testing.T) {
	now := time.Now()
	const ms = time.Millisecond
	near := scoringBackend("near", 0, 0, 30*ms)
	far := scoringBackend("far", 2, 0, 30*ms)
	change := func(b fleet.Backend, f func(*fleet.Backend)) fleet.Backend { f(&b); return b }
	cases := []struct {
		name string
		pool []fleet.Backend
		want scorerWant
		id   string
	}{
		{"empty pool", nil, scorerWant{}, ""},
		{"own zone preferred", []fleet.Backend{far, near}, scorerWant{}, "near"},
		{"other zone if the own one is loaded", []fleet.Backend{scoringBackend("near", 0, 4, 30*ms), far}, scorerWant{}, "far"},
		{"slot reserved for live requests", []fleet.Backend{scoringBackend("near", 0, 5, 30*ms)}, scorerWant{}, ""},
		{"load from other nodes", []fleet.Backend{change(near, func(b *fleet.Backend) { b.OthersRunning = 5 })}, scorerWant{}, ""},
		{"requests waiting", []fleet.Backend{change(near, func(b *fleet.Backend) { b.Waiting = 1 })}, scorerWant{}, ""},
		{"draining", []fleet.Backend{change(near, func(b *fleet.Backend) { b.Draining = true })}, scorerWant{}, ""},
		{"suspended", []fleet.Backend{change(near, func(b *fleet.Backend) { b.SuspendedUntil = now.Add(ms) })}, scorerWant{}, ""},
		{"second call to another backend", []fleet.Backend{near, far}, scorerWant{avoid: "near"}, "far"},
		{"single slot is not reserved", []fleet.Backend{change(near, func(b *fleet.Backend) { b.Slots = 1 })}, scorerWant{}, "near"},
		{"slow", []fleet.Backend{scoringBackend("near", 0, 0, 100*ms), far}, scorerWant{}, "far"},
	}
	for _, test := range cases {
		index := pickScorer(test.pool, test.want, &eligibility.Snapshot{Now: now})
		got := ""
		if index >= 0 {
			got = test.pool[index].ID
		}
		if got != test.id {
			t.Errorf("%s: picked %q, want %q", test.name, got, test.id)
		}
	}
}

func TestScoreLimit(t *testing.T) {
	const ms = time.Millisecond
	route := &routetable.Route{Target: 150 * ms, Timeout: 1500 * ms}
	for _, test := range []struct {
		name    string
		latency time.Duration
		route   *routetable.Route
		cuts    int
		want    clock.Millis
	}{
		{"low latency", 10 * ms, route, 0, 300},
		{"typical latency", 40 * ms, route, 0, 480},
		{"cut off once", 40 * ms, route, 1, 960},
		{"limited by the route's timeout", 40 * ms, route, 9, 1500},
		{"route without a timeout", 40 * ms, &routetable.Route{}, 9, scoreTimeout},
	} {
		b := scoringBackend("b", 0, 0, test.latency)
		if got := scoreLimit(&b, test.route, test.cuts); got != test.want {
			t.Errorf("%s: scoreLimit = %d ms, want %d ms", test.name, got, test.want)
		}
	}
}

func TestHedgeBudget(t *testing.T) {
	var budget hedgeBudget
	taken := 0
	for range 1000 {
		budget.add()
		if budget.left() {
			budget.take()
			taken++
		}
	}
	if most := int(1000*hedgeShare) + maxHedgeTokens; taken > most || taken == 0 {
		t.Errorf("%d second calls for 1000 first ones, want 1 to %d", taken, most)
	}
}

func TestFateOfAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		stamp  string
		want   scoreFate
	}{
		{"score", 200, "s", scored{"s"}},
		{"success without a score", 200, "", scoreUnusable{200}},
		{"internal server error", 500, "s", scoreFailed{}},
		{"gateway timeout", 504, "s", scoreUnusable{504}},
		{"redirect", 302, "s", scoreUnusable{302}},
	} {
		if got := fateOfAnswer(test.status, upstream.Meta{Stamp: test.stamp}); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
	failure := errors.New("reset")
	for fate, wantCut := range map[upstream.Fate]bool{upstream.NotSent: false, upstream.NotRun: false, upstream.Unknown: true} {
		_, cut := fateOfCall(&upstream.Error{Fate: fate, Cause: failure}).(scoreCut)
		if cut != wantCut {
			t.Errorf("fate %s: cut = %t, want %t", fate, cut, wantCut)
		}
	}
}

func TestCompleteTextIsStoredAndRestored(t *testing.T) {
	rows := []struct {
		from  int
		whole bool
		texts []string
	}{{0, false, []string{"a", "b"}}, {2, true, []string{"c"}}}
	item := itemState{phase: phaseScoring, firstStart: time.Now(), text: text{events: [][]byte{[]byte("a")}, versions: []int64{1}, complete: true}}
	if !item.hasUnsaved(time.Hour) {
		t.Error("complete text that waits for its score is not stored at once")
	}
	item.savedEvents, item.savedComplete = 1, true
	if item.hasUnsaved(0) {
		t.Error("complete text is stored twice")
	}
	var stored []partialRow
	for _, row := range rows {
		made := partialRow{Whole: row.whole}
		for _, event := range row.texts {
			made.Events, made.Versions = append(made.Events, []byte(event)), append(made.Versions, 1)
		}
		stored = append(stored, made)
	}
	for count, wantWhole := range map[int]bool{1: false, 2: true} {
		found := decodePartials(partialRows("job", stored[:count]))[0]
		if found.complete != wantWhole {
			t.Errorf("with %d rows: complete = %t, want %t", count, found.complete, wantWhole)
		}
	}
}

// partialRows returns consecutive rows of text of item 0.
func partialRows(job string, stretches []partialRow) []rowstore.Row {
	var rows []rowstore.Row
	from := 0
	for _, stretch := range stretches {
		rows = append(rows, rowstore.Row{RowID: partialID(job, 0, "1.0", from), Value: encode(stretch)})
		from += len(stretch.Events)
	}
	return rows
}

package batch

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/tenant"
)

func TestWorthStarting(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name       string
		events     float64
		slow, fast time.Duration
		wait       time.Duration
		want       bool
	}{
		{"long item, short queue", 100, 120 * ms, 40 * ms, 50 * ms, false},
		{"long item, long queue", 100, 120 * ms, 40 * ms, 9000 * ms, true},
		{"short item, long queue", 5, 120 * ms, 40 * ms, 1000 * ms, true},
		{"unknown length", 0, 120 * ms, 40 * ms, 0, true},
	} {
		if got := worthStarting(test.events, test.slow, test.fast, test.wait); got != test.want {
			t.Errorf("%s: worthStarting = %t, want %t", test.name, got, test.want)
		}
	}
}

func TestFastSlots(t *testing.T) {
	pool := []fleet.Backend{
		backend("fast", nil), backend("full", func(b *fleet.Backend) { b.InFlight = 4 }),
		backend("slow", func(b *fleet.Backend) { b.Pace = 120 * time.Millisecond }),
		backend("old", func(b *fleet.Backend) { b.Models = map[string]int64{"m": 1} }),
	}
	want := need{Request: weightsOf("m", 3)}
	if got := fastSlots(pool, want, typicalPace(pool, placeNow), placeSnapshot); got != 8 {
		t.Errorf("got %d slots, want 8: those of full backends count, those of slow or outdated ones do not", got)
	}
}

func TestLengthEstimates(t *testing.T) {
	var l lengths
	if l.expected(100) != 0 || l.wait(3, 4) != 0 || l.wait(3, 0) != unboundedWait {
		t.Error("unexpected estimate before any item ended")
	}
	for range 50 {
		l.observe("m", 100, 20, time.Second)
	}
	if got := l.expected(200); got < 39.9 || got > 40.1 {
		t.Errorf("expected = %.1f events, want 40", got)
	}
	if got := l.wait(7, 4); got < 1990*time.Millisecond || got > 2010*time.Millisecond {
		t.Errorf("wait = %s, want 2s: eight items of one second each on four slots", got)
	}
}

func TestSortCandidates(t *testing.T) {
	older := &ownedJob{id: "older", head: Head{SubmittedMillis: 1}}
	newer := &ownedJob{id: "newer", head: Head{SubmittedMillis: 2}}
	list := []candidate{
		{job: newer, index: 0, weight: 50}, {job: newer, index: 1, weight: 90}, {job: older, index: 2, weight: 50},
		{job: newer, index: 3, weight: 10 + urgentWeight, moving: true},
	}
	sortCandidates(list)
	for i, want := range []int{3, 1, 2, 0} {
		if list[i].index != want {
			t.Errorf("position %d: got item %d, want %d", i, list[i].index, want)
		}
	}
}

// TestPriorityPrecedesLength checks that candidates are sorted by the priority of the tenant, or
// of the route if the tenant has none, before their expected length.
func TestPriorityPrecedesLength(t *testing.T) {
	r := newRunner(nil)
	table := routetable.New(1, nil, nil, routetable.Limits{})
	table.Tenants = tenant.NewSet([]tenant.Entry{
		{Tenant: tenant.Tenant{Name: "first", Priority: 0, Ranked: true}}, {Tenant: tenant.Tenant{Name: "unranked"}},
		{Tenant: tenant.Tenant{Name: "last", Priority: 9, Ranked: true}},
	})
	p := &schedulingRound{services: make(map[string]*serviceBackends), config: table}
	var list []candidate
	for _, name := range []string{"last", "unranked", "first", "gone"} {
		job := &ownedJob{tenant: name, spec: &Spec{Items: []Item{{LengthHint: 100}}}, items: make([]itemState, 1), order: []int{0}}
		if name == "first" {
			job.spec.Items[0].LengthHint = 1
		}
		list = r.appendCandidates(list, job, &routetable.Route{Priority: 3}, p)
	}
	sortCandidates(list)
	for i, want := range []string{"first", "unranked", "gone", "last"} {
		if list[i].job.tenant != want {
			t.Errorf("position %d: got tenant %s, want %s", i, list[i].job.tenant, want)
		}
	}
}

func TestMarkShort(t *testing.T) {
	marked := func(hints ...int) string {
		spec := &Spec{}
		for _, hint := range hints {
			spec.Items = append(spec.Items, Item{LengthHint: hint})
		}
		job := &ownedJob{spec: spec, items: make([]itemState, len(hints)), order: startOrder(spec.Items)}
		job.markShort()
		text := ""
		for i := range job.items {
			if job.items[i].short {
				text += string(rune('a' + i))
			}
		}
		return text
	}
	for _, test := range []struct {
		name  string
		hints []int
		want  string
	}{
		{"no items", nil, ""},
		{"no hints", []int{0, 0, 0}, ""},
		{"similar hints", []int{10, 9, 8, 10, 9, 8}, ""},
		{"some long items", []int{10, 100, 12, 90, 11, 10}, "acef"},
	} {
		if got := marked(test.hints...); got != test.want {
			t.Errorf("%s: items %q are short, want %q", test.name, got, test.want)
		}
	}
}

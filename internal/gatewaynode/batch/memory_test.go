package batch

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// TestPlacementByMemory checks the choice between two backends that differ mainly in memory use.
func TestPlacementByMemory(t *testing.T) {
	const most = 30000
	holding := func(held, expected int) func(*fleet.Backend) {
		return func(b *fleet.Backend) { b.Memory = fleet.Memory{Capacity: most, Held: held, Expected: expected} }
	}
	for _, test := range []struct {
		name   string
		first  func(*fleet.Backend)
		second func(*fleet.Backend)
		want   need
		pick   string
	}{
		{"long item avoids other long items", holding(2000, 22000), func(b *fleet.Backend) {
			holding(8000, 9000)(b)
			b.InFlight = 2
		}, need{held: 1024, expected: 11264}, "b"},
		{"short item joins long items", holding(2000, 22000), func(b *fleet.Backend) {
			holding(8000, 9000)(b)
			b.InFlight = 3
		}, need{held: 1024, expected: 1024}, "a"},
		{"no memory left at a backend", holding(27000, 27000), func(b *fleet.Backend) {
			holding(1000, 29000)(b)
			b.Pace = 60 * time.Millisecond
		}, need{held: 1024, expected: 2048}, "b"},
		{"no memory left at any backend", holding(27000, 27000), holding(26500, 27000), need{held: 1024, expected: 2048}, ""},
		{"item larger than any memory goes to an unused backend", holding(1000, 2000), holding(0, 0), need{held: 40960, expected: 40960}, "b"},
		{"memory size unknown", nil, func(b *fleet.Backend) { b.InFlight = 1 }, need{held: 1 << 30, expected: 1 << 30}, "a"},
	} {
		pool := []fleet.Backend{backend("a", test.first), backend("b", test.second)}
		want := test.want
		want.Request = weightsOf("m", 3)
		got := ""
		if index := pickBackend(pool, want, 40*time.Millisecond, placeSnapshot); index >= 0 {
			got = pool[index].ID
		}
		if got != test.pick {
			t.Errorf("%s: picked %q, want %q", test.name, got, test.pick)
		}
	}
}

// TestNoMoveToUnsuitableBackend checks that items are not moved to a faster backend that is short
// of memory or whose last request failed.
func TestNoMoveToUnsuitableBackend(t *testing.T) {
	slow := func(b *fleet.Backend) { b.Pace = 120 * time.Millisecond }
	crowded := func(b *fleet.Backend) { b.Memory = fleet.Memory{Capacity: 30000, Held: 9000, Expected: 28000} }
	want := need{Request: weightsOf("m", 3), held: 4096, expected: 11264}
	pool := []fleet.Backend{backend("slow", slow), backend("crowded", crowded)}
	if target := moveTarget(pool, "slow", want, 40*time.Millisecond, placeSnapshot); target >= 0 {
		t.Errorf("moved to %s", pool[target].ID)
	}
	pool = append(pool, backend("failed", func(b *fleet.Backend) { b.Failures = 1 }))
	if target := moveTarget(pool, "slow", want, 40*time.Millisecond, placeSnapshot); target >= 0 {
		t.Errorf("moved to %s", pool[target].ID)
	}
	pool[2] = backend("free", nil)
	if target := moveTarget(pool, "slow", want, 40*time.Millisecond, placeSnapshot); target != 2 {
		t.Errorf("target %d, want 2", target)
	}
}

// TestUsageOfRuns checks that current usage is counted exactly, and that expected usage follows
// the length hints until items exceed them.
func TestUsageOfRuns(t *testing.T) {
	r := newRunner(nil)
	for range 100 {
		r.lengths.observe("m", 1000, 10, time.Second)
	}
	r.lengths.observe("m", 1000, 140, time.Second)
	items := []Item{{PromptTokens: 300, LengthHint: 2000}, {PromptTokens: 300, LengthHint: 1000}, {PromptTokens: 300, LengthHint: 1000}, {PromptTokens: 300}}
	job := &ownedJob{ready: true, spec: &Spec{Model: "m", Items: items}, items: make([]itemState, len(items))}
	for i, made := range []int{5, 40, 120, 9} {
		job.items[i] = itemState{phase: phaseRunning, backend: "b", text: text{events: make([][]byte, made)}}
	}
	job.items[3].phase = phaseFinished
	r.jobs["j"] = job
	used := r.usages()["b"]
	if used.prompts != 900 || used.events != 165 {
		t.Errorf("usage = %+v, want 900 prompt tokens and 165 events", used)
	}
	for i, want := range []int{22, 60, 140} {
		if got := r.expectedEvents(job, i); got < want-2 || got > want+2 {
			t.Errorf("item %d: expectedEvents = %d, want about %d", i, got, want)
		}
	}
	pool := []fleet.Backend{{Instance: fleet.Instance{ID: "b"}}, {Instance: fleet.Instance{ID: "c"}}}
	fillMemory(pool, routetable.Service{CacheTokens: 30000, EventTokens: 75}, r.usages())
	if pool[0].Memory.Held != 900+165*75 || pool[1].Memory.Held != 0 || pool[1].Memory.Capacity != 30000 {
		t.Errorf("unexpected memory: %+v", pool)
	}
}

// TestMoveReservesSlot checks that a slot is reserved at the backend that an item is being moved
// to and that a reserved slot is not available to other items.
func TestMoveReservesSlot(t *testing.T) {
	r := newRunner(nil)
	job := &ownedJob{ready: true, spec: &Spec{Model: "m", Items: make([]Item, 2)}, items: make([]itemState, 2)}
	job.items[0] = itemState{phase: phaseRunning, backend: "slow", target: "fast"}
	r.jobs["j"] = job
	if used := r.usages()["fast"]; used.reserved != 1 {
		t.Errorf("reserved = %d, want 1", used.reserved)
	}
	fast := backend("fast", func(b *fleet.Backend) { b.InFlight = 4 })
	if suits(&fast, need{Request: weightsOf("m", 0)}, placeSnapshot) {
		t.Error("another item may start in a reserved slot")
	}
}

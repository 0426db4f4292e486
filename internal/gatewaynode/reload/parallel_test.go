package reload

import (
	"testing"
	"time"
)

// run lets a service load with a cost of loads at once, and returns the level
// that it settles at.
func settle(backends int, cost func(atOnce int) time.Duration, backlog bool) int {
	p := newParallelism(backends)
	now := time.Unix(0, 0)
	for range 400 {
		p.observe(p.level, cost(p.level), backlog, now)
		now = now.Add(100 * time.Millisecond)
	}
	return p.level
}

func TestParallelLoads(t *testing.T) {
	shared := func(free int) func(int) time.Duration {
		return func(atOnce int) time.Duration {
			return time.Second * time.Duration(max(atOnce, free)) / time.Duration(free)
		}
	}
	for _, test := range []struct {
		name        string
		backends    int
		cost        func(int) time.Duration
		backlog     bool
		least, most int
	}{
		{"two at once are free", 10, shared(2), true, 2, 2},
		{"twenty at once are free", 10, shared(20), true, 14, 32},
		{"none are free", 10, shared(1), true, 2, 2},
		{"begins too high", 48, shared(2), true, 2, 3},
		{"begins far too high", 120, shared(4), true, 3, 6},
		{"begins right", 48, shared(10), true, 8, 15},
		{"without a backlog", 10, shared(20), false, 2, 2},
	} {
		if got := settle(test.backends, test.cost, test.backlog); got < test.least || got > test.most {
			t.Errorf("%s: settles at %d, want %d to %d", test.name, got, test.least, test.most)
		}
	}
}

func TestLoadsThatBeganAloneDoNotCount(t *testing.T) {
	p := newParallelism(10)
	now := time.Unix(0, 0)
	for i := range 60 {
		took := 1050 * time.Millisecond
		if p.level > parallelLeast && i%2 == 0 {
			took = 1500 * time.Millisecond
		}
		p.observe(p.level, took, true, now)
		if p.level > parallelLeast+1 {
			t.Fatalf("level %d, though loads at level 3 take half as long again", p.level)
		}
	}
}

func TestALevelThatBroughtNothingIsTriedAgainLater(t *testing.T) {
	p := newParallelism(10)
	now := time.Unix(0, 0)
	slow := func(atOnce int) time.Duration { return time.Duration(atOnce) * time.Second }
	for range 20 {
		p.observe(p.level, slow(p.level), true, now)
	}
	if p.level != parallelLeast {
		t.Fatalf("level %d", p.level)
	}
	now = now.Add(parallelForget + time.Second)
	p.observe(p.level, slow(p.level), true, now)
	if p.level <= parallelLeast {
		t.Error("not tried again")
	}
}

func TestALoadInTroubleDoesNotLowerALevel(t *testing.T) {
	p := newParallelism(48)
	now := time.Unix(0, 0)
	for i := range 200 {
		took := time.Second
		if i%8 == 0 {
			took = 6 * time.Second
		}
		p.observe(p.level, took, true, now)
		if p.level < 8 {
			t.Fatalf("level %d after %d loads", p.level, i)
		}
	}
}

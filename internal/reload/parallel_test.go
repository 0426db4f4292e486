package reload

import (
	"testing"
	"time"
)

// run lets a service load with a cost of loads at once, and returns the level
// that it settles at.
func settle(cost func(atOnce int) time.Duration, backlog bool) int {
	p := newParallelism()
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
		cost        func(int) time.Duration
		backlog     bool
		least, most int
	}{
		{"two at once are free", shared(2), true, 2, 2},
		{"twenty at once are free", shared(20), true, 14, 32},
		{"none are free", shared(1), true, 2, 2},
		{"without a backlog", shared(20), false, 2, 2},
	} {
		if got := settle(test.cost, test.backlog); got < test.least || got > test.most {
			t.Errorf("%s: settles at %d, want %d to %d", test.name, got, test.least, test.most)
		}
	}
}

func TestLoadsThatBeganAloneDoNotCount(t *testing.T) {
	p := newParallelism()
	now := time.Unix(0, 0)
	for i := range 60 {
		took := 1050 * time.Millisecond
		if p.level > parallelFirst && i%2 == 0 {
			took = 1500 * time.Millisecond
		}
		p.observe(p.level, took, true, now)
		if p.level > parallelFirst+1 {
			t.Fatalf("level %d, though loads at level 3 take half as long again", p.level)
		}
	}
}

func TestALevelThatBroughtNothingIsTriedAgainLater(t *testing.T) {
	p := newParallelism()
	now := time.Unix(0, 0)
	slow := func(atOnce int) time.Duration { return time.Duration(atOnce) * time.Second }
	for range 20 {
		p.observe(p.level, slow(p.level), true, now)
	}
	if p.level != parallelFirst {
		t.Fatalf("level %d", p.level)
	}
	now = now.Add(parallelForget + time.Second)
	p.observe(p.level, slow(p.level), true, now)
	if p.level <= parallelFirst {
		t.Error("not tried again")
	}
}

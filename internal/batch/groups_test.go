package batch

import (
	"context"
	"testing"

	"github.com/sliplift/sliplift/internal/clock"
)

func TestHoldLeft(t *testing.T) {
	const now = 10000
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	finished := func(at clock.Millis) []finishedItem { return []finishedItem{{at: at}, {at: now}} }
	cases := []struct {
		name string
		job  ownedJob
		want clock.Millis
	}{
		{"nothing is finished", ownedJob{left: 3, groups: groups{wanted: 2}}, 0},
		{"too few groups are whole", ownedJob{left: 3, groups: groups{wanted: 2, whole: 1}, finished: finished(now - 100)}, holdMost - 100},
		{"held for long", ownedJob{left: 3, groups: groups{wanted: 2, whole: 1}, finished: finished(now - holdMost)}, 0},
		{"enough groups are whole", ownedJob{left: 3, groups: groups{wanted: 2, whole: 2}, finished: finished(now)}, 0},
		{"no groups are waited for", ownedJob{left: 3, finished: finished(now)}, 0},
		{"nothing is left to wait for", ownedJob{groups: groups{wanted: 2, whole: 1}, finished: finished(now)}, 0},
		{"job is closed", ownedJob{left: 3, ctx: ctx, groups: groups{wanted: 2}, finished: finished(now)}, 0},
	}
	for _, test := range cases {
		if test.job.ctx == nil {
			test.job.ctx = context.Background()
		}
		if got := test.job.holdLeft(now); got != test.want {
			t.Errorf("%s: %d ms, want %d", test.name, got, test.want)
		}
	}
}

func TestGroupsAreWholeOnceTheirLastItemIsFinished(t *testing.T) {
	g := newGroups(&Spec{Desired: 2, Items: []Item{{Group: "a"}, {Group: "b"}, {Group: "a"}, {Group: "c"}}})
	for i, step := range []struct {
		group   string
		reached bool
	}{{"a", false}, {"b", false}, {"a", true}, {"c", true}} {
		g.finish(step.group)
		if g.reached() != step.reached {
			t.Errorf("after %d items: reached %t", i+1, g.reached())
		}
	}
}

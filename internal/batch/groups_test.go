package batch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/clock"
	"github.com/sliplift/sliplift/internal/routetable"
)

func TestHoldLeft(t *testing.T) {
	now := time.Now()
	moment := clock.At(now)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	due := &routetable.Route{ResultDue: 7 * time.Second}
	submitted := func(ago time.Duration) Head { return Head{SubmittedMillis: now.Add(-ago).UnixMilli()} }
	finished := func(ago clock.Millis) []finishedItem { return []finishedItem{{at: moment - ago}, {at: moment}} }
	few, enough := groups{wanted: 2, whole: 1}, groups{wanted: 2, whole: 2}
	cases := []struct {
		name  string
		job   ownedJob
		route *routetable.Route
		want  clock.Millis
	}{
		{"nothing is finished", ownedJob{left: 3, groups: few}, nil, 0},
		{"too few groups are whole", ownedJob{left: 3, groups: few, finished: finished(100)}, nil, holdMost - 100},
		{"held for long", ownedJob{left: 3, groups: few, finished: finished(holdMost)}, nil, 0},
		{"enough groups are whole", ownedJob{left: 3, groups: enough, finished: finished(0)}, nil, 0},
		{"no groups are waited for", ownedJob{left: 3, finished: finished(0)}, nil, 0},
		{"nothing is left to wait for", ownedJob{groups: few, finished: finished(0)}, nil, 0},
		{"job is closed", ownedJob{left: 3, ctx: ctx, groups: few, finished: finished(0)}, nil, 0},
		{"far from due", ownedJob{left: 3, head: submitted(time.Second), groups: few, finished: finished(0)}, due, holdMost},
		{"soon due", ownedJob{left: 3, head: submitted(6900 * time.Millisecond), groups: few, finished: finished(0)}, due, 100},
		{"little is missing", ownedJob{left: 3, groups: groups{wanted: 10, whole: 8}, finished: finished(500)}, nil, holdTail - 500},
		{"carried groups are missing", ownedJob{left: 3, groups: groups{wanted: 2, whole: 2, carriedLeft: 1}, finished: finished(0)}, nil, holdTail},
		{"much text", ownedJob{left: 3, groups: few, finished: []finishedItem{{at: moment, result: Result{Text: strings.Repeat(".", holdBytes+1)}}}}, nil, 0},
	}
	for _, test := range cases {
		if test.job.ctx == nil {
			test.job.ctx = context.Background()
		}
		if got := test.job.holdLeft(test.route, now); got != test.want && got != test.want-1 {
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

func TestCarriedGroupsAreAllWaitedFor(t *testing.T) {
	g := newGroups(&Spec{Desired: 1, Items: []Item{{Group: "a"}, {Group: "b"}, {Group: "c"}}})
	g.carry("b")
	g.carry("b")
	g.finish("a")
	if g.reached() {
		t.Error("reached though a carried group is missing")
	}
	g.finish("b")
	if !g.reached() {
		t.Error("not reached though the carried group is whole")
	}
	g.carry("b")
	if !g.reached() {
		t.Error("a whole group is waited for once more")
	}
}

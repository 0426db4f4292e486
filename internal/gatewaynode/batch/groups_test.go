package batch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
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
		{"no finished items", ownedJob{unfinished: 3, groups: few}, nil, 0},
		{"too few groups are whole", ownedJob{unfinished: 3, groups: few, finished: finished(100)}, nil, maxHold - 100},
		{"held for the maximum time", ownedJob{unfinished: 3, groups: few, finished: finished(maxHold)}, nil, 0},
		{"enough groups are whole", ownedJob{unfinished: 3, groups: enough, finished: finished(0)}, nil, 0},
		{"no wanted groups", ownedJob{unfinished: 3, finished: finished(0)}, nil, 0},
		{"no items left", ownedJob{groups: few, finished: finished(0)}, nil, 0},
		{"job is closed", ownedJob{unfinished: 3, ctx: ctx, groups: few, finished: finished(0)}, nil, 0},
		{"due later", ownedJob{unfinished: 3, head: submitted(time.Second), groups: few, finished: finished(0)}, due, maxHold},
		{"due soon", ownedJob{unfinished: 3, head: submitted(6900 * time.Millisecond), groups: few, finished: finished(0)}, due, 100},
		{"few groups are missing", ownedJob{unfinished: 3, groups: groups{wanted: 10, whole: 8}, finished: finished(500)}, nil, maxTailHold - 500},
		{"carried groups are missing", ownedJob{unfinished: 3, groups: groups{wanted: 2, whole: 2, carriedLeft: 1}, finished: finished(0)}, nil, maxTailHold},
		{"long past due", ownedJob{unfinished: 3, head: submitted(9 * time.Second), groups: few, finished: finished(100)}, due, maxHold - 100},
		{"just past due", ownedJob{unfinished: 3, head: submitted(7100 * time.Millisecond), groups: few, finished: finished(0)}, due, -100},
		{"held text exceeds maxHeldBytes", ownedJob{unfinished: 3, groups: few, finished: []finishedItem{{at: moment, result: Result{Text: strings.Repeat(".", maxHeldBytes+1)}}}}, nil, 0},
	}
	for _, test := range cases {
		if test.job.ctx == nil {
			test.job.ctx = context.Background()
		}
		if got := test.job.remainingHold(test.route, &lengths{}, now); got != test.want && got != test.want-1 {
			t.Errorf("%s: remainingHold = %d ms, want %d ms", test.name, got, test.want)
		}
	}
}

// TestHoldUntilJobEnds checks that results are held until the end of the job if that is near, even
// if many groups are missing, and not otherwise.
func TestHoldUntilJobEnds(t *testing.T) {
	now := time.Now()
	spec := &Spec{Model: "m"}
	var known lengths
	for range 10 {
		known.observe("m", 100, 100, 4*time.Second)
	}
	running := func(events int) itemState {
		return itemState{phase: phaseRunning, text: text{events: make([][]byte, events)}}
	}
	long := func(events int) itemState {
		item := running(events)
		item.text.events[0] = make([]byte, pageBytes+1)
		return item
	}
	due := &routetable.Route{ResultDue: 7 * time.Second}
	const held = 300
	cases := []struct {
		name  string
		items []itemState
		known *lengths
		age   time.Duration
		want  clock.Millis
	}{
		{"the longest may run for maxTailHold", []itemState{running(50)}, &known, 0, maxTailHold + holdSlack},
		{"the longest has 25 events left", []itemState{{phase: phaseFinished}, running(90), running(75)}, &known, 0, 1000 + holdSlack},
		{"longer than any ended item", []itemState{running(120)}, &known, 0, maxHold - held},
		{"the longest runs for much longer", []itemState{running(90), running(20)}, &known, 0, maxHold - held},
		{"an item waits for a slot", []itemState{running(90), {phase: phaseWaiting}}, &known, 0, maxHold - held},
		{"no lengths known for the model", []itemState{running(90)}, &lengths{}, 0, maxHold - held},
		{"more than one page, with time for a second read", []itemState{long(75)}, &known, 0, 0},
		{"more than one page, without time for a second read", []itemState{long(85)}, &known, 0, 600 + holdSlack},
		{"due before the end", []itemState{running(75)}, &known, 6500 * time.Millisecond, 500},
	}
	for _, test := range cases {
		job := ownedJob{
			unfinished: 3, ctx: context.Background(), spec: spec, items: test.items, groups: groups{wanted: 9, whole: 1},
			finished: []finishedItem{{at: clock.At(now) - held}}, head: Head{SubmittedMillis: now.Add(-test.age).UnixMilli()},
		}
		if got := job.remainingHold(due, test.known, now); got < test.want-2 || got > test.want {
			t.Errorf("%s: remainingHold = %d ms, want %d ms", test.name, got, test.want)
		}
	}
}

func TestGroupIsWholeAfterItsLastItem(t *testing.T) {
	g := newGroups(&Spec{Desired: 2, Items: []Item{{Group: "a"}, {Group: "b"}, {Group: "a"}, {Group: "c"}}})
	for i, step := range []struct {
		group   string
		reached bool
	}{{"a", false}, {"b", false}, {"a", true}, {"c", true}} {
		g.finish(step.group)
		if g.reached() != step.reached {
			t.Errorf("after %d items: reached = %t, want %t", i+1, g.reached(), step.reached)
		}
	}
}

func TestCarriedGroupsAreRequired(t *testing.T) {
	g := newGroups(&Spec{Desired: 1, Items: []Item{{Group: "a"}, {Group: "b"}, {Group: "c"}}})
	g.carry("b")
	g.carry("b")
	g.finish("a")
	if g.reached() {
		t.Error("reached while a carried group is missing")
	}
	g.finish("b")
	if !g.reached() {
		t.Error("not reached although the carried group is whole")
	}
	g.carry("b")
	if !g.reached() {
		t.Error("carrying a whole group made it required again")
	}
}

package storenode

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// TestInTouch: a node whose views are as old as their pace allows is in touch, however
// many nodes there are; one that the store does not answer is out of touch soon.
func TestInTouch(t *testing.T) {
	now := time.Unix(1000, 0)
	view := func(age time.Duration, healthy bool) rowstore.Status {
		return rowstore.Status{Loaded: true, Healthy: healthy, Confirmed: now.Add(-age)}
	}
	for _, nodes := range []int{3, 81, 300} {
		pacing := rowstore.Pacing{
			Limits: rowstore.Limits{ReadsPerSecond: 2000}, Fresh: 2 * time.Second, Nodes: func() int { return nodes },
		}
		idle := pacing.IdleWait() + pacing.InterestPace(false)
		for _, test := range []struct {
			name           string
			operator, jobs rowstore.Status
			want           bool
		}{
			{"at rest", view(pacing.FreshWait(), true), view(idle, true), true},
			{"makes no use of the jobs", view(0, true), rowstore.Status{}, true},
			{"no answer of late", view(pacing.FreshWait()+time.Second, true), view(0, true), false},
			{"refused", view(0, false), view(0, true), false},
			{"the jobs' table is silent", view(0, true), view(idle+time.Second, true), false},
			{"the jobs' table is refused", view(0, true), view(0, false), false},
		} {
			if got := inTouch(test.operator, test.jobs, pacing, now); got != test.want {
				t.Errorf("%d nodes, %s: %v, want %v", nodes, test.name, got, test.want)
			}
		}
	}
}

// TestOperatorIsReadAsOftenAsEvacuationsAsk: while the store answers, the operator's rows
// are never so old that jobs are held.
func TestOperatorIsReadAsOftenAsEvacuationsAsk(t *testing.T) {
	for _, within := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, time.Minute} {
		for _, fresh := range []time.Duration{time.Second, 4 * time.Second, 20 * time.Second} {
			e := Eligibility{EvacuateWithin: within}
			pacing := rowstore.Pacing{Limits: rowstore.Limits{ReadsPerSecond: 6000}, Fresh: fresh, Nodes: func() int { return 330 }}
			if oldest := 2 * e.paced(pacing).FreshWait(); oldest > e.ageMost() || oldest > max(fresh, pacing.FreshWait()) {
				t.Errorf("within %s, fresh %s: %s old, jobs rely on %s", within, fresh, oldest, e.ageMost())
			}
		}
	}
}

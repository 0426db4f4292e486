package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/platform/standin"
)

// TestJudgeFindsBreachesOfPlaces: each row breaks one promise about zones, regions, cold
// starts or callers that leave, and the judge says so; rows without a word break none.
func TestJudgeFindsBreachesOfPlaces(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(after time.Duration) time.Time { return began.Add(after) }
	const (
		item, live, inTouch = "job-1-0", "safe-1", "n1"
		late                = evacuateWithin + 500*time.Millisecond
	)
	// seen is what was seen in a run that broke nothing.
	type seen struct {
		came       Came
		evacuation Evacuation
		disturbed  map[string]span
		run        standin.Run
		// kind and tenant are the live request's, items tells the tenants of items.
		kind, tenant string
		items        map[string]string
	}
	arrive := func(s *seen, id string, after time.Duration) {
		s.came.Arrivals = append(s.came.Arrivals, standin.Arrival{At: at(after), ID: id})
	}
	rush := func(s *seen, count int, from time.Duration) {
		s.came.Colds = []standin.Cold{{From: at(0), Until: at(5 * time.Second)}}
		for number := range count {
			s.came.Arrivals = append(s.came.Arrivals, standin.Arrival{
				At: at(from + time.Duration(number)*100*time.Millisecond), ID: live, Cold: true,
			})
		}
		s.evacuation = Evacuation{}
	}
	for _, test := range []struct {
		name   string
		change func(s *seen)
		says   string
	}{
		{"nothing", func(*seen) {}, ""},
		{"a live request before the bound", func(s *seen) { arrive(s, live, evacuateWithin-time.Millisecond) }, ""},
		{"a live request after it", func(s *seen) { arrive(s, live, late) }, "was evacuated"},
		{"one in another zone", func(s *seen) { s.came.Zone = "z1"; arrive(s, live, late) }, ""},
		{"one of a node out of touch", func(s *seen) {
			s.disturbed[inTouch] = span{at(time.Second), at(2 * time.Second)}
			arrive(s, live, late)
		}, ""},
		{"an item of a node out of touch", func(s *seen) {
			s.disturbed[inTouch] = span{at(time.Second), at(2 * time.Second)}
			arrive(s, item, late)
		}, "was evacuated"},
		{"an item while nobody could know", func(s *seen) {
			s.disturbed[everyStoreCall] = span{at(0), at(2 * time.Second)}
			arrive(s, item, late)
		}, ""},
		{"an item held up before its sampler", func(s *seen) {
			s.disturbed["engine-0"] = span{at(time.Second), at(late - thawTime/2)}
			arrive(s, item, late)
		}, ""},
		{"an item after the evacuation was taken back", func(s *seen) {
			s.evacuation.TakenBack, s.evacuation.takenBackUnknown = at(late-time.Millisecond), false
			arrive(s, item, late)
		}, ""},
		{"a request of a bound route in another region", func(s *seen) {
			s.came.Zone, s.kind = "z2", boundKind
			arrive(s, live, 0)
		}, "may run in r0 alone"},
		{"a request of the bound tenant there", func(s *seen) {
			s.came.Zone, s.tenant = "z2", tenantName(boundTenant)
			arrive(s, live, 0)
		}, "may run in r0 alone"},
		{"an item of the bound tenant there", func(s *seen) {
			s.came.Zone, s.items = "z2", map[string]string{item: tenantName(boundTenant)}
			arrive(s, item, 0)
		}, "may run in r0 alone"},
		{"another request there", func(s *seen) { s.came.Zone = "z2"; arrive(s, live, 0) }, ""},
		{"as many as a cold sampler bears", func(s *seen) { rush(s, coldMost, 2*time.Second) }, ""},
		{"one more", func(s *seen) { rush(s, coldMost+1, 2*time.Second) }, "while cold"},
		{"one more over the edge of a second", func(s *seen) { rush(s, coldMost+1, 2500*time.Millisecond) }, "while cold"},
		{"one more before nodes could know", func(s *seen) { rush(s, coldMost+1, 0) }, ""},
		{"one more from a node that woke", func(s *seen) {
			s.disturbed[anyPause] = span{at(time.Second), at(3 * time.Second)}
			rush(s, coldMost+1, 2*time.Second)
		}, ""},
		{"work for a caller that left", func(s *seen) { s.run.Stopped = at(leaveWithin + time.Millisecond) }, "after the caller had left"},
		{"work that never stops", func(s *seen) { s.run.Stopped = time.Time{} }, "after the caller had left"},
		{"work behind a silent link", func(s *seen) {
			s.run.Stopped = at(leaveWithin + time.Millisecond)
			s.disturbed["engine-0"] = span{at(0), at(leaveWithin)}
		}, ""},
	} {
		s := &seen{
			came:       Came{Sampler: "engine-0", Zone: "z0"},
			evacuation: Evacuation{Zone: "z0", From: began, takenBackUnknown: true},
			disturbed:  make(map[string]span),
			run:        standin.Run{Sampler: "engine-0", ID: "left-1", Stopped: at(leaveWithin / 2)},
			kind:       "safe", tenant: tenantName(0),
		}
		test.change(s)
		history := NewHistory()
		for name, disturbed := range s.disturbed {
			history.spans[name] = []span{disturbed}
		}
		judge := NewJudge()
		judge.Answered(live, Answer{Kind: s.kind, Tenant: s.tenant, Node: inTouch, Status: 200})
		judge.Left("left-1", inTouch, began)
		judge.Evacuated(s.came, []Evacuation{s.evacuation}, history)
		judge.Placed(s.came, homeRegion, s.items)
		judge.ColdStarts(s.came, history)
		judge.Departures([]standin.Run{s.run}, history)
		said := strings.Join(judge.Breaches(), "; ")
		if (test.says == "") != (said == "") || !strings.Contains(said, test.says) {
			t.Errorf("%s: the judge says %q, want %q", test.name, said, test.says)
		}
	}
}

// TestOverlappingEvacuationsEndWithTheLast: what the first one takes back must not end the
// second one, which is judged until its own end.
func TestOverlappingEvacuationsEndWithTheLast(t *testing.T) {
	s := &system{rows: rowstoretest.New(), evacuating: make(map[string]int)}
	endFirst := s.evacuate("z1", true)
	endSecond := s.evacuate("z1", true)
	endFirst()
	if rows := s.rows.Rows("op"); len(rows) != 1 {
		t.Errorf("%d rows while one evacuation goes on", len(rows))
	}
	endSecond()
	if rows := s.rows.Rows("op"); len(rows) != 0 {
		t.Errorf("%d rows after the last end", len(rows))
	}
}

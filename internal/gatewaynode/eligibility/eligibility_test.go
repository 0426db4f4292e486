package eligibility

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/evacuation"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

var now = time.Unix(1000, 0)

func backend(change func(*fleet.Backend)) fleet.Backend {
	b := fleet.Backend{Instance: fleet.Instance{ID: "b", Service: "s", Zone: "n1", Slots: 4, Models: map[string]int64{"m": 3}}}
	if change != nil {
		change(&b)
	}
	return b
}

func TestDecide(t *testing.T) {
	zones := place.NewMap(map[string]string{"n1": "north", "s1": "south"})
	evacuated := evacuation.Set{"n1": {Zone: "n1", Since: now.Add(-time.Second)}}
	cold := func(b *fleet.Backend) { b.ColdUntil = now.Add(2 * time.Second) }
	cases := []struct {
		name     string
		change   func(*fleet.Backend)
		snapshot Snapshot
		request  Request
		want     Reason
	}{
		{"eligible", nil, Snapshot{}, Request{Model: "m", Weights: true, MinVersion: 3}, nil},
		{"draining", func(b *fleet.Backend) { b.Draining = true }, Snapshot{}, Request{}, Draining{}},
		{"evacuated", nil, Snapshot{Evacuations: evacuated}, Request{}, Evacuated{Zone: "n1", Elapsed: time.Second}},
		{"another zone is evacuated", func(b *fleet.Backend) { b.Zone = "s1" }, Snapshot{Evacuations: evacuated}, Request{}, nil},
		{"allowed region", nil, Snapshot{}, Request{Regions: place.NewRegions("north")}, nil},
		{"another region", nil, Snapshot{}, Request{Regions: place.NewRegions("south")}, OtherRegion{Region: "north", Allowed: "south"}},
		{"unknown region", func(b *fleet.Backend) { b.Zone = "x" }, Snapshot{}, Request{Regions: place.NewRegions("north")}, OtherRegion{Allowed: "north"}},
		{"no allowed region", nil, Snapshot{}, Request{Regions: place.NewRegions("north").Intersect(place.NewRegions("south"))}, OtherRegion{Region: "north"}},
		{"evacuations out of date, request of a job", nil, Snapshot{EvacuationsAge: 6 * time.Second, MaxEvacuationsAge: 5 * time.Second}, Request{Durable: true}, EvacuationsOutdated{Age: 6 * time.Second}},
		{"evacuations out of date, live request", nil, Snapshot{EvacuationsAge: 6 * time.Second, MaxEvacuationsAge: 5 * time.Second}, Request{}, nil},
		{"evacuations out of date, no limit", nil, Snapshot{EvacuationsAge: 6 * time.Second}, Request{Durable: true}, nil},
		{"another model", nil, Snapshot{}, Request{Model: "n"}, NoModel{}},
		{"no models known, versions not checked", func(b *fleet.Backend) { b.Models = nil }, Snapshot{}, Request{Model: "n"}, nil},
		{"no models known, versions checked", func(b *fleet.Backend) { b.Models = nil }, Snapshot{}, Request{Model: "n", Weights: true}, NoModel{}},
		{"version too old", nil, Snapshot{}, Request{Model: "m", Weights: true, MinVersion: 4}, OtherWeights{Version: 3}},
		{"not the only allowed version", nil, Snapshot{}, Request{Model: "m", Weights: true, Version: 2}, OtherWeights{Version: 3}},
		{"loading", func(b *fleet.Backend) { b.LoadingModel = "m" }, Snapshot{}, Request{Model: "m", Weights: true}, Loading{}},
		{"loading another model", func(b *fleet.Backend) { b.LoadingModel = "n" }, Snapshot{}, Request{Model: "m", Weights: true}, nil},
		{"cold, below the limit", cold, Snapshot{ColdRequestsLeft: func(*fleet.Backend) int { return 1 }}, Request{}, nil},
		{"cold, limit reached", cold, Snapshot{ColdRequestsLeft: func(*fleet.Backend) int { return 0 }}, Request{}, Cold{Left: 2 * time.Second}},
		{"no longer cold", func(b *fleet.Backend) { b.ColdUntil = now }, Snapshot{ColdRequestsLeft: func(*fleet.Backend) int { return 0 }}, Request{}, nil},
	}
	for _, test := range cases {
		b := backend(test.change)
		test.snapshot.Now, test.snapshot.Zones = now, zones
		if got := test.snapshot.Decide(&b, test.request); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestSurvey(t *testing.T) {
	backends := []fleet.Backend{
		backend(nil),
		backend(func(b *fleet.Backend) { b.Draining = true }),
		backend(func(b *fleet.Backend) { b.ColdUntil = now.Add(2 * time.Second) }),
		backend(func(b *fleet.Backend) { b.ColdUntil = now.Add(time.Second) }),
	}
	snapshot := Snapshot{Now: now, ColdRequestsLeft: func(*fleet.Backend) int { return 0 }}
	survey := snapshot.Survey(backends, Request{})
	if survey.Eligible != 1 || survey.Reasons["draining"] != 1 || survey.Reasons["cold"] != 2 || survey.ColdWait != time.Second {
		t.Errorf("Survey returned %+v", survey)
	}
}

func newTestGate(share int, age time.Duration) (*Gate, *fleet.Fleet, *evacuation.Book) {
	backends, book := fleet.New(nil), evacuation.NewBook()
	gate := NewGate(Config{
		Fleet: backends, Evacuations: book, MaxEvacuationsAge: 5 * time.Second,
		EvacuationsAge: func(time.Time) time.Duration { return age },
		Share:          func(*fleet.Backend, time.Time) int { return share },
	})
	return gate, backends, book
}

// TestAdmitUsesCurrentState checks that Admit uses the state at the time of the call and not
// that of the choice of the backend.
func TestAdmitUsesCurrentState(t *testing.T) {
	gate, backends, book := newTestGate(1, 0)
	if got := LabelOf(gate.Admit("b", Request{})); got != "gone" {
		t.Errorf("unknown back end: label %q, want \"gone\"", got)
	}
	backends.Update([]fleet.Instance{{ID: "b", Zone: "n1", Revision: 1}}, nil)
	if err := gate.Admit("b", Request{}); err != nil {
		t.Error(err)
	}
	book.Update([]evacuation.Row{{Zone: "n1", Revision: 2}}, false, time.Now())
	if got := LabelOf(gate.Admit("b", Request{})); got != "evacuated" {
		t.Errorf("evacuated zone: label %q, want \"evacuated\"", got)
	}
	book.Update([]evacuation.Row{{Zone: "n1", Revision: 3, Removed: true}}, false, time.Now())
	if err := gate.Admit("b", Request{}); err != nil {
		t.Error(err)
	}
}

// TestAdmitCountsColdCalls checks that a call to a cold backend uses up the node's share.
func TestAdmitCountsColdCalls(t *testing.T) {
	gate, backends, _ := newTestGate(1, 0)
	backends.Update([]fleet.Instance{{ID: "b", Revision: 1, ColdDuration: time.Minute}}, nil)
	if err := gate.Admit("b", Request{}); err != nil {
		t.Error(err)
	}
	if got := LabelOf(gate.Admit("b", Request{})); got != "cold" {
		t.Errorf("second call: label %q, want \"cold\"", got)
	}
}

// TestSuspendedSenderKeepsToItsShare guards against a burst beyond the node's share when many
// delayed calls are sent at once after the process was suspended.
func TestSuspendedSenderKeepsToItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, backends, _ := newTestGate(3, 0)
		backends.Update([]fleet.Instance{{ID: "b", Revision: 1, ColdDuration: time.Minute}}, nil)
		var sent atomic.Int64
		for range 50 {
			time.AfterFunc(5*time.Second, func() {
				if gate.Admit("b", Request{}) == nil {
					sent.Add(1)
				}
			})
		}
		time.Sleep(6 * time.Second)
		if sent.Load() != 3 {
			t.Errorf("%d calls sent, want 3", sent.Load())
		}
	})
}

package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

var chooseNow = time.Unix(1000, 0)

func candidate(id string, change func(*fleet.Backend)) fleet.Backend {
	b := fleet.Backend{Instance: fleet.Instance{ID: id, Slots: 4}}
	b.Latency = 20 * time.Millisecond
	if change != nil {
		change(&b)
	}
	return b
}

// otherZone puts a backend into another zone.
func otherZone(b *fleet.Backend) { b.Reach.Distance = 2 }

func suspended(d time.Duration) func(*fleet.Backend) {
	return func(b *fleet.Backend) { b.SuspendedUntil = chooseNow.Add(d) }
}

func cold(b *fleet.Backend) { b.ColdUntil = chooseNow.Add(time.Second) }

func TestChoose(t *testing.T) {
	cases := []struct {
		name string
		pool []fleet.Backend
		want Want
		pick string
	}{
		{"none", nil, Want{}, ""},
		{"only draining ones", []fleet.Backend{candidate("a", func(b *fleet.Backend) { b.Draining = true })}, Want{}, ""},
		{"own zone", []fleet.Backend{candidate("a", otherZone), candidate("b", nil)}, Want{}, "b"},
		{"another zone rather than a slow one", []fleet.Backend{candidate("a", otherZone), candidate("b", func(b *fleet.Backend) { b.Latency = 80 * time.Millisecond })}, Want{}, "a"},
		{"another zone rather than a full one", []fleet.Backend{candidate("a", otherZone), candidate("b", func(b *fleet.Backend) { b.InFlight = 4 })}, Want{}, "a"},
		{"suspended only if all are", []fleet.Backend{candidate("a", suspended(time.Second)), candidate("b", func(b *fleet.Backend) { b.Latency = time.Second })}, Want{}, "b"},
		{"the one whose suspension ends first", []fleet.Backend{candidate("a", suspended(2*time.Second)), candidate("b", suspended(time.Second))}, Want{}, "b"},
		{"untried one first", []fleet.Backend{candidate("a", nil), candidate("b", suspended(time.Second))}, Want{Tried: map[string]int{"a": 1}}, "b"},
		{"tried one if there is no other", []fleet.Backend{candidate("a", nil)}, Want{Tried: map[string]int{"a": 1}}, "a"},
		{"a warm one rather than a cold one", []fleet.Backend{candidate("a", cold), candidate("b", func(b *fleet.Backend) { b.Latency = 60 * time.Millisecond })}, Want{}, "b"},
		{"a cold one if the warm ones are full", []fleet.Backend{candidate("a", cold), candidate("b", func(b *fleet.Backend) { b.InFlight, b.Waiting = 4, 2 })}, Want{}, "a"},
		{"holds the model", []fleet.Backend{candidate("a", func(b *fleet.Backend) { b.Models = map[string]int64{"n": 1} }), candidate("b", func(b *fleet.Backend) { b.Models = map[string]int64{"m": 1} })}, Want{Request: eligibility.Request{Model: "m"}}, "b"},
	}
	for _, test := range cases {
		got, found := Choose(test.pool, test.want, &eligibility.Snapshot{Now: chooseNow})
		if found != (test.pick != "") || got.ID != test.pick {
			t.Errorf("%s: chose %q, want %q", test.name, got.ID, test.pick)
		}
	}
}

func TestHopByHop(t *testing.T) {
	header := http.Header{"Connection": {"close, X-Mine"}}
	for name, want := range map[string]bool{
		"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true, "Content-Length": true,
		"X-Mine": true, "X-Other": false, "Content-Type": false, "Date": false,
	} {
		if got := HopByHop(name, header); got != want {
			t.Errorf("HopByHop(%q) = %t, want %t", name, got, want)
		}
	}
}

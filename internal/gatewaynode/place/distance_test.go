package place

import (
	"testing"
	"time"
)

func TestDistances(t *testing.T) {
	start := time.Unix(1000, 0)
	zones := NewMap(map[string]string{"a": "r", "b": "r", "c": "s"})
	for _, test := range []struct {
		name    string
		observe func(d *Distances)
		zone    string
		want    Distance
	}{
		{"own zone", nil, "a", 0},
		{"another zone of the region", nil, "b", defaultSameRegion},
		{"another region", nil, "c", defaultOtherRegion},
		{"unknown zone", nil, "x", defaultSameRegion},
		{"measurement overrides the default", func(d *Distances) { d.Observe("c", 25*time.Millisecond, start) }, "c", 25},
		{"measurement of an unknown zone is ignored", func(d *Distances) { d.Observe("x", time.Second, start) }, "x", defaultSameRegion},
		{"slow connect raises the estimate a little", func(d *Distances) {
			d.Observe("c", 20*time.Millisecond, start)
			d.Observe("c", 120*time.Millisecond, start)
		}, "c", 30},
		{"faster connect replaces the estimate", func(d *Distances) {
			d.Observe("c", 120*time.Millisecond, start)
			d.Observe("c", 20*time.Millisecond, start)
		}, "c", 20},
		{"expired measurement is ignored", func(d *Distances) { d.Observe("c", 200*time.Millisecond, start.Add(-2*measurementTTL)) }, "c", defaultOtherRegion},
		{"expired measurement is not averaged in", func(d *Distances) {
			d.Observe("c", 20*time.Millisecond, start.Add(-2*measurementTTL))
			d.Observe("c", 60*time.Millisecond, start)
		}, "c", 60},
	} {
		distances := NewDistances(zones.Of("a"), zones)
		if test.observe != nil {
			test.observe(distances)
		}
		if got := distances.View(start).To(test.zone); got != test.want {
			t.Errorf("%s: %v ms, want %v", test.name, got, test.want)
		}
	}
}

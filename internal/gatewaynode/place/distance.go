package place

import (
	"sync"
	"time"
)

// Distance is the round-trip time between two places in milliseconds.
type Distance float64

// DistanceOf converts a round-trip time to a Distance.
func DistanceOf(d time.Duration) Distance { return Distance(float64(d) / float64(time.Millisecond)) }

// Duration returns d as a time.Duration.
func (d Distance) Duration() time.Duration {
	return time.Duration(float64(d) * float64(time.Millisecond))
}

// Distances assumed where no recent measurement exists. Zones of a region are a millisecond or
// two apart, regions some tens.
const (
	defaultSameZone    Distance = 0
	defaultSameRegion  Distance = 2
	defaultOtherRegion Distance = 20
)

// DefaultDistance returns the distance assumed between two places without a measurement. An
// unknown region counts as the same region.
func DefaultDistance(a, b Place) Distance {
	switch {
	case a.Zone == b.Zone:
		return defaultSameZone
	case a.Region == b.Region || a.Region == "" || b.Region == "":
		return defaultSameRegion
	}
	return defaultOtherRegion
}

const (
	// measurementTTL is how long a measurement is used. Afterwards the default applies again,
	// so that a zone that looked distant once is tried again.
	measurementTTL = time.Minute
	// riseWeight is the weight of a measurement above the current estimate. A busy
	// backend accepts connections late, so that a connect time is an upper bound of the round
	// trip; lower measurements replace the estimate at once.
	riseWeight = 0.1
)

// Distances estimates the distance from a node to each zone from the connect times of its
// ordinary traffic. It is safe for concurrent use.
type Distances struct {
	own   Place
	zones Map

	mu       sync.Mutex
	measured map[string]measurement
}

type measurement struct {
	distance Distance
	at       time.Time
}

// NewDistances returns Distances for a node at own, without measurements.
func NewDistances(own Place, zones Map) *Distances {
	return &Distances{own: own, zones: zones, measured: make(map[string]measurement)}
}

// Observe records a round-trip time to a zone. It ignores zones that the map does not
// contain.
func (d *Distances) Observe(zone string, took time.Duration, now time.Time) {
	if _, known := d.zones.regions[zone]; !known {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.measured[zone]
	distance := DistanceOf(took)
	if known && now.Sub(before.at) <= measurementTTL && distance > before.distance {
		distance = before.distance + riseWeight*(distance-before.distance)
	}
	d.measured[zone] = measurement{distance: distance, at: now}
}

// View returns a snapshot of the distances without expired measurements.
func (d *Distances) View(now time.Time) View {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := View{own: d.own, zones: d.zones, measured: make(map[string]Distance, len(d.measured))}
	for zone, m := range d.measured {
		if now.Sub(m.at) <= measurementTTL {
			view.measured[zone] = m.distance
		}
	}
	return view
}

// View is a snapshot of the distances from a node to the zones. The zero View contains no
// measurements.
type View struct {
	own      Place
	zones    Map
	measured map[string]Distance
}

// To returns the distance to a zone. It is 0 for the node's own zone, where a connect time
// is mostly processing at the two ends.
func (v View) To(zone string) Distance {
	if zone == v.own.Zone {
		return defaultSameZone
	}
	if measured, known := v.measured[zone]; known {
		return measured
	}
	return DefaultDistance(v.own, v.zones.Of(zone))
}

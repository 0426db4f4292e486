package place

import (
	"sync"
	"time"
)

// Distance is the time of a round trip between two places, in milliseconds.
type Distance float64

// DistanceOf returns the distance of a round trip that took so long.
func DistanceOf(d time.Duration) Distance { return Distance(float64(d) / float64(time.Millisecond)) }

// Duration returns the distance as the standard library has it.
func (d Distance) Duration() time.Duration {
	return time.Duration(float64(d) * float64(time.Millisecond))
}

// What is taken for a round trip where none was measured of late. Zones of a region are
// a millisecond or two apart, regions some tens.
const (
	priorZone   Distance = 0
	priorRegion Distance = 2
	priorFar    Distance = 20
)

// Prior returns the distance between two places that nothing was measured of.
func Prior(a, b Place) Distance {
	switch {
	case a.Zone == b.Zone:
		return priorZone
	case a.Region == b.Region || a.Region == "" || b.Region == "":
		return priorRegion
	}
	return priorFar
}

const (
	// measuredMost is how long a measured distance counts: links change, and a zone that
	// nothing was sent to may have come nearer.
	measuredMost = time.Minute
	// measuredRise is the weight of a time that is longer than what is known: a connect
	// takes longer at a back end that is busy, never less than the round trip.
	measuredRise = 0.1
)

// Distances learns how far the zones are from the place of a node, from connects that
// are made anyway. It is safe for concurrent use.
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

// NewDistances returns the distances from a node's place, of which nothing is measured.
func NewDistances(own Place, zones Map) *Distances {
	return &Distances{own: own, zones: zones, measured: make(map[string]measurement)}
}

// Observe takes the time of a round trip to a zone that the map knows or the node is in;
// zones that are not known are not kept apart.
func (d *Distances) Observe(zone string, took time.Duration, now time.Time) {
	if _, known := d.zones.regions[zone]; !known {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.measured[zone]
	distance := DistanceOf(took)
	if known && now.Sub(before.at) <= measuredMost && distance > before.distance {
		distance = before.distance + measuredRise*(distance-before.distance)
	}
	d.measured[zone] = measurement{distance: distance, at: now}
}

// View returns the distances as of a moment.
func (d *Distances) View(now time.Time) View {
	d.mu.Lock()
	defer d.mu.Unlock()
	view := View{own: d.own, zones: d.zones, measured: make(map[string]Distance, len(d.measured))}
	for zone, m := range d.measured {
		if now.Sub(m.at) <= measuredMost {
			view.measured[zone] = m.distance
		}
	}
	return view
}

// View is how far zones are from a node, as of one moment. The zero View knows none.
type View struct {
	own      Place
	zones    Map
	measured map[string]Distance
}

// To returns the distance to a zone. The own zone counts as no distance: what a connect
// there takes is the work of both ends.
func (v View) To(zone string) Distance {
	if zone == v.own.Zone {
		return priorZone
	}
	if measured, known := v.measured[zone]; known {
		return measured
	}
	return Prior(v.own, v.zones.Of(zone))
}

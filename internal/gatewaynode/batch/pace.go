package batch

import (
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

const (
	// paceGaps is over how many gaps between events the pace of a run is measured,
	// paceGapsLeast from how many on. A node that was busy reads several events at
	// once: single gaps then tell nothing of the back end.
	paceGaps      = 8
	paceGapsLeast = 4
)

// paceWindow measures the pace of one run over its latest events.
type paceWindow struct {
	arrivals [paceGaps + 1]time.Time
	count    int
}

// add takes the arrival of an event and returns the mean time between two events,
// once enough have come.
func (w *paceWindow) add(now time.Time) (pace time.Duration, known bool) {
	w.arrivals[w.count%len(w.arrivals)] = now
	w.count++
	gaps := min(w.count-1, paceGaps)
	if gaps < paceGapsLeast {
		return 0, false
	}
	first := w.arrivals[(w.count-1-gaps)%len(w.arrivals)]
	return now.Sub(first) / time.Duration(gaps), true
}

const (
	// usualPace stands for a pace that nothing is known of.
	usualPace = 40 * time.Millisecond
	// paceMemory is how long a measured pace counts when choosing a back end.
	paceMemory = 8 * time.Second
	// typicalQuantile is the share of the back ends whose pace is better than the one
	// that counts as typical: the best of all is more often a wrong measurement than a
	// better back end, and no measure for the others.
	typicalQuantile = 0.25
)

// pace returns the pace of a back end, or the typical one if it is not known.
func pace(backend *fleet.Backend, typical time.Duration, now time.Time) time.Duration {
	if known := knownPace(backend, now); known > 0 {
		return known
	}
	return typical
}

// knownPace returns the pace of a back end that was measured of late, or else the one it
// has had over its life; 0 if neither is known.
func knownPace(backend *fleet.Backend, now time.Time) time.Duration {
	switch {
	case backend.Pace > 0 && now.Sub(backend.PaceAt) <= paceMemory:
		return backend.Pace
	case backend.Lasting.Known():
		return backend.Lasting.Pace
	}
	return 0
}

// typicalPace returns the pace of a good back end of the pool, from those whose pace
// is known: a back end that nothing is known of gets a chance. It is pure.
func typicalPace(pool []fleet.Backend, now time.Time) time.Duration {
	var paces []time.Duration
	for i := range pool {
		if known := knownPace(&pool[i], now); known > 0 {
			paces = append(paces, known)
		}
	}
	if len(paces) == 0 {
		return usualPace
	}
	slices.Sort(paces)
	return paces[int(typicalQuantile*float64(len(paces)))]
}

package batch

import (
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

const (
	// paceGaps is the number of gaps between events over which pace is averaged. Single gaps
	// are no measure of the backend, since a busy node reads several events at once.
	paceGaps = 8
	// minPaceGaps is the minimum number of gaps.
	minPaceGaps = 4
)

// paceWindow measures the pace of a run, which is the mean time between events, over its
// latest events.
type paceWindow struct {
	arrivals [paceGaps + 1]time.Time
	count    int
}

// add records the arrival of an event and returns the current pace. known is false until
// enough events have arrived.
func (w *paceWindow) add(now time.Time) (pace time.Duration, known bool) {
	w.arrivals[w.count%len(w.arrivals)] = now
	w.count++
	gaps := min(w.count-1, paceGaps)
	if gaps < minPaceGaps {
		return 0, false
	}
	first := w.arrivals[(w.count-1-gaps)%len(w.arrivals)]
	return now.Sub(first) / time.Duration(gaps), true
}

const (
	// defaultPace is the assumed pace if no backend has a known one.
	defaultPace = 40 * time.Millisecond
	// paceMemory is the maximum age of a pace measurement for choosing a backend.
	paceMemory = 8 * time.Second
	// typicalQuantile is the quantile of the known paces that counts as typical. The minimum
	// is not used, since it is often a wrong measurement.
	typicalQuantile = 0.25
)

// pace returns the pace of a backend, or typical if it is not known.
func pace(backend *fleet.Backend, typical time.Duration, now time.Time) time.Duration {
	if known := knownPace(backend, now); known > 0 {
		return known
	}
	return typical
}

// knownPace returns the recently measured pace of a backend, otherwise its lifetime pace, or 0
// if neither is known.
func knownPace(backend *fleet.Backend, now time.Time) time.Duration {
	switch {
	case backend.Pace > 0 && now.Sub(backend.PaceAt) <= paceMemory:
		return backend.Pace
	case backend.LifetimePace.Known():
		return backend.LifetimePace.Pace
	}
	return 0
}

// typicalPace returns the typicalQuantile of the known paces in the pool, or defaultPace if
// there are none.
func typicalPace(pool []fleet.Backend, now time.Time) time.Duration {
	var paces []time.Duration
	for i := range pool {
		if known := knownPace(&pool[i], now); known > 0 {
			paces = append(paces, known)
		}
	}
	if len(paces) == 0 {
		return defaultPace
	}
	slices.Sort(paces)
	return paces[int(typicalQuantile*float64(len(paces)))]
}

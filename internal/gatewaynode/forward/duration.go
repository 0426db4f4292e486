package forward

import (
	"sync"
	"time"
)

// durations estimates for each route how long its requests take at most, from their arrival to the
// end of the response, as TCP estimates its retransmission timeout (RFC 6298): an average and
// several average deviations from it. It is safe for concurrent use.
type durations struct {
	mu      *sync.Mutex
	byRoute map[string]duration
}

// duration is the average of a route's durations and their average deviation from it.
type duration struct{ mean, deviation time.Duration }

func newDurations() durations {
	return durations{mu: &sync.Mutex{}, byRoute: make(map[string]duration)}
}

const (
	// meanWeight and deviationWeight are the weights of a new duration in the averages.
	meanWeight      = 0.125
	deviationWeight = 0.25
	// deviations is how many average deviations are added to the average.
	deviations = 4
)

// observe records how long a request took.
func (d durations) observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, known := d.byRoute[route]
	switch {
	case known:
		difference := took - before.mean
		before.mean += time.Duration(meanWeight * float64(difference))
		before.deviation += time.Duration(deviationWeight * float64(difference.Abs()-before.deviation))
		d.byRoute[route] = before
	case len(d.byRoute) < maxRoutes:
		d.byRoute[route] = duration{mean: took, deviation: took / 2}
	}
}

// bound returns how long a request of a route is expected to take at most, 0 if not known.
func (d durations) bound(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.byRoute[route]
	return known.mean + deviations*known.deviation
}

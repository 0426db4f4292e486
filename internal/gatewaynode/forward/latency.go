package forward

import (
	"sync"
	"time"
)

// latencies learns how long whole answers of each route usually take. Back ends have
// one latency for all routes, which says little where some are answered in no time.
// It is safe for concurrent use.
type latencies struct {
	mu      *sync.Mutex
	byRoute map[string]time.Duration
	// free holds how long answers take of back ends that had a free place.
	free map[string]time.Duration
}

func newLatencies() latencies {
	return latencies{mu: &sync.Mutex{}, byRoute: make(map[string]time.Duration), free: make(map[string]time.Duration)}
}

const (
	// latencyWeight is the weight of a new answer in the moving average.
	latencyWeight = 0.1
	// routesMost is how many routes are kept apart; a configuration adds and drops them.
	routesMost = 1000
)

// observe takes the time of a whole answer, and whether its back end had a free place.
func (l latencies) observe(route string, took time.Duration, free bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	learn(l.byRoute, route, took)
	if free {
		learn(l.free, route, took)
	}
}

// learn takes a measurement into the moving average of a route.
func learn(averages map[string]time.Duration, route string, took time.Duration) {
	before, known := averages[route]
	switch {
	case known:
		averages[route] = before + time.Duration(latencyWeight*float64(took-before))
	case len(averages) < routesMost:
		averages[route] = took
	}
}

// work returns how long an answer of a route takes of a back end with a free place, 0 if
// that is not known.
func (l latencies) work(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.free[route]
}

// usual returns how long an answer of a route usually takes, 0 if it is not known.
func (l latencies) usual(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRoute[route]
}

package forward

import (
	"sync"
	"time"
)

// latencies learns how long whole answers of each route usually take. Back ends have one
// latency for all routes, which says little of a route where some are answered in no time.
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

// relative returns what an answer of a route says of its back end: how long it would have
// taken, had it been one of those that take usualLatency. Routes whose answers take long
// by themselves, or end with their time, say nothing against who gave them, and those
// whose answers take next to no time say little: a connect doubles it.
func (l latencies) relative(route string, took time.Duration) time.Duration {
	usual := l.usual(route)
	if usual <= 0 {
		return usualLatency
	}
	return time.Duration(float64(usualLatency) * float64(took+usualLatency) / float64(usual+usualLatency))
}

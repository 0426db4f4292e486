package forward

import (
	"sync"
	"time"
)

// latencies learns how long whole answers of each route, or each service, usually take.
// Back ends have one latency for all routes, which says little of a route where some are
// answered in no time; what is not known of a back end is taken from its service.
// It is safe for concurrent use.
type latencies struct {
	mu      *sync.Mutex
	byRoute map[string]time.Duration
}

func newLatencies() latencies {
	return latencies{mu: &sync.Mutex{}, byRoute: make(map[string]time.Duration)}
}

const (
	// latencyWeight is the weight of a new answer in the moving average.
	latencyWeight = 0.1
	// routesMost is how many routes are kept apart; a configuration adds and drops them.
	routesMost = 1000
)

// observe takes the time of a whole answer.
func (l latencies) observe(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.byRoute[route]
	switch {
	case known:
		l.byRoute[route] = before + time.Duration(latencyWeight*float64(took-before))
	case len(l.byRoute) < routesMost:
		l.byRoute[route] = took
	}
}

// usual returns how long an answer of a route usually takes, 0 if it is not known.
func (l latencies) usual(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRoute[route]
}

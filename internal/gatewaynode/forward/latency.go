package forward

import (
	"sync"
	"time"
)

// latencies keeps moving averages of the response times of each route. The latency of a
// backend, which is one for all routes, says little about routes that differ from the rest. It
// is safe for concurrent use.
type latencies struct {
	mu      *sync.Mutex
	byRoute map[string]time.Duration
	// free holds the response times of backends that had a free slot.
	free map[string]time.Duration
}

func newLatencies() latencies {
	return latencies{mu: &sync.Mutex{}, byRoute: make(map[string]time.Duration), free: make(map[string]time.Duration)}
}

const (
	// latencyWeight is the weight of a new response in the moving average.
	latencyWeight = 0.1
	// maxRoutes bounds the number of routes kept, since routes come and go with configurations.
	maxRoutes = 1000
)

// observe records the time of a complete response and whether its backend had a free slot.
func (l latencies) observe(route string, took time.Duration, free bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	learn(l.byRoute, route, took)
	if free {
		learn(l.free, route, took)
	}
}

// learn updates the moving average of a route.
func learn(averages map[string]time.Duration, route string, took time.Duration) {
	before, known := averages[route]
	switch {
	case known:
		averages[route] = before + time.Duration(latencyWeight*float64(took-before))
	case len(averages) < maxRoutes:
		averages[route] = took
	}
}

// serviceTime returns the response time of a route at backends with a free slot, 0 if not
// known.
func (l latencies) serviceTime(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.free[route]
}

// usual returns the usual response time of a route, 0 if not known.
func (l latencies) usual(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byRoute[route]
}

// normalized returns the response time scaled to a route that usually takes defaultLatency, as
// a measure of the backend alone. So routes that always take long do not count against the
// backend. Adding defaultLatency to both times damps the noise of very fast routes, whose
// time a single connect doubles.
func (l latencies) normalized(route string, took time.Duration) time.Duration {
	usual := l.usual(route)
	if usual <= 0 {
		return defaultLatency
	}
	return time.Duration(float64(defaultLatency) * float64(took+defaultLatency) / float64(usual+defaultLatency))
}

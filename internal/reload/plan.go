package reload

import (
	"sort"

	"github.com/sliplift/sliplift/internal/fleet"
)

// parallelMost is how many back ends of a service load at once: with more, each
// load takes longer.
const parallelMost = 2

// step is an order that the plan wants given.
type step struct {
	backend fleet.Backend
	model   string
	version int64
}

// plan returns the orders to be given next, most urgent first. named maps a
// model to its newest version; busy holds the back ends that an order is under
// way at. It is pure.
//
// A back end with place p among its service's, ordered by id, belongs to half
// p mod 2. A version v goes to half v mod 2; the other half is only brought up to
// v - 1, the oldest version that a new step takes.
func plan(backends []fleet.Backend, named map[string]int64, busy map[string]bool) []step {
	places, loading := census(backends, busy)
	var steps []step
	for _, backend := range backends {
		if busy[backend.ID] || backend.Draining {
			continue
		}
		if next, wanted := nextLoad(backend, named, places[backend.ID]); wanted {
			steps = append(steps, next)
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return lag(steps[i], named) > lag(steps[j], named) })
	var allowed []step
	for _, next := range steps {
		service := next.backend.Service
		if loading[service] < parallelMost {
			loading[service]++
			allowed = append(allowed, next)
		}
	}
	return allowed
}

// census returns each back end's place in its service, and how many of a
// service are loading.
func census(backends []fleet.Backend, busy map[string]bool) (places, loading map[string]int) {
	places = make(map[string]int)
	loading = make(map[string]int)
	count := make(map[string]int)
	for _, backend := range backends {
		if len(backend.Models) == 0 {
			continue
		}
		places[backend.ID] = count[backend.Service]
		count[backend.Service]++
		if busy[backend.ID] {
			loading[backend.Service]++
		}
	}
	return places, loading
}

// nextLoad returns the load that a back end needs most.
func nextLoad(backend fleet.Backend, named map[string]int64, place int) (step, bool) {
	best := step{}
	for model, held := range backend.Models {
		newest := named[model]
		if held >= newest || !due(held, newest, place) {
			continue
		}
		next := step{backend: backend, model: model, version: newest}
		if best.model == "" || newest-held > best.version-backend.Models[best.model] ||
			newest-held == best.version-backend.Models[best.model] && model < best.model {
			best = next
		}
	}
	return best, best.model != ""
}

// due tells whether a back end that holds a version has to load the newest one.
func due(held, newest int64, place int) bool {
	return held < newest-1 || newest%2 == int64(place%2)
}

// lag returns how many versions a step's back end is behind.
func lag(next step, named map[string]int64) int64 {
	return named[next.model] - next.backend.Models[next.model]
}

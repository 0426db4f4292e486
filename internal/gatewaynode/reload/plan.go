package reload

import (
	"math"
	"sort"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// step is an order that the plan wants given.
type step struct {
	backend fleet.Backend
	model   string
	version int64
	// atOnce is how many orders were under way when it was given.
	atOnce int
}

// planInput is what orders are planned from.
type planInput struct {
	backends []fleet.Backend
	// world is what is decided by which of them may get an order.
	world *eligibility.Snapshot
	// named maps a model to its newest version.
	named map[string]int64
	// shares says which model each back end is for.
	shares map[string]string
	// busy holds the back ends that an order is under way at, resting those that are
	// left alone for the time being.
	busy, resting map[string]bool
	// widths maps a model to the most items that one of its jobs had lately; a model that
	// is missing needs all of its back ends.
	widths map[string]int
	// parallel tells how many of a service, which has a number of back ends, may load
	// at once.
	parallel func(service string, backends int) int
}

// plan returns the orders to be given next, most urgent first. It is pure.
//
// A back end with place p among those of its model, ordered by id, belongs to
// half p mod 2. A version v goes to half v mod 2; the other half is only brought
// up to v - 1, the oldest version that a new step takes. Where a model has more back
// ends than its jobs can use, those with the highest places are left as they are: they
// move up, and load, when others go.
func plan(in planInput) []step {
	usable := usable(in.backends, in.world)
	places, members, loading := census(usable, in.shares, in.busy)
	var steps []step
	for _, backend := range usable {
		if in.busy[backend.ID] || in.resting[backend.ID] || !in.world.Eligible(&backend, Wants) {
			continue
		}
		model := in.shares[backend.ID]
		held, holds := backend.Models[model]
		newest := in.named[model]
		if places[backend.ID] >= halves*needed(in.widths[model], backend.Slots) {
			continue
		}
		if holds && held < newest && due(held, newest, places[backend.ID]) {
			steps = append(steps, step{backend: backend, model: model, version: newest})
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return lag(steps[i]) > lag(steps[j]) })
	var allowed []step
	for _, next := range steps {
		service := next.backend.Service
		if loading[service] < in.parallel(service, members[service]) {
			loading[service]++
			allowed = append(allowed, next)
		}
	}
	return allowed
}

const (
	// halves is how many halves of a model's back ends take turns in loading.
	halves = 2
	// jobsOpen is how many jobs of a model are open at a time: trainers ask ahead.
	jobsOpen = 2
	// fill is the share of its slots up to which a back end that is kept new should be
	// used: a full one is slower, and one of three may be lost.
	fill = 0.5
)

// needed returns how many back ends with so many slots one half of a model's should
// have for jobs of a width; without a known width, more than there are.
func needed(width, slots int) int {
	if width <= 0 || slots <= 0 {
		return math.MaxInt / halves
	}
	return int(math.Ceil(jobsOpen * float64(width) / (fill * float64(slots))))
}

// census returns each back end's place among those of its model, how many a
// service has, and how many of these are loading.
func census(backends []fleet.Backend, shares map[string]string, busy map[string]bool) (places, members, loading map[string]int) {
	places = make(map[string]int)
	members = make(map[string]int)
	loading = make(map[string]int)
	count := make(map[string]int)
	for _, backend := range backends {
		if len(backend.Models) == 0 {
			continue
		}
		group := backend.Service + "\x00" + shares[backend.ID]
		places[backend.ID] = count[group]
		count[group]++
		members[backend.Service]++
		if busy[backend.ID] {
			loading[backend.Service]++
		}
	}
	return places, members, loading
}

// due tells whether a back end that holds a version has to load the newest one.
func due(held, newest int64, place int) bool {
	return held < newest-1 || newest%2 == int64(place%2)
}

// lag returns how many versions a step's back end is behind.
func lag(next step) int64 { return next.version - next.backend.Models[next.model] }

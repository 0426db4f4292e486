package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// candidate is an item that could be started, or be moved to a faster back end.
type candidate struct {
	job   *ownedJob
	index int
	route *routetable.Route
	// priority goes before rank, 0 the highest: that of the job's tenant or, if it has
	// none, of the route.
	priority int
	// rank orders candidates, the highest first.
	rank   float64
	moving bool
}

// schedule starts what can be started of all jobs and moves what runs on slow back
// ends, the longest expected first: a step waits for its longest items, and jobs
// share the back ends.
func (r *runner) schedule() {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.newPools(time.Now())
	r.scheduleScores(p)
	if r.waitingForScore() >= scoringMost {
		return
	}
	var list []candidate
	for _, job := range r.jobs {
		if !job.active() {
			continue
		}
		if route := r.route(job.spec); route != nil {
			list = r.appendCandidates(list, job, route, p)
		}
	}
	sortCandidates(list)
	for _, c := range list {
		if c.moving {
			r.moveItem(c, p)
			continue
		}
		r.scheduleItem(c, p)
	}
}

// urgentRank is above that of all expected lengths.
const urgentRank = 1e12

func (r *runner) appendCandidates(list []candidate, job *ownedJob, route *routetable.Route, p *pools) []candidate {
	priority := rankOf(p.config, job.tenant, route)
	for _, index := range job.order {
		item := &job.items[index]
		c := candidate{job: job, index: index, route: route, priority: priority, rank: float64(job.spec.Items[index].LengthHint)}
		switch item.phase {
		case phaseWaiting:
			if !item.trial && p.world.HeldEnds(item.work) > 0 {
				r.noteQuarantined(job, index, p)
				continue
			}
			if item.urgent {
				c.rank += urgentRank
			}
			list = append(list, c)
		case phaseRunning:
			// A quarantined item runs for its trial alone, which is not given twice.
			if !p.of(route, index).uneven || !movable(item, p.now) || p.world.HeldEnds(item.work) > 0 {
				continue
			}
			c.moving = true
			if p.now.Sub(item.firstStart) > longRun {
				c.rank += urgentRank
			}
			list = append(list, c)
		}
	}
	return list
}

// rankOf returns the rank of what is done on behalf of a tenant on a route, 0 the highest.
func rankOf(config *routetable.Table, tenant string, route *routetable.Route) int {
	if config == nil {
		return route.Priority
	}
	return config.Tenants.Named(tenant).Rank(route.Priority)
}

// rank is rankOf by the configuration in force.
func (r *runner) rank(tenant string, route *routetable.Route) int {
	return rankOf(r.manager.config.Routes(), tenant, route)
}

// sortCandidates orders candidates by priority, then by rank, equals by the age of their
// jobs.
func sortCandidates(list []candidate) {
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.rank, a.rank), cmp.Compare(a.job.head.SubmittedMillis, b.job.head.SubmittedMillis))
	})
}

// pools are the back ends of each service as one round of decisions sees them:
// what the round gives out is counted in them.
type pools struct {
	fleet    *fleet.Fleet
	reach    Reach
	now      time.Time
	services map[string]*pool
	// config tells of the services' memories, nil if none is known; used is what the
	// runs of this node hold, by back end.
	config *routetable.Table
	used   map[string]usage
	// world is what the round decides by; given counts what it and those before it gave to
	// each back end and what has not taken its turn there yet.
	world *eligibility.World
	given map[string]int
	// demands is what is left to do of each job.
	demands map[*ownedJob]*demand
}

// pool is the back ends of one service.
type pool struct {
	backends []fleet.Backend
	// eventTokens is how many tokens an event of a stream holds.
	eventTokens int
	// typical is the least pace that is known; uneven tells that some work at a
	// pace at which moving is worth while.
	typical time.Duration
	uneven  bool
	// full holds the needs that no back end has room for; passed counts the items
	// that were left waiting in this round.
	full   map[need]bool
	passed int
}

func (r *runner) newPools(now time.Time) *pools {
	p := &pools{
		fleet: r.manager.config.Fleet, reach: r.manager.config.Reach, now: now, services: make(map[string]*pool),
		config: r.manager.config.Routes(), used: r.usages(), demands: make(map[*ownedJob]*demand),
		world: r.manager.config.Gate.World(now), given: r.unsent.snapshot(),
	}
	p.world.Turns = p.turnsLeft(p.world.Turns)
	return p
}

// turnsLeft returns turns less what was given out.
func (p *pools) turnsLeft(turns func(*fleet.Backend) int) func(*fleet.Backend) int {
	return func(b *fleet.Backend) int {
		left := turns(b)
		if left == coldstart.Unbounded {
			return left
		}
		return left - p.given[b.ID]
	}
}

// give counts a request that the round gives to a back end.
func (p *pools) give(b *fleet.Backend) {
	b.InFlight++
	p.given[b.ID]++
}

// of returns the back ends that an item of a route may run at.
func (p *pools) of(route *routetable.Route, index int) *pool {
	return p.service(route.Pick(uint64(index), 0))
}

// service returns the back ends of a service.
func (p *pools) service(service string) *pool {
	found, known := p.services[service]
	if known {
		return found
	}
	found = &pool{backends: p.fleet.Service(service, p.now), full: make(map[need]bool)}
	if p.config != nil {
		configured := p.config.Services[service]
		found.eventTokens = configured.EventTokens
		fillMemory(found.backends, configured, p.used)
	}
	for i := range found.backends {
		found.backends[i].InFlight += p.used[found.backends[i].ID].reserved
	}
	p.reach.Fill(found.backends, p.now)
	found.typical = typicalPace(found.backends, p.now)
	for i := range found.backends {
		b := &found.backends[i]
		if b.InFlight > 0 && float64(b.Pace) > moveRatioLong*float64(found.typical) && p.now.Sub(b.PaceAt) <= paceFresh {
			found.uneven = true
		}
	}
	p.services[service] = found
	return found
}

// needOf returns what an item wants of a back end.
func (r *runner) needOf(c candidate, pool *pool) need {
	want := need{Request: r.requestOf(c.job, c.index, c.route)}
	want.held, want.expected = r.itemMemory(c.job, c.index, pool.eventTokens)
	return want
}

// requestOf returns what decides which back ends may get an item. The lock is held.
func (r *runner) requestOf(job *ownedJob, index int, route *routetable.Route) eligibility.Request {
	return eligibility.Request{
		Regions: r.regions(route, job.tenant), Patient: true,
		Model: job.spec.Model, Weights: true, MinVersion: job.spec.MinVersion,
		Version: job.items[index].text.only(route.SingleVersion),
	}
}

// regions returns where a tenant's requests on a route may be served.
func (r *runner) regions(route *routetable.Route, tenant string) place.Regions {
	table := r.manager.config.Routes()
	if table == nil {
		return route.Regions
	}
	return table.RegionsOf(route, tenant)
}

// scheduleItem starts an item if a back end has room that is worth taking.
func (r *runner) scheduleItem(c candidate, p *pools) {
	pool := p.of(c.route, c.index)
	item := &c.job.items[c.index]
	want := r.needOf(c, pool)
	want.avoid = item.avoid
	want.short = item.short && len(item.text.events) == 0
	want.patient = !item.urgent && awaited(pool.backends) && p.demands[c.job].patient(r.lengthLeft(c.job, c.index))
	if r.goToTarget(c, pool, want, p) {
		p.demands[c.job].running++
		return
	}
	if pool.full[want] {
		return
	}
	place := pickBackend(pool.backends, want, pool.typical, p.world)
	if place < 0 {
		pool.full[want] = true
		r.noteHeld(c, pool, want, p)
		return
	}
	b := &pool.backends[place]
	slow := pace(b, pool.typical, p.now)
	if float64(slow) > moveRatio*float64(pool.typical) {
		events := r.lengths.expected(c.job.spec.Items[c.index].LengthHint) - float64(len(item.text.events))
		slots := fastSlots(pool.backends, want, pool.typical, p.world)
		if !worthStarting(events, slow, pool.typical, r.lengths.wait(pool.passed, slots)) {
			pool.passed++
			return
		}
	}
	p.give(b)
	takeIdle(b)
	takeMemory(b, want)
	p.demands[c.job].running++
	item.urgent = false
	r.launch(c.job, c.index, c.route, *b)
}

// takeIdle counts an idle connection of a back end that a call will use, if there is one.
func takeIdle(b *fleet.Backend) { b.Reach.Idle = max(b.Reach.Idle-1, 0) }

// goToTarget starts an item that was moved at the back end that it was moved to, and
// tells whether it did. If that will not do any more, the item goes where others go.
func (r *runner) goToTarget(c candidate, pool *pool, want need, p *pools) bool {
	item := &c.job.items[c.index]
	place := slices.IndexFunc(pool.backends, func(b fleet.Backend) bool { return b.ID == item.target })
	item.target = ""
	if place < 0 {
		return false
	}
	b := &pool.backends[place]
	b.InFlight--
	if !suits(b, want, p.world) {
		return false
	}
	p.give(b)
	takeMemory(b, want)
	item.urgent = false
	r.launch(c.job, c.index, c.route, *b)
	return true
}

// worthStarting tells whether an item of expected events should start at a slow
// back end now rather than wait for a fast one. It is pure.
func worthStarting(events float64, slow, fast, wait time.Duration) bool {
	return events*float64(slow-fast) <= float64(wait)
}

// fastSlots returns the slots of the back ends that an item may run at, now or
// once one is free, which are not slow. It is pure.
func fastSlots(backends []fleet.Backend, want need, typical time.Duration, world *eligibility.World) int {
	slots := 0
	for i := range backends {
		b := &backends[i]
		if fits(b, want, world) && float64(pace(b, typical, world.Now)) <= moveRatio*float64(typical) {
			slots += b.Slots
		}
	}
	return slots
}

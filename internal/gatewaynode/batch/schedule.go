package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/quarantine"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// candidate is a waiting item that can be started or a running item that can be moved to
// a faster backend.
type candidate struct {
	job   *ownedJob
	index int
	route *routetable.Route
	// priority is that of the job's tenant or, if it has none, of the route. 0 is the
	// highest. It takes precedence over weight.
	priority int
	// weight orders candidates of equal priority, highest first.
	weight float64
	// moving is set if the item is running and is to be moved.
	moving bool
}

// schedule starts waiting items of all jobs and moves items away from slow backends. Items
// that are expected to be the longest come first, since they determine how long a job takes.
func (r *runner) schedule() {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.newSchedulingRound(time.Now())
	r.scheduleScores(p)
	if r.waitingForScore() >= maxScoring {
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

// urgentWeight is added to the weight of urgent items and of items that have been running for
// more than longRun. It exceeds any length hint.
const urgentWeight = 1e12

// appendCandidates appends the candidates of a job to list. The caller holds r.mu.
func (r *runner) appendCandidates(list []candidate, job *ownedJob, route *routetable.Route, p *schedulingRound) []candidate {
	priority := priorityOf(p.config, job.tenant, route)
	for _, index := range job.order {
		item := &job.items[index]
		c := candidate{job: job, index: index, route: route, priority: priority, weight: float64(job.spec.Items[index].LengthHint)}
		switch item.phase {
		case phaseWaiting:
			if r.backsOff(job, index, item.work, p) {
				continue
			}
			if item.urgent {
				c.weight += urgentWeight
			}
			list = append(list, c)
		case phaseRunning:
			if !p.of(route, index).uneven || !movable(item, p.now) {
				continue
			}
			c.moving = true
			if p.now.Sub(item.firstStart) > longRun {
				c.weight += urgentWeight
			}
			list = append(list, c)
		}
	}
	return list
}

// priorityOf returns the priority of a tenant's requests on a route. 0 is the highest.
func priorityOf(config *routetable.Table, tenant string, route *routetable.Route) int {
	if config == nil {
		return route.Priority
	}
	return config.Tenants.Named(tenant).Rank(route.Priority)
}

// priority returns the priority of a tenant's requests on a route in the current
// configuration.
func (r *runner) priority(tenant string, route *routetable.Route) int {
	return priorityOf(r.manager.config.Routes(), tenant, route)
}

// sortCandidates sorts candidates by priority, then by weight, then by the submission time of
// their jobs.
func sortCandidates(list []candidate) {
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.weight, a.weight), cmp.Compare(a.job.head.SubmittedMillis, b.job.head.SubmittedMillis))
	})
}

// schedulingRound holds the backends of each service during one scheduling round. It accounts
// for the requests that the round assigns.
type schedulingRound struct {
	fleet    *fleet.Fleet
	reach    Reach
	now      time.Time
	services map[string]*serviceBackends
	// config is the current configuration, nil if there is none.
	config *routetable.Table
	// used is the token usage of this node's runs by backend ID.
	used     map[string]usage
	snapshot *eligibility.Snapshot
	// assigned counts, by backend ID, the requests that were assigned in this or an earlier
	// round and have not been sent yet. eligibility.Snapshot.ColdRequestsLeft does not count
	// them, so coldRequestsLeft subtracts them.
	assigned map[string]int
	// backoff returns the backoff of a request under which backends failed; nil means that there
	// is none.
	backoff func(fingerprint.Fingerprint) quarantine.Backoff
	// demands holds the remaining work of each job.
	demands map[*ownedJob]*demand
}

// serviceBackends holds the backends of one service.
type serviceBackends struct {
	backends []fleet.Backend
	// eventTokens is the number of tokens per stream event.
	eventTokens int
	// typical is the result of typicalPace.
	typical time.Duration
	// uneven is set if a backend in use is slow enough for runs to be moved away.
	uneven bool
	// full holds the needs for which no backend was found in this round.
	full map[need]bool
	// postponed counts the items that this round left waiting for a faster backend.
	postponed int
}

func (r *runner) newSchedulingRound(now time.Time) *schedulingRound {
	p := &schedulingRound{
		fleet: r.manager.config.Fleet, reach: r.manager.config.Reach, now: now, services: make(map[string]*serviceBackends),
		config: r.manager.config.Routes(), used: r.usages(), demands: make(map[*ownedJob]*demand),
		snapshot: r.manager.config.Gate.Snapshot(now), assigned: r.unsent.snapshot(), backoff: r.manager.config.Backoff,
	}
	p.snapshot.ColdRequestsLeft = p.coldRequestsLeft(p.snapshot.ColdRequestsLeft)
	return p
}

// coldRequestsLeft wraps requestsLeft to subtract the requests in p.assigned.
func (p *schedulingRound) coldRequestsLeft(requestsLeft func(*fleet.Backend) int) func(*fleet.Backend) int {
	return func(b *fleet.Backend) int {
		left := requestsLeft(b)
		if left == coldstart.Unbounded {
			return left
		}
		return left - p.assigned[b.ID]
	}
}

// assign records that the round assigned a request to b.
func (p *schedulingRound) assign(b *fleet.Backend) {
	b.InFlight++
	p.assigned[b.ID]++
}

// of returns the backends of the service that serves the item at index of a job on route.
func (p *schedulingRound) of(route *routetable.Route, index int) *serviceBackends {
	return p.service(route.Pick(uint64(index), 0))
}

// service returns the backends of a service, loading them on first use in the round.
func (p *schedulingRound) service(service string) *serviceBackends {
	found, known := p.services[service]
	if known {
		return found
	}
	found = &serviceBackends{backends: p.fleet.Service(service, p.now), full: make(map[need]bool)}
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

// needOf returns the requirements of a candidate. The caller holds r.mu.
func (r *runner) needOf(c candidate, pool *serviceBackends) need {
	want := need{Request: r.requestOf(c.job, c.index, c.route)}
	want.held, want.expected = r.itemMemory(c.job, c.index, pool.eventTokens)
	return want
}

// requestOf returns the request by which eligibility is decided for an item. The caller
// holds r.mu.
func (r *runner) requestOf(job *ownedJob, index int, route *routetable.Route) eligibility.Request {
	return eligibility.Request{
		Regions: r.regions(route, job.tenant), Durable: true,
		Model: job.spec.Model, Weights: true, MinVersion: job.spec.MinVersion,
		Version: job.items[index].text.requiredVersion(route.SingleVersion),
	}
}

// regions returns the regions in which a tenant's requests on a route may be served.
func (r *runner) regions(route *routetable.Route, tenant string) place.Regions {
	table := r.manager.config.Routes()
	if table == nil {
		return route.Regions
	}
	return table.RegionsOf(route, tenant)
}

// scheduleItem starts a waiting item if a backend has room and starting there is faster than
// waiting for a better one. The caller holds r.mu.
func (r *runner) scheduleItem(c candidate, p *schedulingRound) {
	pool := p.of(c.route, c.index)
	item := &c.job.items[c.index]
	want := r.needOf(c, pool)
	want.avoid = item.avoid
	want.short = item.short && len(item.text.events) == 0
	want.idleOnly = !item.urgent && awaited(pool.backends) && p.demands[c.job].patient(r.lengthLeft(c.job, c.index))
	if r.goToTarget(c, pool, want, p) {
		p.demands[c.job].running++
		return
	}
	if pool.full[want] {
		return
	}
	chosen := pickBackend(pool.backends, want, pool.typical, p.snapshot)
	if chosen < 0 {
		pool.full[want] = true
		r.logHeld(c, pool, want, p)
		return
	}
	b := &pool.backends[chosen]
	slow := pace(b, pool.typical, p.now)
	if float64(slow) > moveRatio*float64(pool.typical) {
		events := r.lengths.expected(c.job.spec.Items[c.index].LengthHint) - float64(len(item.text.events))
		slots := fastSlots(pool.backends, want, pool.typical, p.snapshot)
		if !worthStarting(events, slow, pool.typical, r.lengths.wait(pool.postponed, slots)) {
			pool.postponed++
			return
		}
	}
	p.assign(b)
	takeIdle(b)
	takeMemory(b, want)
	p.demands[c.job].running++
	item.urgent = false
	r.startRun(c.job, c.index, c.route, *b)
}

// takeIdle accounts for the idle connection that a call to b will use, if there is one.
func takeIdle(b *fleet.Backend) { b.Reach.Idle = max(b.Reach.Idle-1, 0) }

// goToTarget starts a moved item at its target backend and reports whether it did. If the
// target can no longer run the item, the caller places it like any other. The caller holds
// r.mu.
func (r *runner) goToTarget(c candidate, pool *serviceBackends, want need, p *schedulingRound) bool {
	item := &c.job.items[c.index]
	chosen := slices.IndexFunc(pool.backends, func(b fleet.Backend) bool { return b.ID == item.target })
	item.target = ""
	if chosen < 0 {
		return false
	}
	b := &pool.backends[chosen]
	b.InFlight--
	if !suits(b, want, p.snapshot) {
		return false
	}
	p.assign(b)
	takeMemory(b, want)
	item.urgent = false
	r.startRun(c.job, c.index, c.route, *b)
	return true
}

// worthStarting reports whether an item with the given number of expected events finishes no
// later if it starts now at pace slow than if it waits and then runs at pace fast.
func worthStarting(events float64, slow, fast, wait time.Duration) bool {
	return events*float64(slow-fast) <= float64(wait)
}

// fastSlots returns the total number of slots, free or not, of the backends that may run an
// item and are not slow.
func fastSlots(backends []fleet.Backend, want need, typical time.Duration, snapshot *eligibility.Snapshot) int {
	slots := 0
	for i := range backends {
		b := &backends[i]
		if fits(b, want, snapshot) && float64(pace(b, typical, snapshot.Now)) <= moveRatio*float64(typical) {
			slots += b.Slots
		}
	}
	return slots
}

package experiment

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/emulator/batch"
	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/limits"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
	"github.com/sliplift/sliplift/internal/settings"
)

const (
	// refusedPause is the wait after a refusal.
	refusedPause = 100 * time.Millisecond
	// refusalsInTurn is how many engines are asked before such a wait. The
	// product takes refusals from the retry budget; here they are free, which
	// favours the policies that are refused most.
	refusalsInTurn = 16
	// unreachableAfter is how long a connection attempt over a cut takes.
	unreachableAfter = time.Second
	// silentAfter is how long a node waits for a stream that has gone silent.
	silentAfter = 2 * time.Second
)

// router is where requests are given to engines: a node with its own view of
// them, or the lease holder that all nodes go through.
type router struct {
	sim    *simulation
	name   string
	zone   int
	policy routing.Policy
	pool   routing.Pool
	// engines holds the engine of each back end of the pool, position the
	// reverse, -1 for engines that the node does not use.
	engines  []*engine
	position []int
	queue    requestQueue
	budget   *limits.RetryBudget
}

func (s *simulation) newRouter(name string, zone, subset int) *router {
	policy, err := routing.NewPolicy(routing.PolicyName(s.plan.Routing), s.seed*1000+int64(len(s.routers)))
	if err != nil {
		panic("experiment: " + err.Error())
	}
	r := &router{
		sim: s, name: name, zone: zone, policy: policy,
		budget: limits.NewRetryBudget(limits.DefaultRetryRatio, limits.DefaultRetryMinimum, limits.DefaultRetryBurst, s.instant()),
	}
	r.use(subset)
	if s.plan.With.Has(settings.MechanismQuiet) {
		r.markQuiet()
	}
	s.routers = append(s.routers, r)
	s.every(s.scenario.PollInterval, r.poll)
	return r
}

// use chooses the engines that the node uses, as the product's nodes do.
func (r *router) use(subset int) {
	s := r.sim
	configured := make([]configlog.Backend, len(s.engines))
	for i, e := range s.engines {
		configured[i] = configlog.Backend{Name: e.name, Zone: zoneName(e.zone)}
	}
	usable := func(configlog.Backend) bool { return false }
	used := backend.Subset(configured, r.name, zoneName(r.zone), "", subset, usable)
	r.pool = routing.Pool{Name: poolName, Backends: make([]routing.Backend, len(used))}
	r.position = slices.Repeat([]int{-1}, len(s.engines))
	for i, b := range used {
		e := s.engines[s.engineIndex[b.Name]]
		r.engines = append(r.engines, e)
		r.position[e.index] = i
		r.pool.Backends[i] = routing.Backend{Name: b.Name, Zone: b.Zone, Capacity: s.scenario.Capacity, Version: firstVersion}
	}
}

func (r *router) backend(e *engine) *routing.Backend { return &r.pool.Backends[r.position[e.index]] }

func (r *router) markQuiet() {
	names := make([]string, len(r.sim.engines))
	for i, e := range r.sim.engines {
		names[i] = e.name
	}
	for _, name := range routing.QuietNames(r.pool.Name, names, r.sim.plan.QuietShare) {
		if position := r.position[r.sim.engineIndex[name]]; position >= 0 {
			r.pool.Backends[position].Quiet = true
		}
	}
}

// poll fetches every engine's load report.
func (r *router) poll() {
	for _, e := range r.engines {
		unreachable := e.down || r.sim.cut(e.zone, r.zone)
		r.backend(e).Suspect = unreachable
		if !unreachable {
			r.take(e, e.currentReport())
		}
	}
	r.pump()
}

func (r *router) take(e *engine, load batch.Load) {
	b := r.backend(e)
	b.Running, b.Waiting, b.Version = load.Running, load.Waiting, load.Version
	b.Loading = load.Loading
	b.ReportInFlight = b.InFlight
	b.Reported = true
}

// submit takes a request from a trainer's step or from a caller.
func (r *router) submit(q *request) {
	r.sim.sequence++
	q.sequence = r.sim.sequence
	r.budget.Request(r.sim.instant())
	r.dispatch(q)
}

func (r *router) dispatch(q *request) {
	if !q.live && r.sim.plan.With.Has(settings.MechanismQueue) {
		heap.Push(&r.queue, q)
		r.pump()
		return
	}
	if q.cancelled || r.send(q) {
		return
	}
	q.excluded = nil
	r.sim.stats.Refusals++
	r.sim.after(refusedPause, func() { r.dispatch(q) })
}

// reorder takes in that priorities of waiting requests have changed.
func (r *router) reorder() {
	for _, q := range r.queue {
		if q.urgency != nil {
			q.priority = q.urgency()
		}
	}
	heap.Init(&r.queue)
	r.pump()
}

// pump sends waiting requests as long as there are free slots.
func (r *router) pump() {
	for len(r.queue) > 0 {
		first := r.queue[0]
		if !first.cancelled && !r.send(first) {
			return
		}
		heap.Pop(&r.queue)
	}
}

// send chooses an engine and tells whether there was one.
func (r *router) send(q *request) bool {
	if q.urgency != nil {
		q.priority = q.urgency()
	}
	choice := routing.Request{
		Zone:       zoneName(r.zone),
		Priority:   q.priority,
		PrefixHash: q.prefix,
		Excluded:   q.excluded,
		MinVersion: q.minVersion,
	}
	with := r.sim.plan.With
	if q.live {
		choice.PreferQuiet = with.Has(settings.MechanismQuiet)
	} else if with.Has(settings.MechanismQueue) {
		choice.Admission = &routing.Admission{
			Reserve: r.sim.plan.Reserve, QuietSlots: r.sim.plan.QuietSlots,
		}
	}
	chosen := routing.Choose(r.policy, &r.pool, &choice)
	if !chosen.Found {
		return false
	}
	r.transmit(q, r.sim.engines[r.sim.engineIndex[chosen.Backend.Name]])
	return true
}

// transmit sends the request to the engine.
func (r *router) transmit(q *request, e *engine) {
	r.sim.keys++
	s := &stream{key: batch.Key{RequestID: q.id, Attempt: r.sim.keys}, request: q, engine: e, router: r, sentAt: r.sim.now}
	q.current = s
	q.router = r
	r.backend(e).InFlight++
	if r.sim.cut(e.zone, r.zone) {
		r.sim.after(unreachableAfter, func() { r.broken(s, batch.Progress{}) })
		return
	}
	r.sim.after(r.sim.latency(e.zone, r.zone), func() { e.accept(s) })
}

// release ends a stream on this side and tells whether it had not ended yet.
func (r *router) release(s *stream) bool {
	if s.released {
		return false
	}
	s.released = true
	r.backend(s.engine).InFlight--
	return true
}

func (r *router) started(s *stream, version int64) {
	if !s.released && s.request.started != nil {
		s.request.started(version)
	}
}

func (r *router) ended(s *stream, progress batch.Progress, load batch.Load) {
	if !r.release(s) {
		r.sim.stats.WastedTokens += int64(progress.Tokens)
		return
	}
	if r.sim.plan.With.Has(settings.MechanismAnswers) {
		r.take(s.engine, load)
	}
	q := s.request
	r.absorb(q, progress, s.engine.name)
	q.current = nil
	q.done()
	r.pump()
}

// absorb appends what a stream produced to its request.
func (r *router) absorb(q *request, progress batch.Progress, engine string) {
	q.resumed += progress.Tokens
	q.segments = append(q.segments, segmentsOf(progress, engine)...)
}

// refused tells that the engine's queue is full.
func (r *router) refused(s *stream) {
	if !r.release(s) {
		return
	}
	q := s.request
	q.current = nil
	q.excluded = append(q.excluded, s.engine.name)
	r.sim.stats.Refusals++
	if len(q.excluded) < refusalsInTurn {
		r.dispatch(q)
		return
	}
	r.sim.after(refusedPause, func() {
		q.excluded = nil
		r.dispatch(q)
	})
}

// broken tells that the stream broke off with the progress received; the
// request goes on elsewhere within the retry budget.
func (r *router) broken(s *stream, progress batch.Progress) {
	if !r.release(s) {
		return
	}
	r.backend(s.engine).Suspect = true
	q := s.request
	r.absorb(q, progress, s.engine.name)
	q.current, q.moving, q.imported = nil, false, false
	q.excluded = []string{s.engine.name}
	r.sim.stats.BrokenStreams++
	r.retry(q)
}

func (r *router) retry(q *request) {
	if q.cancelled {
		return
	}
	if r.budget.Retry(r.sim.instant()) {
		r.dispatch(q)
		return
	}
	r.sim.after(refusedPause, func() { r.retry(q) })
}

// cancel gives the request up.
func (r *router) cancel(q *request) {
	q.cancelled = true
	r.sim.stats.WastedTokens += int64(q.resumed)
	s := q.current
	if s == nil || !r.release(s) {
		return
	}
	r.sim.after(r.sim.latency(r.zone, s.engine.zone), func() { s.engine.cancel(s) })
	r.pump()
}

// move exports the request's stream and resumes it at another engine.
func (r *router) move(q *request, to *engine) {
	s := q.current
	if s == nil || q.moving || r.sim.cut(r.zone, s.engine.zone) {
		return
	}
	q.moving = true
	r.sim.after(r.sim.latency(r.zone, s.engine.zone), func() {
		if r.sim.cut(r.zone, s.engine.zone) {
			return
		}
		progress, ok := s.engine.export(s)
		s.engine.reply(s, func() { r.exported(s, progress, ok, to) })
	})
}

func (r *router) exported(s *stream, progress batch.Progress, ok bool, to *engine) {
	q := s.request
	q.moving = false
	if !ok {
		return
	}
	if !r.release(s) {
		r.sim.stats.WastedTokens += int64(progress.Tokens)
		return
	}
	r.sim.stats.Moves++
	r.absorb(q, progress, s.engine.name)
	q.imported = true
	r.transmit(q, to)
	r.pump()
}

// engineLoads returns the view as rollout.PlanMoves takes it.
func (r *router) engineLoads() []rollout.EngineLoad {
	loads := make([]rollout.EngineLoad, len(r.pool.Backends))
	for i := range r.pool.Backends {
		b := &r.pool.Backends[i]
		loads[i] = rollout.EngineLoad{
			Name: b.Name, Streams: b.Estimate(), Slots: b.Capacity, Version: b.Version,
			Closed: b.Suspect || b.Loading != 0,
		}
		if b.Quiet {
			loads[i].Slots = r.sim.plan.QuietSlots
		}
	}
	return loads
}

// poolName is the name of the one pool of engines.
const poolName = "pool"

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func engineName(index int) string { return fmt.Sprintf("engine-%d", index) }

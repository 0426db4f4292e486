package experiment

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
	"github.com/sliplift/sliplift/internal/meshnode/weights"
	"github.com/sliplift/sliplift/internal/settings"
)

const (
	// controlInterval is how often the lease holder looks after the weights.
	controlInterval = 500 * time.Millisecond
	// tailInterval is how often owners look for samples to move.
	tailInterval = 500 * time.Millisecond
	// shareInterval is how often owners tell one another what their steps want.
	shareInterval = 500 * time.Millisecond
	// creditInterval is how often the holder grants credits.
	creditInterval = time.Second
)

// Paths of settings.ExperimentPolicy.
const (
	pathHolder  = "holder"
	pathCredits = "credits"
	pathPeers   = "peers"
)

// simulation is one run of a scenario under one policy and one seed.
type simulation struct {
	clock
	scenario    *settings.Experiment
	plan        *settings.ExperimentPolicy
	seed        int64
	work        workload
	engines     []*engine
	engineIndex map[string]int
	routers     []*router
	holder      *router
	trainers    []*trainer
	rollout     *weights.Rollout
	// version is the pool's, the last that any trainer published.
	version int64
	// cutZone is the zone that is cut off, or -1.
	cutZone  int
	sequence int
	keys     int
	// turn counts the samples that went to nodes in turn.
	turn  int
	live  *liveTraffic
	stats statistics
}

// newSimulation returns a run at time zero. Without training, only the live
// traffic runs.
func newSimulation(scenario *settings.Experiment, plan *settings.ExperimentPolicy, seed int64, training bool) *simulation {
	s := &simulation{
		scenario: scenario, plan: plan, seed: seed, version: firstVersion, cutZone: -1,
		work:        workload{scenario: scenario, seed: seed},
		engineIndex: map[string]int{},
		stats:       newStatistics(),
	}
	for i := range scenario.Engines {
		e := s.newEngine(i)
		s.engines = append(s.engines, e)
		s.engineIndex[e.name] = i
	}
	if plan.Path == pathHolder {
		s.holder = s.newRouter("holder", 0, 0)
	}
	limits := weights.DefaultLimits()
	limits.SwapShare = scenario.SwapShare
	s.rollout = weights.NewRollout(limits)
	s.live = s.newLiveTraffic()
	s.newApplications()
	if training {
		s.startTraining()
	}
	s.scheduleFaults()
	return s
}

func (s *simulation) startTraining() {
	for i := range s.scenario.Trainers {
		s.trainers = append(s.trainers, s.newTrainer(i))
	}
	s.every(controlInterval, s.spreadWeights)
	if s.scenario.WeightInterval > 0 {
		s.after(s.scenario.WeightInterval, func() { s.every(s.scenario.WeightInterval, s.publishAll) })
	}
	if s.plan.With.Has(settings.MechanismMove) {
		s.every(tailInterval, s.moveTails)
	}
	if s.plan.With.Has(settings.MechanismShare) {
		s.every(shareInterval, s.share)
	}
	if s.plan.Path == pathCredits {
		s.every(creditInterval, s.grantCredits)
	}
}

// run plays events until done says so, or until limit.
func (s *simulation) run(limit time.Duration, done func() bool) {
	for s.now <= limit && !done() && s.step() {
	}
}

// trained tells whether every trainer is done.
func (s *simulation) trained() bool {
	for _, t := range s.trainers {
		if !t.done {
			return false
		}
	}
	return true
}

func (s *simulation) latency(from, to int) time.Duration {
	if from == to {
		return s.scenario.LocalLatency
	}
	return s.scenario.ZoneLatency
}

// cut tells whether the network between two zones is cut.
func (s *simulation) cut(a, b int) bool {
	return a != b && s.cutZone >= 0 && (a == s.cutZone || b == s.cutZone)
}

// routerFor returns the router of a new node in the zone.
func (s *simulation) routerFor(zone, subset int) *router {
	if s.holder != nil {
		return s.holder
	}
	return s.newRouter(fmt.Sprintf("node-%d", len(s.routers)), zone, subset)
}

// sampleRouter returns the router that a trainer's next sample goes through.
func (s *simulation) sampleRouter(t *trainer) *router {
	if s.plan.Path != pathPeers {
		return t.router
	}
	s.turn++
	return s.live.routers[s.turn%len(s.live.routers)]
}

// submit brings a request from its node to its router, which is another node
// where requests go through the lease holder.
func (s *simulation) submit(r *router, zone int, q *request) {
	if r != s.holder && s.plan.Path != pathPeers {
		r.submit(q)
		return
	}
	hop := s.latency(zone, r.zone)
	done := q.done
	q.done = func() { s.after(hop, done) }
	s.after(hop, func() { r.submit(q) })
}

// publish makes a version of the pool; it is the next one, whoever trains it.
func (s *simulation) publish(by *trainer) {
	s.version++
	s.stats.Versions++
	by.setVersion(s.version)
	if !s.plan.With.Has(settings.MechanismRerun) {
		return
	}
	for _, t := range s.trainers {
		if t != by {
			t.expectVersion(s.version)
		}
	}
}

// publishAll makes a version that all trainers have at once.
func (s *simulation) publishAll() {
	s.version++
	s.stats.Versions++
	for _, t := range s.trainers {
		t.setVersion(s.version)
	}
}

// spreadWeights orders engines to load, as the lease holder does.
func (s *simulation) spreadWeights() {
	engines := make([]weights.Engine, len(s.engines))
	for i, e := range s.engines {
		report := e.currentReport()
		engines[i] = weights.Engine{
			Name: e.name, Version: report.Version, Loading: report.Loading, Running: report.Running,
			Reachable: !e.down && !s.cut(0, e.zone),
		}
	}
	for _, order := range s.rollout.Step(s.instant(), s.version, false, engines) {
		e := s.engines[s.engineIndex[order.Engine]]
		s.after(s.latency(0, e.zone), func() { e.load(order.Version) })
	}
}

func (s *simulation) moveTails() {
	for _, t := range s.trainers {
		if p := t.steps[t.current]; p != nil {
			p.moveTail()
		}
	}
}

// share plans how many samples of each step may be at engines.
func (s *simulation) share() {
	var open []*step
	var demands []rollout.StepDemand
	for _, t := range s.trainers {
		for number := max(1, t.current); number <= t.posted; number++ {
			if p := t.steps[number]; p != nil && p.started && !p.taken {
				open = append(open, p)
				demands = append(demands, p.demand())
			}
		}
	}
	shares := rollout.PlanShares(s.sampleSlots(), demands)
	s.after(s.scenario.ZoneLatency, func() {
		for i, p := range open {
			p.share = shares[i]
			p.feed()
		}
	})
}

// sampleSlots returns how many samples the engines may run at once.
func (s *simulation) sampleSlots() int {
	perEngine := s.scenario.Capacity - s.plan.Reserve
	total := perEngine * len(s.engines)
	if s.plan.With.Has(settings.MechanismQuiet) {
		quiet := int(math.Ceil(s.plan.QuietShare * float64(len(s.engines))))
		total -= quiet * max(0, perEngine-s.plan.QuietSlots)
	}
	return total
}

// grantCredits shares the free slots of each engine out among the trainers'
// nodes. A node always may have one request at an engine.
func (s *simulation) grantCredits() {
	for i, e := range s.engines {
		report := e.currentReport()
		free := max(0, s.scenario.Capacity-report.Running-report.Waiting)
		for k, t := range s.trainers {
			share := free / len(s.trainers)
			if (i+k)%len(s.trainers) < free%len(s.trainers) {
				share++
			}
			b := t.router.backend(e)
			b.Limit = max(1, b.InFlight+share)
		}
	}
	for _, t := range s.trainers {
		t.router.pump()
	}
}

// liveTraffic sends live requests from nodes at random times.
type liveTraffic struct {
	sim     *simulation
	random  *rand.Rand
	routers []*router
	number  int
}

func (s *simulation) newLiveTraffic() *liveTraffic {
	l := &liveTraffic{sim: s, random: s.work.randomFor("live")}
	for i := range s.scenario.Nodes {
		l.routers = append(l.routers, s.routerFor(i%s.scenario.Zones, s.scenario.Subset))
	}
	if s.scenario.LiveRate > 0 {
		s.after(l.pause(), l.arrive)
	}
	return l
}

func (l *liveTraffic) pause() time.Duration {
	return time.Duration(l.random.ExpFloat64() / l.sim.scenario.LiveRate * float64(time.Second))
}

func (l *liveTraffic) arrive() {
	s := l.sim
	l.number++
	live := s.scenario.ExperimentLive
	text := filler("live prefix ", live.LivePrefixTokens) + filler(liveLabel(l.number), live.LivePromptTokens)
	length := live.LiveMedianTokens * math.Exp(l.random.NormFloat64()*live.LiveLengthSpread)
	node := l.random.Intn(len(l.routers))
	begun := s.now
	q := &request{
		id: liveLabel(l.number), prompt: text, prefix: routing.PrefixHash(text),
		length: max(1, int(length)), priority: api.PriorityLive, live: true,
	}
	q.done = func() {
		s.after(s.scenario.CallerLatency, func() { s.stats.liveLatency(s.now - begun) })
	}
	s.after(s.scenario.CallerLatency, func() { s.submit(l.routers[node], node%s.scenario.Zones, q) })
	s.after(l.pause(), l.arrive)
}

func (s *simulation) scheduleFaults() {
	for _, fault := range s.scenario.ExperimentFaults.Faults {
		begin, end := s.faultActions(fault)
		s.at(fault.At, begin)
		s.at(fault.At+fault.Duration, end)
	}
}

func (s *simulation) faultActions(fault settings.ExperimentFault) (begin, end func()) {
	switch fault.Kind {
	case settings.FaultCrash:
		e := s.engines[fault.Engine]
		return e.crash, e.restart
	case settings.FaultSlow:
		e := s.engines[fault.Engine]
		return func() { e.setFactor(fault.Factor) }, func() { e.setFactor(1) }
	}
	return func() { s.cutOff(fault.Zone) }, func() { s.cutZone = -1 }
}

// cutOff cuts a zone's network. Streams across the cut go silent; both sides
// give them up.
func (s *simulation) cutOff(zone int) {
	s.cutZone = zone
	for _, e := range s.engines {
		for _, stream := range e.sortedStreams() {
			if s.cut(e.zone, stream.router.zone) {
				e.goSilent(stream)
			}
		}
	}
}

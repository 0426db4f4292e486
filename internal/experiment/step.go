package experiment

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
	"github.com/sliplift/sliplift/internal/settings"
)

// Timing and sizes of a step's owner, as in the product.
const (
	commitInterval  = 200 * time.Millisecond
	batchLimit      = 512
	retryBackoff    = 50 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
	tailShare       = 0.05
)

// step is a step at its owner, and the trainer's pulls of it.
type step struct {
	sim     *simulation
	trainer *trainer
	number  int
	prompts []promptWork
	ledger  *rollout.Ledger
	// requests holds the attempts that run, by number.
	requests map[int]*request
	// order holds their numbers in order of start.
	order  []int
	starts []int
	// kept holds the tokens of the whole sample of each index.
	kept   []int
	cursor int64
	// begun is when the samples were allowed to start.
	begun      time.Duration
	started    bool
	asked      bool
	committing bool
	commitAt   time.Duration
	wakeup     int
	taken      bool
	askedAt    time.Duration
	// pending holds what waits for the step's share of the engines, share is
	// that, and given counts what routers have of it.
	pending requestQueue
	share   int
	given   int
}

func (t *trainer) newStep(number int) *step {
	s := t.sim
	p := &step{sim: s, trainer: t, number: number, requests: map[int]*request{}, prompts: s.work.step(t.index, number)}
	samples := t.config.Prompts * t.config.Samples
	p.starts = make([]int, samples)
	p.kept = make([]int, samples)
	config := rollout.LedgerConfig{
		Samples: samples, Bound: t.config.Bound, Epoch: 1, Concurrency: t.config.Concurrency, BatchLimit: batchLimit,
		RetryBackoff: retryBackoff, MaxRetryBackoff: maxRetryBackoff,
	}
	if s.plan.With.Has(settings.MechanismQueue) {
		// The queue bounds what reaches engines; second attempts come on top.
		config.Concurrency = 2 * samples
	}
	if s.plan.With.Has(settings.MechanismPriority) {
		config.TailShare = tailShare
	}
	if s.plan.With.Has(settings.MechanismSecond) {
		config.SecondAfter = s.plan.SecondAfter
	}
	p.ledger = rollout.NewLedger(config)
	p.ledger.SetVersion(t.version, s.instant())
	return p
}

// begin starts the samples, after the delay that the pool's idle weight asks
// for.
func (p *step) begin() {
	if p.started || p.startVersion() > p.sim.version {
		return
	}
	if !p.sim.plan.With.Has(settings.MechanismHold) {
		p.start()
		return
	}
	untilNeeded := p.trainer.trainEnds - p.sim.now
	delay := rollout.StartDelay(p.sim.plan.IdleWeight, untilNeeded, p.trainer.generation)
	if p.trainer.generation == 0 || p.asked {
		delay = 0
	}
	p.sim.after(delay, p.start)
}

// startVersion returns the lowest version with which samples may begin now.
func (p *step) startVersion() int64 {
	if p.asked || !p.sim.plan.With.Has(settings.MechanismRerun) {
		return 0
	}
	before := int64(p.number - max(1, p.trainer.current))
	return rollout.StartVersion(p.sim.version, before, p.trainer.config.Bound)
}

func (p *step) start() {
	if p.started {
		return
	}
	p.started = true
	p.begun = p.sim.now
	p.schedule()
}

// schedule starts the attempts that the ledger wants now.
func (p *step) schedule() {
	if !p.started || p.taken {
		return
	}
	for _, attempt := range p.ledger.Next(p.sim.instant()) {
		p.run(attempt)
	}
	p.cancelAttempts()
	p.wakeup++
	at, ok := p.ledger.NextStart()
	if !ok {
		return
	}
	wakeup := p.wakeup
	p.sim.at(max(at.Sub(time.Unix(0, 0)), p.sim.now+time.Millisecond), func() {
		if p.wakeup == wakeup {
			p.schedule()
		}
	})
}

func (p *step) run(attempt rollout.Attempt) {
	perPrompt := p.trainer.config.Samples
	prompt := p.prompts[attempt.Index/perPrompt]
	q := &request{
		id:         fmt.Sprintf("%s/%d/%d/%d", p.trainer.config.Name, p.number, attempt.Index, attempt.Number),
		prompt:     prompt.text,
		prefix:     prompt.prefix,
		length:     prompt.lengths[attempt.Index%perPrompt],
		priority:   attempt.Priority,
		minVersion: max(attempt.MinVersion, p.startVersion()),
	}
	if p.sim.plan.With.Has(settings.MechanismLongest) {
		q.expected = p.trainer.lengths.Expected(q.prefix)
	}
	if p.sim.plan.With.Has(settings.MechanismOracle) {
		q.expected = float64(q.length)
	}
	p.count(attempt.Index)
	q.urgency = func() api.Priority { return p.priority(attempt.Priority) }
	q.started = func(version int64) {
		p.ledger.Segment(attempt.Number, version, p.sim.instant())
		p.changed()
	}
	q.done = func() { p.finish(attempt.Number, attempt.Index, q) }
	p.requests[attempt.Number] = q
	p.order = append(p.order, attempt.Number)
	heap.Push(&p.pending, q)
	p.feed()
}

// feed gives samples to routers as far as the step's share goes.
func (p *step) feed() {
	unlimited := !p.sim.plan.With.Has(settings.MechanismShare)
	for len(p.pending) > 0 && (unlimited || p.given < p.share) {
		q := heap.Pop(&p.pending).(*request)
		if q.cancelled {
			continue
		}
		q.given = true
		p.given++
		p.sim.submit(p.sim.sampleRouter(p.trainer), p.trainer.index%p.sim.scenario.Zones, q)
	}
}

// takeBack notes that a request is at no router any more.
func (p *step) takeBack(q *request) {
	if q.given {
		q.given = false
		p.given--
	}
	p.feed()
}

// count notes a start of an index; all but the first are extra.
func (p *step) count(index int) {
	p.starts[index]++
	if p.starts[index] > 1 {
		p.sim.stats.ExtraAttempts++
	}
	// A whole sample that runs again was too old.
	p.sim.stats.WastedTokens += int64(p.kept[index])
	p.kept[index] = 0
}

func (p *step) priority(from api.Priority) api.Priority {
	if p.sim.plan.With.Has(settings.MechanismPriority) && !p.asked {
		return rollout.PriorityAhead
	}
	return from
}

func (p *step) finish(number, index int, q *request) {
	delete(p.requests, number)
	p.takeBack(q)
	p.trainer.lengths.Observe(q.prefix, q.length)
	sample := api.Sample{Trainer: p.trainer.config.Name, Step: int64(p.number), RequestID: q.id, Tokens: q.resumed, Segments: q.segments}
	verdict := p.ledger.Finish(number, api.OutcomeCompleted, sample, 0, p.sim.instant())
	if verdict == rollout.VerdictKept {
		p.kept[index] = q.resumed
	}
	if verdict == rollout.VerdictTooOld || verdict == rollout.VerdictLate {
		p.sim.stats.WastedTokens += int64(q.resumed)
	}
	if verdict == rollout.VerdictTooOld {
		p.sim.stats.StaleReruns++
	}
	p.changed()
}

// changed does what a change of the ledger asks for.
func (p *step) changed() {
	p.cancelAttempts()
	p.schedule()
	p.commitSoon()
}

func (p *step) cancelAttempts() {
	for _, number := range p.ledger.Cancels() {
		q := p.requests[number]
		if q == nil {
			continue
		}
		delete(p.requests, number)
		p.cancel(q)
	}
}

func (p *step) cancel(q *request) {
	p.takeBack(q)
	if q.router == nil {
		q.cancelled = true
		return
	}
	q.router.cancel(q)
}

// commitSoon commits finished samples, at most once in each interval.
func (p *step) commitSoon() {
	if p.committing || !p.ledger.Pending() {
		return
	}
	p.committing = true
	p.sim.at(p.commitAt, func() {
		proposal := p.ledger.Propose(p.sim.instant())
		p.sim.after(p.sim.scenario.CommitLatency, func() { p.committed(proposal) })
	})
}

func (p *step) committed(proposal rollout.Proposal) {
	p.committing = false
	p.commitAt = p.sim.now + commitInterval
	p.ledger.Commit(p.sim.instant())
	if p.asked {
		p.handOut()
	}
	if !p.taken {
		p.changed()
	}
}

// ask is the trainer's first pull.
func (p *step) ask() {
	p.asked = true
	p.askedAt = p.sim.now
	p.relax()
	for _, r := range p.sim.routers {
		r.reorder()
	}
	p.start()
	p.handOut()
}

// relax takes back the forecast of the version that samples begin with.
func (p *step) relax() {
	for _, number := range p.order {
		if q := p.requests[number]; q != nil {
			q.minVersion = p.ledger.MinVersion()
		}
	}
}

// handOut answers the trainer's pull, and takes its acknowledgement.
func (p *step) handOut() {
	for !p.taken {
		stale := p.ledger.Counts()
		answer, err := p.ledger.HandOut(p.cursor, p.trainer.version, batchLimit, p.sim.instant())
		if err != nil {
			panic("experiment: " + err.Error())
		}
		p.countVoids(stale.Waiting)
		for _, sample := range answer.Samples {
			p.measure(sample)
		}
		p.cursor = answer.NextCursor
		if err := p.ledger.Acknowledge(p.cursor); err != nil {
			panic("experiment: " + err.Error())
		}
		if answer.Done {
			p.complete()
			return
		}
		if len(answer.Samples) == 0 {
			break
		}
	}
	p.changed()
}

// countVoids counts committed samples that the hand-out found too old.
func (p *step) countVoids(waitingBefore int) {
	if more := p.ledger.Counts().Waiting - waitingBefore; more > 0 {
		p.sim.stats.StaleReruns += more
	}
}

func (p *step) measure(sample api.Sample) {
	oldest, _ := sample.OldestVersion()
	behind := max(0, p.trainer.version-oldest)
	p.sim.stats.staleness(behind)
	if behind > p.trainer.config.Bound {
		p.sim.stats.BoundBreaches++
	}
}

func (p *step) complete() {
	p.taken = true
	p.trainer.generation = p.sim.now - p.begun
	for _, number := range p.order {
		if q := p.requests[number]; q != nil {
			p.cancel(q)
		}
	}
	p.requests = nil
	p.sim.after(p.sim.scenario.CallerLatency, p.trainer.take)
}

func (p *step) setVersion(version int64) {
	if p.taken {
		return
	}
	before := p.ledger.Counts()
	p.ledger.SetVersion(version, p.sim.instant())
	p.countVoids(before.Waiting)
	p.changed()
}

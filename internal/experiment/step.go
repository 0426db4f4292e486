package experiment

import (
	"fmt"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/rollout"
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

// priorityAhead is for samples of a step that its trainer does not need yet.
const priorityAhead = api.PriorityTraining + 2

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
	cursor int64
	// begun is when the samples were allowed to start.
	begun      time.Duration
	started    bool
	asked      bool
	committing bool
	commitAt   time.Duration
	wakeup     int
	finished   int
	taken      bool
}

func (t *trainer) newStep(number int) *step {
	s := t.sim
	p := &step{sim: s, trainer: t, number: number, requests: map[int]*request{}, prompts: s.work.step(t.index, number)}
	samples := t.config.Prompts * t.config.Samples
	p.starts = make([]int, samples)
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
		id:         fmt.Sprintf("%s/%d/%d", p.trainer.config.Name, p.number, attempt.Index),
		prompt:     prompt.text,
		prefix:     prompt.prefix,
		length:     prompt.lengths[attempt.Index%perPrompt],
		priority:   p.priority(attempt.Priority),
		minVersion: attempt.MinVersion,
	}
	if p.sim.plan.With.Has(settings.MechanismLongest) {
		q.expected = p.trainer.router.lengths.Expected(q.prefix)
	}
	p.count(attempt.Index)
	q.started = func(version int64) {
		p.ledger.Segment(attempt.Number, version, p.sim.instant())
		p.changed()
	}
	q.done = func() { p.finish(attempt.Number, q) }
	p.requests[attempt.Number] = q
	p.order = append(p.order, attempt.Number)
	p.sim.submit(p.trainer.router, p.trainer.index%p.sim.scenario.Zones, q)
}

// count notes a start of an index; all but the first are extra.
func (p *step) count(index int) {
	p.starts[index]++
	if p.starts[index] > 1 {
		p.sim.stats.ExtraAttempts++
	}
}

func (p *step) priority(from api.Priority) api.Priority {
	if p.sim.plan.With.Has(settings.MechanismPriority) && !p.asked {
		return priorityAhead
	}
	return from
}

func (p *step) finish(number int, q *request) {
	delete(p.requests, number)
	sample := api.Sample{Trainer: p.trainer.config.Name, Step: int64(p.number), RequestID: q.id, Tokens: q.resumed, Segments: q.segments}
	verdict := p.ledger.Finish(number, api.OutcomeCompleted, sample, 0, p.sim.instant())
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
		p.trainer.router.cancel(q)
	}
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
	p.finished = len(proposal.Samples)
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
	p.start()
	p.handOut()
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
			p.trainer.router.cancel(q)
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

// moveTail moves the last samples to emptier engines.
func (p *step) moveTail() {
	if !p.asked || p.taken {
		return
	}
	var samples []rollout.RunningSample
	byID := map[string]*request{}
	for _, number := range p.order {
		q := p.requests[number]
		if q == nil {
			continue
		}
		s := q.current
		if s == nil {
			// Something still waits: this is not the tail yet.
			if !q.moving {
				return
			}
			continue
		}
		if q.moving {
			continue
		}
		byID[q.id] = q
		samples = append(samples, rollout.RunningSample{
			ID: q.id, Engine: s.engine.name, Tokens: q.resumed + s.engine.produced(s),
			Since: p.sim.now - s.sentAt, MinVersion: q.minVersion,
		})
	}
	router := p.trainer.router
	for _, move := range rollout.PlanMoves(rollout.DefaultTailConfig(), samples, router.engineLoads()) {
		router.move(byID[move.ID], p.sim.engineIndex[move.To])
	}
}

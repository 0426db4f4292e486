package batch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// scoreState is the state of scoring an item whose text is complete.
type scoreState struct {
	// since is the time at which the text was complete.
	since clock.Millis
	// after is the earliest time of the next call.
	after clock.Millis
	// calls holds the calls in flight, oldest first.
	calls []*scoreCall
	// work is the fingerprint of the scoring request, which is independent of its ID.
	work fingerprint.Fingerprint
	// sends counts the calls that were sent, cuts those that ended without a complete
	// response, and failures the error responses of the scoring service.
	sends, cuts, failures int
}

// cancelCalls cancels the calls in flight after upstream.Linger. Most of them complete by then,
// so that their connections can be reused.
func (s *scoreState) cancelCalls() {
	for _, c := range s.calls {
		time.AfterFunc(upstream.Linger, c.cancel)
	}
}

// textWhole finishes an item whose text is complete, or lets it wait for its score if it has a
// scorer that has not scored the text yet. The caller holds r.mu.
func (r *runner) textWhole(job *ownedJob, index int) {
	item := &job.items[index]
	if item.text.scoredBy(job.spec.Items[index].Scorer) {
		r.finish(job, index, Completed)
		return
	}
	item.phase = phaseScoring
	item.score.since = clock.Now()
	job.scoring = append(job.scoring, index)
}

// scheduleScores sends the scoring calls that are due, those of older jobs first. The caller
// holds r.mu.
func (r *runner) scheduleScores(p *schedulingRound) {
	table := r.manager.config.Routes()
	if table == nil {
		return
	}
	now := clock.At(p.now)
	for _, job := range r.jobsByAge() {
		if !job.active() {
			continue
		}
		p.demands[job] = r.demandOf(job)
		for _, index := range job.scoring {
			r.scheduleScore(job, index, table, p, now)
		}
	}
}

// jobsByAge returns the jobs in the order of their submission. The caller holds r.mu.
func (r *runner) jobsByAge() []*ownedJob {
	jobs := make([]*ownedJob, 0, len(r.jobs))
	for _, job := range r.jobs {
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(a, b *ownedJob) int {
		return cmp.Or(cmp.Compare(a.head.SubmittedMillis, b.head.SubmittedMillis), cmp.Compare(a.id, b.id))
	})
	return jobs
}

// maxScoring is the number of items waiting for their score from which no further item is
// started. It bounds the memory in use while a scoring service is unavailable.
const maxScoring = 2000

// waitingForScore returns the number of items that wait for their score. The caller holds r.mu.
func (r *runner) waitingForScore() int {
	count := 0
	for _, job := range r.jobs {
		count += len(job.scoring)
	}
	return count
}

// scheduleScore sends the first or a hedging call for one item if it is due and a backend has
// room. An item whose scorer matches no route waits. The caller holds r.mu.
func (r *runner) scheduleScore(job *ownedJob, index int, table *routetable.Table, p *schedulingRound, now clock.Millis) {
	state := &job.items[index].score
	if now < state.after || len(state.calls) >= maxScoreCalls {
		return
	}
	scorer := job.spec.Items[index].Scorer
	path, _, _ := strings.Cut(scorer.Path, "?")
	route := table.Match(scorer.Host, path)
	if route == nil {
		return
	}
	pool := p.service(route.Pick(uint64(index+state.sends), 0)).backends
	if r.backsOff(job, index, state.work, p) {
		return
	}
	request := r.scoreRequest(job, route)
	want := scorerWant{Request: request}
	if len(state.calls) > 0 {
		first := state.calls[0]
		if now-first.sent < hedgeDelay(pool, route) || !r.hedges.left() {
			return
		}
		want.avoid = first.backend.ID
	}
	want.idleOnly = state.sends == 0 && awaited(pool) && patientScore(p.demands[job].longest, defaultPace, lowestScoreLatency(pool), (now-state.since).Duration())
	chosen := pickScorer(pool, want, p.snapshot)
	if chosen < 0 {
		return
	}
	if len(state.calls) > 0 {
		r.hedges.take()
	} else {
		r.hedges.add()
	}
	p.assign(&pool[chosen])
	takeIdle(&pool[chosen])
	r.call(job, index, route, pool[chosen], now, request)
}

// scoreRequest returns the request by which eligibility is decided for a scoring call. The
// tenant's regions do not apply to a public route, whose calls carry no tenant.
func (r *runner) scoreRequest(job *ownedJob, route *routetable.Route) eligibility.Request {
	regions := route.Regions
	if !route.Public {
		regions = r.regions(route, job.tenant)
	}
	return eligibility.Request{Regions: regions, Durable: true}
}

// settleScore handles the outcome of a scoring call: it finishes the item or leaves it waiting
// for the next call.
func (r *runner) settleScore(c *scoreCall, fate scoreFate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item := &c.job.items[c.index]
	item.score.remove(c)
	c.recordBackendFailure(fate)
	if upstream.Withheld(errorOf(fate)) {
		item.score.sends--
	}
	if item.phase != phaseScoring || c.job.ctx.Err() != nil || c.job.suspended {
		return
	}
	switch f := fate.(type) {
	case scored:
		item.text.score, item.text.scorer = f.score, c.scorer().ID
		item.score.cancelCalls()
		r.logScore(c, eventlog.ItemScored, nil)
		r.finish(c.job, c.index, Completed)
		return
	case scoreFailed:
		item.score.failures++
		c.job.failures++
		c.job.wakeCommit()
		if item.score.failures >= max(c.route.MaxAttempts, 1) {
			item.score.cancelCalls()
			r.logScore(c, eventlog.ItemDead, fate)
			r.finish(c.job, c.index, Dead)
			return
		}
		item.score.after = clock.Now() + failedPause
	case scoreCut:
		item.score.cuts++
	case scoreUnusable:
		item.score.after = clock.Now() + failedPause
	case scoreNotRun:
	}
	r.logScore(c, eventlog.ScoreFailed, fate)
}

// remove removes a call that has ended from the calls in flight.
func (s *scoreState) remove(c *scoreCall) {
	for i, other := range s.calls {
		if other == c {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			return
		}
	}
}

// WaitingForScore returns the number of items on this node that wait for their score.
func (m *Manager) WaitingForScore() int {
	m.runner.mu.Lock()
	defer m.runner.mu.Unlock()
	return m.runner.waitingForScore()
}

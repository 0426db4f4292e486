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

// scoreState is how far the scoring of an item's whole text is.
type scoreState struct {
	// since is when the text was whole; after, from when the next call may be sent.
	since, after clock.Millis
	calls        []*scoreCall
	// work is what a call asks for, whatever its id.
	work fingerprint.Fingerprint
	// sends counts calls, cuts those that their limit ended, failures answers that
	// the scoring service failed.
	sends, cuts, failures int
}

// cancelCalls ends the calls that are under way, a moment later: most that are cut at
// once would have been answered by then, and would have left their connections.
func (s *scoreState) cancelCalls() {
	for _, c := range s.calls {
		time.AfterFunc(upstream.Linger, c.cancel)
	}
}

// textWhole goes on with an item whose text is whole: it is finished, or waits
// for its score. The lock is held.
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

// scheduleScores sends the calls that may be sent now. The lock is held.
func (r *runner) scheduleScores(p *pools) {
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

// jobsByAge returns the jobs, the one submitted first before the others. The lock
// is held.
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

// scoringMost is the number of whole texts on a node that may wait for their
// score; while so many do, no further item is started. It bounds the memory that
// a scoring service which is away costs.
const scoringMost = 2000

// waitingForScore returns the number of whole texts that wait for their score. The
// lock is held.
func (r *runner) waitingForScore() int {
	count := 0
	for _, job := range r.jobs {
		count += len(job.scoring)
	}
	return count
}

// scheduleScore sends the next call of one item, if it may be sent. A scorer
// without a route, or whose service has no back end with room, waits.
func (r *runner) scheduleScore(job *ownedJob, index int, table *routetable.Table, p *pools, now clock.Millis) {
	state := &job.items[index].score
	if now < state.after || len(state.calls) >= scoreCallsMost {
		return
	}
	scorer := job.spec.Items[index].Scorer
	path, _, _ := strings.Cut(scorer.Path, "?")
	route := table.Match(scorer.Host, path)
	if route == nil {
		return
	}
	pool := p.service(route.Pick(uint64(index+state.sends), 0)).backends
	request := r.scoreRequest(job, route)
	request.Work = state.work
	want := scorerWant{Request: request}
	if len(state.calls) > 0 {
		first := state.calls[0]
		if now-first.sent < secondAfter(pool, route) || !r.seconds.left() {
			return
		}
		want.avoid = first.backend.ID
	}
	want.patient = state.sends == 0 && awaited(pool) && patientScore(p.demands[job].longest, usualPace, usualScore(pool), (now-state.since).Duration())
	place := pickScorer(pool, want, p.world)
	if place < 0 {
		return
	}
	if len(state.calls) > 0 {
		r.seconds.take()
	} else {
		r.seconds.add()
	}
	p.give(&pool[place])
	takeIdle(&pool[place])
	r.call(job, index, route, pool[place], now, request)
}

// scoreRequest returns what decides which back ends may get a call to the scoring service
// of a route: of a public one, no tenant is told.
func (r *runner) scoreRequest(job *ownedJob, route *routetable.Route) eligibility.Request {
	regions := route.Regions
	if !route.Public {
		regions = r.regions(route, job.tenant)
	}
	return eligibility.Request{Regions: regions, Patient: true}
}

// settleScore takes what became of a call. The lock is held while it decides.
func (r *runner) settleScore(c *scoreCall, fate scoreFate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item := &c.job.items[c.index]
	item.score.remove(c)
	c.blame(fate)
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

func (s *scoreState) remove(c *scoreCall) {
	for i, other := range s.calls {
		if other == c {
			s.calls = append(s.calls[:i], s.calls[i+1:]...)
			return
		}
	}
}

// WaitingForScore returns the number of whole texts on this node that wait for
// their score.
func (m *Manager) WaitingForScore() int {
	m.runner.mu.Lock()
	defer m.runner.mu.Unlock()
	return m.runner.waitingForScore()
}

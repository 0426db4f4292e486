package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

// heldLogInterval is the minimum interval between log entries about the held items of a job.
const heldLogInterval = time.Second

// logHeld logs why no backend is eligible for an item. It logs nothing if one is eligible and
// merely has no room. The caller holds r.mu.
func (r *runner) logHeld(c candidate, pool *serviceBackends, want need, p *schedulingRound) {
	if p.now.Sub(c.job.heldLoggedAt) < heldLogInterval {
		return
	}
	survey := p.snapshot.Survey(pool.backends, want.Request)
	if survey.Eligible > 0 {
		return
	}
	c.job.heldLoggedAt = p.now
	r.manager.config.Log.Warn(eventlog.JobHeld, eventlog.Fields{
		eventlog.Job: c.job.id, eventlog.Item: c.job.spec.Items[c.index].ID, eventlog.Reasons: survey.Reasons,
		"room_in_ms": survey.ColdWait.Milliseconds(), "left": c.job.unfinished,
	})
}

// noteQuarantined logs that an item is held because backends crashed while running the same
// work, and requests a trial run if one is allowed. The caller holds r.mu.
func (r *runner) noteQuarantined(job *ownedJob, index int, p *schedulingRound) {
	if r.manager.config.Trials.MayTry(job.items[index].work) {
		go r.askTrial(job, index)
	}
	if p.now.Sub(job.heldLoggedAt) < heldLogInterval {
		return
	}
	job.heldLoggedAt = p.now
	work := job.items[index].work
	r.manager.config.Log.Warn(eventlog.JobHeld, eventlog.Fields{
		eventlog.Job: job.id, eventlog.Item: job.spec.Items[index].ID, eventlog.Work: work.String(),
		eventlog.Reasons: map[string]int{eligibility.LabelQuarantined: p.snapshot.QuarantineFailures(work)}, "left": job.unfinished,
	})
}

// askTrial permits one run of a quarantined item if this node is granted the trial of its work.
// It blocks until that is decided. The caller must not hold r.mu.
func (r *runner) askTrial(job *ownedJob, index int) {
	r.mu.Lock()
	work := job.items[index].work
	r.mu.Unlock()
	if !r.manager.config.Trials.Try(job.ctx, work) {
		return
	}
	r.mu.Lock()
	job.items[index].trial = true
	r.mu.Unlock()
	r.kick()
}

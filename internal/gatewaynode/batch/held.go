package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
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

// backoffLabel is the logged reason of an item that waits for the end of a backoff.
const backoffLabel = "backoff"

// backsOff reports whether a request of an item, its run or its scoring call, has to wait since
// backends failed while they ran it, and logs that it does. The caller holds r.mu.
func (r *runner) backsOff(job *ownedJob, index int, work fingerprint.Fingerprint, p *schedulingRound) bool {
	if p.backoff == nil {
		return false
	}
	backoff := p.backoff(work)
	if backoff.Left(p.now) == 0 {
		return false
	}
	if p.now.Sub(job.heldLoggedAt) < heldLogInterval {
		return true
	}
	job.heldLoggedAt = p.now
	r.manager.config.Log.Warn(eventlog.JobHeld, eventlog.Fields{
		eventlog.Job: job.id, eventlog.Item: job.spec.Items[index].ID, eventlog.Work: work.String(),
		eventlog.Reasons: map[string]int{backoffLabel: backoff.Failures}, "left": job.unfinished,
		"room_in_ms": backoff.Left(p.now).Milliseconds(),
	})
	return true
}

package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

// heldEvery is the least time between two lines that tell why items of a job are held.
const heldEvery = time.Second

// noteHeld tells why an item is held, if no back end may get it at all; one that waits
// for a slot is no news. The lock is held.
func (r *runner) noteHeld(c candidate, pool *pool, want need, p *pools) {
	if p.now.Sub(c.job.heldSaid) < heldEvery {
		return
	}
	survey := p.world.Survey(pool.backends, want.Request)
	if survey.Eligible > 0 {
		return
	}
	c.job.heldSaid = p.now
	r.manager.config.Log.Warn(eventlog.JobHeld, eventlog.Fields{
		eventlog.Job: c.job.id, eventlog.Item: c.job.spec.Items[c.index].ID, eventlog.Reasons: survey.Reasons,
		"room_in_ms": survey.Warm.Milliseconds(), "left": c.job.left,
	})
}

// noteQuarantined tells that an item is held since back ends ended under its work, and asks
// for the trial of it. The lock is held.
func (r *runner) noteQuarantined(job *ownedJob, index int, p *pools) {
	if r.manager.config.Trials.MayTry(job.items[index].work) {
		go r.askTrial(job, index)
	}
	if p.now.Sub(job.heldSaid) < heldEvery {
		return
	}
	job.heldSaid = p.now
	work := job.items[index].work
	r.manager.config.Log.Warn(eventlog.JobHeld, eventlog.Fields{
		eventlog.Job: job.id, eventlog.Item: job.spec.Items[index].ID, eventlog.Work: work.String(),
		eventlog.Reasons: map[string]int{eligibility.LabelQuarantined: p.world.HeldEnds(work)}, "left": job.left,
	})
}

// askTrial makes an item run once more if this node has the trial of its work.
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

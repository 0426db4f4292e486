package batch

import (
	"time"

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

package reload

import (
	"context"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
)

// beginTerm prepares a term of this node: it reads which back ends the holder before
// may still have given orders to, and settles the loads which that one left.
func (c *Controller) beginTerm(ctx context.Context, hold rowlease.Hold) eventlog.Fields {
	var resting map[string]time.Time
	var err error
	if hold.ClearFrom.After(time.Now()) {
		resting, err = c.readResting(ctx, hold.ClearFrom)
	}
	fields := eventlog.Fields{"resting": len(resting)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token, c.termRevision = hold.Token, hold.TermRevision
	c.busy, c.taken, c.resting = make(map[string]bool), make(map[string]int64), resting
	c.orderFrom = time.Now()
	if err != nil {
		c.orderFrom = hold.ClearFrom
		fields[eventlog.Cause] = err.Error()
	}
	fields["orders_in_ms"] = time.Until(c.orderFrom).Milliseconds()
	for id, load := range c.loads {
		if load.Loading != "" {
			go c.endLoad(ctx, id, load.Loading, hold.Token)
		}
	}
	c.Kick()
	return fields
}

// mayOrder tells whether an order may be sent now. The lock is held.
func (c *Controller) mayOrder(now time.Time) bool {
	return c.lease.Valid(c.token, now) && !now.Before(c.orderFrom)
}

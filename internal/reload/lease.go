package reload

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/eventlog"
	"github.com/sliplift/sliplift/internal/presence"
	"github.com/sliplift/sliplift/internal/rowstore"
)

// noteRows takes the lease's row if it is newer. The lock is held.
func (c *Controller) noteRows(rows []rowstore.Row) {
	for _, row := range rows {
		if row.Key == leaseKey && !row.Deleted && row.Revision > c.revision {
			c.noteRow(row)
		}
	}
}

// noteRow takes a newer lease row. The lock is held.
func (c *Controller) noteRow(row rowstore.Row) {
	var seen lease
	if json.Unmarshal(row.Value, &seen) != nil {
		return
	}
	c.row, c.revision, c.changed = seen, row.Revision, time.Now()
	if c.held && (seen.Holder != c.self.Name || seen.Term != c.token) {
		c.lose("another holder")
	}
}

// lose ends this node's hold. The lock is held.
func (c *Controller) lose(cause string) {
	c.held = false
	c.config.Log.Warn(eventlog.LeaseLost, eventlog.Fields{eventlog.Token: c.token, eventlog.Cause: cause, eventlog.Owner: c.row.Holder})
}

// release writes that the lease is free.
func (c *Controller) release() {
	c.mu.Lock()
	if !c.held {
		c.mu.Unlock()
		return
	}
	c.lose("stopping")
	next, revision := c.row, c.revision
	next.Released = true
	if len(c.busy) == 0 {
		next.QuietMillis = min(time.Since(c.lastOrder), c.config.Timing.Settle).Milliseconds()
	}
	c.mu.Unlock()
	// If it fails, the lease lapses.
	_, _ = c.write(context.Background(), next, revision)
}

func (c *Controller) leaseStep(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	held, due := c.held, now.Sub(c.renewed) >= c.config.Timing.renewEvery()
	stopping := c.stopping
	c.mu.Unlock()
	switch {
	case held && due:
		c.renew(ctx, now)
	case !held && !stopping && c.mayTake(now):
		c.acquire(ctx, now)
	}
}

func (c *Controller) renew(ctx context.Context, now time.Time) {
	c.mu.Lock()
	next := c.row
	next.Renewal++
	revision, token := c.revision, c.token
	c.mu.Unlock()
	written, err := c.write(ctx, next, revision)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.held || c.token != token {
		return
	}
	if err == nil {
		c.adopt(next, written, now)
		return
	}
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	c.noteRows(conflict.Rows)
	if c.held && c.row.Renewal == next.Renewal {
		// An attempt whose answer was lost has done it; when is not known, so it
		// extends nothing.
		c.renewed = time.Time{}
	}
}

// adopt takes a row that this node has written. The lock is held.
func (c *Controller) adopt(row lease, revision int64, sent time.Time) {
	c.row, c.revision, c.changed = row, revision, time.Now()
	c.renewed = sent
	c.validUntil = sent.Add(c.config.Timing.Validity())
}

// write writes the lease's row, and more rows with it, on the condition that the
// row is as this node knows it.
func (c *Controller) write(ctx context.Context, row lease, revision int64, more ...rowstore.Row) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, c.config.Timing.Validity())
	defer cancel()
	return c.config.Store.Commit(bounded, rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: leaseID(), Revision: revision}},
		Puts:       append([]rowstore.Row{{RowID: leaseID(), Value: encode(row)}}, more...),
	})
}

// takeStagger separates the nodes that could take the lease.
const takeStagger = 300 * time.Millisecond

// mayTake tells whether the lease is free for this node.
func (c *Controller) mayTake(now time.Time) bool {
	status := c.leaseView.Status()
	if !status.Healthy || !c.config.Presence.View().Status().Healthy {
		return false
	}
	waited := c.freeFor(status.HealthySince, now)
	if waited < 0 {
		return false
	}
	rank := presence.Place(presence.RankSteady(c.candidates(now), leaseKey), c.self.Name)
	return rank >= 0 && waited >= time.Duration(rank)*takeStagger
}

// candidates returns the nodes that could take the lease: a holder that let it
// lapse is not waited for, though it may still count as live.
func (c *Controller) candidates(now time.Time) []presence.Node {
	c.mu.Lock()
	holder := c.row.Holder
	c.mu.Unlock()
	return slices.DeleteFunc(c.config.Presence.Live(now), func(n presence.Node) bool {
		return n.Name == holder && n.Name != c.self.Name
	})
}

// freeFor returns for how long the lease has been free, negative while it is
// not, as a view tells that has followed the store since healthySince.
func (c *Controller) freeFor(healthySince, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == 0 {
		return now.Sub(healthySince)
	}
	quietSince := c.changed
	if healthySince.After(quietSince) {
		quietSince = healthySince
	}
	free := c.config.Timing.Validity() + c.config.Timing.margin()
	if c.row.Holder == c.self.Name || c.row.Released {
		// Given up, or held by an earlier process of this machine, which cannot order
		// any more.
		free = 0
	}
	return now.Sub(quietSince) - free
}

// acquire takes the lease with the next term, then reads which back ends the
// holder before may still have given orders to.
func (c *Controller) acquire(ctx context.Context, now time.Time) {
	c.mu.Lock()
	before, revision, changed := c.row, c.revision, c.changed
	c.mu.Unlock()
	next := lease{Holder: c.self.Name, Incarnation: c.self.Incarnation, Term: before.Term + 1}
	holding := rowstore.Row{RowID: termID(), Value: encode(term{Holder: next.Holder, Term: next.Term})}
	written, err := c.write(ctx, next, revision, holding)
	if err != nil {
		c.noteConflict(err)
		return
	}
	var resting map[string]time.Time
	if before.Holder != "" && before.Holder != c.self.Name {
		resting, err = c.readResting(ctx, before, changed)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if written < c.revision {
		return
	}
	c.adopt(next, written, now)
	c.held, c.token, c.termRevision = true, next.Term, written
	c.busy, c.taken, c.resting = make(map[string]bool), make(map[string]int64), resting
	c.orderFrom = now
	if err != nil {
		c.orderFrom = changed.Add(c.config.Timing.quietAfter(before))
	}
	c.Kick()
	for id, load := range c.loads {
		if load.Loading != "" {
			go c.endLoad(ctx, id, load.Loading, c.token)
		}
	}
	fields := eventlog.Fields{
		eventlog.Token: c.token, "before": before.Holder, "orders_in_ms": time.Until(c.orderFrom).Milliseconds(),
		"quiet_ms": now.Sub(changed).Milliseconds(), "resting": len(resting),
	}
	if err != nil {
		fields[eventlog.Cause] = err.Error()
	}
	c.config.Log.Warn(eventlog.LeaseTaken, fields)
}

// noteConflict takes the lease's row from the error of a write whose condition did
// not hold.
func (c *Controller) noteConflict(err error) {
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteRows(conflict.Rows)
}

// mayOrder tells whether an order may be sent now. The lock is held.
func (c *Controller) mayOrder(now time.Time) bool {
	return c.held && now.Before(c.validUntil) && !now.Before(c.orderFrom)
}

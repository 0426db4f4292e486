package reload

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// seenLoad is when this node saw a revision of a row of TableLoads.
type seenLoad struct {
	revision int64
	at       time.Time
}

// readResting reads what the holder before announced, and returns until when back
// ends are to be left alone: orders of two holders to one back end must lie
// Timing.Settle apart. Announcements of the holder before cannot change after the
// lease was taken, see announce, so that a back end without one may be ordered at
// once. No order of an earlier holder matters after latest.
func (c *Controller) readResting(ctx context.Context, latest time.Time) (map[string]time.Time, error) {
	bounded, cancel := context.WithTimeout(ctx, c.config.Timing.Validity())
	defer cancel()
	rows, _, err := rowstore.ListAll(bounded, c.config.Store, TableLoads, "", "", "")
	if err != nil {
		return nil, err
	}
	c.applyLoads(rows, false)
	now := time.Now()
	resting := make(map[string]time.Time)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range rows {
		until := restUntil(c.config.Timing, c.loads[row.Key], c.seen[row.Key].at, latest)
		if until.After(now) {
			resting[row.Key] = until
		}
	}
	return resting, nil
}

// restUntil returns until when a back end is to be left alone that an earlier
// holder announced a load of, as it was seen at a time. No order of that holder
// matters after latest. It is pure.
func restUntil(t rowlease.Timing, announced Load, seen, latest time.Time) time.Time {
	until := seen.Add(t.Settle + t.Margin())
	// The order that a load was announced for may be sent until the lease lapses.
	if announced.Loading != "" || until.After(latest) {
		return latest
	}
	return until
}

// endLoad waits for the end of a load that an earlier holder announced, and tells
// it: until then no node sends the back end work of that model.
func (c *Controller) endLoad(ctx context.Context, id, model string, token int64) {
	backend, found := c.config.Fleet.Get(id, time.Now())
	if !found {
		return
	}
	next := step{backend: backend, model: model}
	for started := time.Now(); ctx.Err() == nil && time.Since(started) < c.config.Timing.Settle; pause.For(ctx, lookEvery) {
		if c.orders(id) {
			return
		}
		report, err := c.report(ctx, next)
		if errors.Is(err, ErrGone) || lost(err) {
			return
		}
		if err == nil && !report.Busy {
			c.announceResult(ctx, next, token, report.Versions)
			return
		}
	}
}

// orders tells whether this node has an order of its own under way at a back end.
func (c *Controller) orders(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy[id]
}

// rests returns the back ends that are to be left alone now. The lock is held.
func (c *Controller) rests(now time.Time) map[string]bool {
	resting := make(map[string]bool, len(c.resting))
	for id, until := range c.resting {
		if !now.Before(until) {
			delete(c.resting, id)
			continue
		}
		resting[id] = true
	}
	return resting
}

// applyLoads takes rows of TableLoads.
func (c *Controller) applyLoads(rows []rowstore.Row, _ bool) {
	now := time.Now()
	for _, row := range rows {
		if row.Deleted {
			c.dropLoad(row)
			continue
		}
		var load Load
		if err := json.Unmarshal(row.Value, &load); err != nil {
			c.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: TableLoads, eventlog.Key: row.Key, eventlog.Cause: err.Error()})
			continue
		}
		if c.takeLoad(row, load, now) {
			c.noteLoad(row.Key, load)
		}
	}
}

func (c *Controller) dropLoad(row rowstore.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Revision >= c.seen[row.Key].revision {
		delete(c.loads, row.Key)
		delete(c.seen, row.Key)
	}
}

// takeLoad takes a row that is newer than what is known, and tells whether it was.
func (c *Controller) takeLoad(row rowstore.Row, load Load, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Revision <= c.seen[row.Key].revision {
		return false
	}
	c.seen[row.Key] = seenLoad{revision: row.Revision, at: now}
	c.loads[row.Key] = load
	if load.Share != "" && !c.lease.Held() {
		c.shares[row.Key] = load.Share
	}
	return true
}

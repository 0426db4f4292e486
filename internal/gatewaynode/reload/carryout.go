package reload

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

const (
	// callLimit bounds one call to a back end.
	callLimit = time.Second
	// lookEvery is the time between two looks at a load whose usual time is not
	// known.
	lookEvery = 150 * time.Millisecond
	// usualShare is when a load is first looked at, as a share of the usual time;
	// looksPerLoad how often in that time from then on.
	usualShare   = 0.85
	looksPerLoad = 12
	lookLeast    = 50 * time.Millisecond
	// loadMost is how long a load may take before the back end is left to the next
	// plan.
	loadMost = 15 * time.Second
)

// carryOut brings one back end to a version, or fails and leaves it to the next
// plan.
func (c *Controller) carryOut(ctx context.Context, next step, token int64) {
	started := time.Now()
	id := next.backend.ID
	taken, err := c.ordersTaken(ctx, next)
	if err == nil {
		err = c.announceOrder(ctx, next, token)
	}
	if err == nil {
		err = c.send(ctx, next, token, taken)
		if err == nil {
			err = c.awaitLoad(ctx, next, taken)
		}
	}
	var loaded map[string]int64
	if err == nil {
		loaded = map[string]int64{next.model: next.version}
	}
	c.settled(next, err, started)
	c.announceResult(ctx, next, token, loaded)
	if err != nil {
		pause.For(ctx, lookEvery)
	}
	c.mu.Lock()
	if c.token == token {
		delete(c.busy, id)
	}
	c.mu.Unlock()
	c.Kick()
}

func (c *Controller) settled(next step, err error, started time.Time) {
	fields := eventlog.Fields{
		eventlog.Backend: next.backend.ID, eventlog.Model: next.model, eventlog.Version: next.version,
		eventlog.TookMillis: time.Since(started).Milliseconds(), "outcome": "loaded",
	}
	if err == nil {
		c.config.Log.Info(eventlog.OrderSettled, fields)
		return
	}
	fields["outcome"], fields[eventlog.Cause] = "failed", err.Error()
	c.config.Log.Warn(eventlog.OrderSettled, fields)
}

// ordersTaken returns how many orders the back end has taken, from what this
// holder knows or from the back end's report.
func (c *Controller) ordersTaken(ctx context.Context, next step) (int64, error) {
	c.mu.Lock()
	taken, known := c.taken[next.backend.ID]
	c.mu.Unlock()
	if known {
		return taken, nil
	}
	report, err := c.report(ctx, next)
	if err != nil {
		return 0, err
	}
	if report.Busy {
		return 0, ErrMismatch
	}
	c.setTaken(next.backend.ID, report.Taken)
	return report.Taken, nil
}

func (c *Controller) setTaken(id string, taken int64) {
	c.mu.Lock()
	c.taken[id] = taken
	c.mu.Unlock()
}

func (c *Controller) forgetTaken(id string) {
	c.mu.Lock()
	delete(c.taken, id)
	c.mu.Unlock()
}

func (c *Controller) report(ctx context.Context, next step) (Report, error) {
	bounded, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return c.config.Commander.Report(bounded, next.backend.ID, next.backend.Address)
}

// send gives the order if the lease still allows it.
func (c *Controller) send(ctx context.Context, next step, token, taken int64) error {
	c.mu.Lock()
	allowed := c.mayOrder(time.Now()) && c.token == token
	c.mu.Unlock()
	if !allowed {
		return rowlease.ErrLapsed
	}
	c.config.Log.Info(eventlog.OrderSent, eventlog.Fields{
		eventlog.Backend: next.backend.ID, eventlog.Model: next.model, eventlog.Version: next.version,
		"holds": next.backend.Models[next.model], eventlog.Token: token, "taken": taken,
	})
	var done bool
	err := c.lease.Act(ctx, token, callLimit, func(ctx context.Context, permit rowlease.Permit) (err error) {
		done, err = c.config.Commander.Order(ctx, Order{
			Instance: next.backend.ID, Address: next.backend.Address, Model: next.model, Version: next.version,
			Taken: taken, Permit: permit, Mode: c.config.Mode,
		})
		return err
	})
	if withheld(err) || errors.Is(err, rowlease.ErrLapsed) {
		return err
	}
	if err != nil && (errors.Is(err, ErrFenced) || errors.Is(err, ErrMismatch) || errors.Is(err, ErrGone) || errors.Is(err, ErrRejected)) {
		c.forgetTaken(next.backend.ID)
		return err
	}
	if err != nil {
		// It may have been taken, or may be later: the reports will tell.
		c.forgetTaken(next.backend.ID)
		return nil
	}
	if !done {
		c.setTaken(next.backend.ID, taken+1)
	}
	return nil
}

// withheld tells whether an error says that this node kept a call back itself.
func withheld(err error) bool {
	var kept *eligibility.Error
	return errors.As(err, &kept)
}

// lost tells whether an error says that a back end is no longer asked what became of an
// order. One that has turned cold is asked again once it is warm, and one that the node
// cannot judge once it can.
func lost(err error) bool {
	var kept *eligibility.Error
	if !errors.As(err, &kept) {
		return false
	}
	switch kept.Reason.(type) {
	case eligibility.Evacuated, eligibility.Draining, eligibility.Gone:
		return true
	}
	return false
}

// unansweredMost is how long an order without an answer is waited for: it may
// be carried out late. After that it is given again, under the same condition.
const unansweredMost = 2500 * time.Millisecond

// awaitLoad waits until the back end reports the version.
func (c *Controller) awaitLoad(ctx context.Context, next step, taken int64) error {
	started := time.Now()
	first, every := c.looks()
	pause.For(ctx, first)
	for ctx.Err() == nil && time.Since(started) < loadMost {
		report, err := c.report(ctx, next)
		if errors.Is(err, ErrGone) || lost(err) {
			return err
		}
		if err == nil && report.Versions[next.model] >= next.version {
			c.setTaken(next.backend.ID, report.Taken)
			c.noteLoadTime(time.Since(started))
			c.noteParallel(next, time.Since(started), time.Now())
			return nil
		}
		if err == nil && !report.Busy && report.Taken == taken && time.Since(started) > unansweredMost {
			return errors.New("order was not taken")
		}
		pause.For(ctx, every)
	}
	c.forgetTaken(next.backend.ID)
	return errors.New("load takes too long")
}

// looks returns when a load is first asked about, and how often then.
func (c *Controller) looks() (first, every time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadTime == 0 {
		return 2 * lookEvery, lookEvery
	}
	return time.Duration(usualShare * float64(c.loadTime)), max(c.loadTime/looksPerLoad, lookLeast)
}

// noteLoadTime keeps the shortest recent time of a load; it forgets slowly, so
// that a change for the longer is learnt too.
func (c *Controller) noteLoadTime(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loadTime == 0 || took < c.loadTime {
		c.loadTime = took
		return
	}
	c.loadTime += (took - c.loadTime) / 8
}

// announceTries is how often an announcement is tried whose outcome is not known
// or that was refused.
const announceTries = 3

// announceOrder writes that an order to a back end follows. No order is sent
// without it, so that the next holder knows from the store which back ends it has
// to leave alone.
func (c *Controller) announceOrder(ctx context.Context, next step, token int64) error {
	var err error
	for range announceTries {
		if err = c.announce(ctx, next.backend.ID, token, next.model, nil); err == nil {
			return nil
		}
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

// announceResult writes how a load ended.
func (c *Controller) announceResult(ctx context.Context, next step, token int64, loaded map[string]int64) {
	if err := c.announce(ctx, next.backend.ID, token, "", loaded); err != nil {
		// That costs time only: the registry tells the versions later.
		c.config.Log.Warn(eventlog.LoadUntold, eventlog.Fields{
			eventlog.Backend: next.backend.ID, eventlog.Token: token, eventlog.Cause: err.Error(),
		})
	}
}

// announce tells all nodes the model that is loading, if any, and versions that
// have been loaded. The row is written on the condition that this node's term has
// not ended: what a later holder reads after it took the lease is final.
func (c *Controller) announce(ctx context.Context, id string, token int64, loading string, loaded map[string]int64) error {
	c.mu.Lock()
	load := Load{Versions: make(map[string]int64), Loading: loading, Share: c.shares[id]}
	maps.Copy(load.Versions, c.loads[id].Versions)
	maps.Copy(load.Versions, loaded)
	current := c.token == token
	if current {
		c.loads[id] = load
	}
	condition := rowstore.Condition{RowID: rowlease.TermID(LeaseName), Revision: c.termRevision}
	c.mu.Unlock()
	if len(loaded) > 0 || current {
		c.noteLoad(id, load)
	}
	if !current {
		return errTermOver
	}
	revision, err := c.config.Store.Commit(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{condition},
		Puts:       []rowstore.Row{{RowID: loadID(id), Value: encode(load)}},
	})
	if err == nil {
		c.noteAnnounced(id, revision)
	}
	return err
}

// noteAnnounced takes note that the store holds what this node announced, so that
// older rows which the view still delivers are passed over.
func (c *Controller) noteAnnounced(id string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision > c.seen[id].revision {
		c.seen[id] = seenLoad{revision: revision, at: time.Now()}
	}
}

// errTermOver says that a load outlived the term in which it was ordered.
var errTermOver = errors.New("reload: the term is over")

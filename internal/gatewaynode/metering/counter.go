package metering

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// CounterConfig configures a Counter.
type CounterConfig struct {
	Store rowstore.Store
	Log   *eventlog.Log
	// Node and Incarnation name this process.
	Node        string
	Incarnation int64
	// Window is the length of a window.
	Window time.Duration
	// Interval returns the least time between two writes.
	Interval func() time.Duration
}

// Counter counts the requests of this node. It is safe for concurrent use.
type Counter struct {
	config CounterConfig

	mu      sync.Mutex
	windows map[Window]*tally
	wakes   chan struct{}
}

// tally is what this node counted in a window.
type tally struct {
	counts Counts
	// revision is that of the row as this process knows it, 0 if there is none.
	revision int64
	// dirty tells that the row does not hold all counts.
	dirty bool
}

// NewCounter returns a counter; Run has to be called.
func NewCounter(config CounterConfig) *Counter {
	return &Counter{config: config, windows: make(map[Window]*tally), wakes: make(chan struct{}, 1)}
}

// Count counts a request of a tenant that began to run at a moment of true time.
func (c *Counter) Count(tenant string, began time.Time) {
	c.mu.Lock()
	window := windowAt(began, c.config.Window)
	held := c.windows[window]
	if held == nil {
		held = &tally{counts: make(Counts)}
		c.windows[window] = held
	}
	held.counts[tenant]++
	held.dirty = true
	c.mu.Unlock()
	c.wake()
}

// Run writes what is counted until ctx ends. A node that counts nothing sleeps.
func (c *Counter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wakes:
		}
		if !pause.For(ctx, c.config.Interval()) {
			return
		}
		if !c.Flush(ctx) {
			c.wake()
		}
	}
}

func (c *Counter) wake() {
	select {
	case c.wakes <- struct{}{}:
	default:
	}
}

// Flush writes what is not written yet, and tells whether all of it was.
func (c *Counter) Flush(ctx context.Context) bool {
	c.forget()
	transaction, sent := c.unwritten()
	if len(sent) == 0 {
		return true
	}
	revision, err := c.config.Store.Commit(ctx, transaction)
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		c.noteWritten(sent, revision)
		return true
	case errors.As(err, &conflict):
		c.noteConflict(conflict)
	default:
		c.config.Log.Warn(eventlog.UsageUnwritten, eventlog.Fields{eventlog.Count: len(sent), eventlog.Cause: err.Error()})
	}
	return false
}

// unwritten returns what writes the rows that do not hold all counts, and the counts
// that it writes.
func (c *Counter) unwritten() (rowstore.Transaction, map[Window]Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var transaction rowstore.Transaction
	sent := make(map[Window]Counts)
	for window, held := range c.windows {
		if !held.dirty {
			continue
		}
		id := c.rowID(window)
		transaction.Conditions = append(transaction.Conditions, rowstore.Condition{RowID: id, Revision: held.revision})
		transaction.Puts = append(transaction.Puts, rowstore.Row{RowID: id, Value: encode(held.counts)})
		sent[window] = maps.Clone(held.counts)
	}
	return transaction, sent
}

func (c *Counter) rowID(window Window) rowstore.RowID {
	return rowstore.RowID{
		Table: TableUsage, Partition: rowstore.Shard(c.config.Node), Key: rowKey(window, c.config.Node, c.config.Incarnation),
	}
}

func (c *Counter) noteWritten(sent map[Window]Counts, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for window, counts := range sent {
		held := c.windows[window]
		if held == nil {
			continue
		}
		held.revision = revision
		held.dirty = !maps.Equal(held.counts, counts)
		if held.dirty {
			c.wake()
		}
	}
}

// noteConflict takes the revisions of rows that are not as this process knew them:
// a write without an answer was carried out, or the window was fixed and its rows
// removed.
func (c *Counter) noteConflict(conflict *rowstore.ConflictError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range conflict.Rows {
		window, err := windowOf(row.Key)
		if held := c.windows[window]; err == nil && held != nil {
			held.revision = row.Revision
		}
	}
}

// keepWindows is for how many windows a node keeps counts: over a time without the
// store they wait for it.
const keepWindows = 24

// forget drops windows that are long over.
func (c *Counter) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := Window(0)
	for window := range c.windows {
		newest = max(newest, window)
	}
	for window, held := range c.windows {
		if window >= newest-keepWindows {
			continue
		}
		if held.dirty {
			c.config.Log.Warn(eventlog.UsageLost, eventlog.Fields{
				eventlog.Window: window.String(), eventlog.Count: held.counts.total(), eventlog.Cause: "not written for too long",
			})
		}
		delete(c.windows, window)
	}
}

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("metering: a row cannot be encoded: " + err.Error())
	}
	return encoded
}

package capacity

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/configlog"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/pause"
)

// submitted is a change that was accepted.
type submitted struct {
	revision int64
	at       time.Time
}

// submitAtRate submits a change every ChangeInterval, each at another node,
// until ctx ends.
func (c *cluster) submitAtRate(ctx context.Context) []submitted {
	var accepted []submitted
	for wait := c.cfg.ChangeInterval / 4; pause.For(ctx, wait); wait = c.cfg.ChangeInterval {
		c.changes++
		if change, ok := c.submit(context.WithoutCancel(ctx), c.changes); ok {
			accepted = append(accepted, change)
		}
	}
	return accepted
}

func (c *cluster) submit(ctx context.Context, number int) (submitted, bool) {
	const stride = 7 // spreads the submitters over zones and regions
	node := c.nodes[number*stride%len(c.nodes)]
	began := time.Now()
	result := node.config.Submit(ctx, configlog.NewChange("capacity", probeOperation(number)))
	return submitted{result.Revision, began}, result.Outcome == configlog.OutcomeAccepted
}

// submitBurst submits Burst changes at once, each at another node.
func (c *cluster) submitBurst(ctx context.Context) Spread {
	if reason := c.burstTooLarge(); reason != "" {
		return Spread{NotRun: reason}
	}
	var mu sync.Mutex
	var accepted []submitted
	before := c.snapshot()
	var group sync.WaitGroup
	for i := range c.cfg.Burst {
		group.Go(func() {
			change, ok := c.submit(ctx, c.changes+1+i)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			accepted = append(accepted, change)
		})
	}
	group.Wait()
	c.changes += c.cfg.Burst
	spread := c.spread(ctx, accepted)
	spread.Missing += c.cfg.Burst - len(accepted)
	after := c.snapshot()
	pushed := after.kinds[configlog.KindPush].BytesOut - before.kinds[configlog.KindPush].BytesOut
	spread.BytesOut = float64(pushed) / float64(len(c.nodes)) / float64(max(1, len(accepted)))
	return spread
}

// burstTooLarge says why a burst would run out of file descriptors: each push
// opens a connection to a member that the node has none to, and the process
// holds both ends. It returns an empty text if the burst fits.
func (c *cluster) burstTooLarge() string {
	n := float64(len(c.nodes))
	pushes := 2 * float64(c.cfg.Burst)
	opened := n * (n - 1) * (1 - math.Pow(max(0, 1-configlog.DefaultPushFanout/max(1, n-1)), pushes))
	needed := openFiles() + int(opened)
	limit := fileLimit()
	if float64(needed) <= usableFiles*float64(limit) {
		return ""
	}
	return fmt.Sprintf("needs about %d open files, the limit is %d", needed, limit)
}

// spread waits until all nodes have applied the changes and tells how long it
// took.
func (c *cluster) spread(ctx context.Context, changes []submitted) Spread {
	spread := Spread{Changes: len(changes)}
	c.waitFor(ctx, func() bool {
		for _, change := range changes {
			if count, _ := c.world.applied.everywhere(change.revision); count < len(c.nodes) {
				return false
			}
		}
		return true
	})
	var took []float64
	for _, change := range changes {
		count, last := c.world.applied.everywhere(change.revision)
		if count < len(c.nodes) {
			spread.Missing++
			continue
		}
		took = append(took, milliseconds(last.Sub(change.at)))
		spread.Longest = max(spread.Longest, took[len(took)-1])
	}
	spread.Median = median(took)
	return spread
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// appliedTimes collects when each node applied each revision.
type appliedTimes struct {
	mu    sync.Mutex
	times map[string][]appliedRevision
}

type appliedRevision struct {
	revision int64
	at       time.Time
}

func newAppliedTimes() *appliedTimes { return &appliedTimes{times: map[string][]appliedRevision{}} }

// Record implements history.Sink.
func (a *appliedTimes) Record(event history.Event) {
	if event.Kind != history.KindConfigApplied {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[event.Process] = append(a.times[event.Process], appliedRevision{event.Revision, time.Now()})
}

// everywhere returns how many nodes have applied the revision or a later one,
// and when the last of them did.
func (a *appliedTimes) everywhere(revision int64) (int, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	count, last := 0, time.Time{}
	for _, times := range a.times {
		for _, applied := range times {
			if applied.revision < revision {
				continue
			}
			count++
			if applied.at.After(last) {
				last = applied.at
			}
			break
		}
	}
	return count, last
}

// forget drops a node that was killed.
func (a *appliedTimes) forget(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.times, node)
}

package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
	"github.com/sliplift/sliplift/internal/emulator/fault"
)

// core is the memory of one incarnation of an engine, and the loop that moves
// its machine along with real time.
type core struct {
	config  Config
	needs   Dependencies
	lg      logrus.FieldLogger
	leaving *atomic.Bool
	started time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// wake tells the loop to look at the machine again.
	wake chan struct{}

	// mu guards all below. History is recorded under it, so that the start of a
	// stream stands before its end.
	mu          sync.Mutex
	frozen      bool
	frozenSince time.Time
	frozenFor   time.Duration
	machine     *batch.Machine
	streams     map[batch.Key]*stream
	cacheLog    cacheLog
	role        api.Role
	epoch       int64
	adapter     string
	loads       loadState
	snapshot    api.LoadReport
	snapshotAt  time.Time
}

func newCore(lg logrus.FieldLogger, config Config, needs Dependencies, leaving *atomic.Bool) *core {
	ctx, cancel := context.WithCancel(context.Background())
	c := &core{
		config:   config,
		needs:    needs,
		lg:       lg,
		leaving:  leaving,
		started:  time.Now(),
		ctx:      ctx,
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		machine:  batch.NewMachine(config.Batch),
		streams:  map[batch.Key]*stream{},
		cacheLog: newCacheLog(config),
		role:     api.RoleServing,
		loads:    loadState{ended: make(chan string, 1)},
	}
	c.refreshSnapshot(c.started)
	return c
}

func (c *core) start() { c.workers.Go(c.run) }

// close stops the loop and the load in progress. All handlers have returned.
func (c *core) close() {
	c.cancel()
	c.workers.Wait()
}

func (c *core) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := c.needs.Faults.Changed()
		timer.Reset(c.turn(time.Now()))
		select {
		case <-timer.C:
		case <-c.wake:
		case <-changed:
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *core) wakeLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// turn brings the core up to now and returns the time until the next turn.
func (c *core) turn(now time.Time) time.Duration {
	frozen := c.needs.Faults.Active(c.config.Name, fault.KindFreeze)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setFrozen(now, frozen)
	if frozen {
		return c.config.LoadLag
	}
	c.advance(now)
	c.offer()
	if now.Sub(c.snapshotAt) >= c.config.LoadLag {
		c.refreshSnapshot(now)
	}
	untilSnapshot := c.config.LoadLag - now.Sub(c.snapshotAt)
	next, running := c.machine.NextProgressAt(c.tokensUntilFrame())
	if !running {
		return untilSnapshot
	}
	return min(untilSnapshot, next-c.machineTime(now))
}

// setFrozen stops and restarts the machine's time.
func (c *core) setFrozen(now time.Time, frozen bool) {
	if frozen == c.frozen {
		return
	}
	if frozen {
		c.frozenSince = now
	} else {
		c.frozenFor += now.Sub(c.frozenSince)
	}
	c.frozen = frozen
}

func (c *core) machineTime(now time.Time) time.Duration {
	if c.frozen {
		now = c.frozenSince
	}
	return now.Sub(c.started) - c.frozenFor
}

// advance runs the machine until now and takes in what happened.
func (c *core) advance(now time.Time) {
	for _, event := range c.machine.Advance(c.machineTime(now)) {
		switch event.Kind {
		case batch.EventEnded:
			c.endStream(event.Key, event.Reason, event.Progress)
		case batch.EventLoaded:
			c.loads.ended <- ""
		case batch.EventLoadFailed:
			c.loads.ended <- event.Failure
		case batch.EventCached, batch.EventEvicted:
			c.cacheLog.add(now, event)
		case batch.EventStarted, batch.EventPreempted:
		}
	}
}

// offer notifies the handlers of streams that have tokens for a frame.
func (c *core) offer() {
	for key, s := range c.streams {
		produced, _ := c.machine.Produced(key)
		if produced-s.offered >= c.config.ChunkTokens {
			s.offered = produced
			s.wakeHandler()
		}
	}
}

// tokensUntilFrame returns the smallest number of tokens that a stream lacks to
// fill its next frame.
func (c *core) tokensUntilFrame() int {
	least := c.config.ChunkTokens
	for key, s := range c.streams {
		produced, _ := c.machine.Produced(key)
		least = min(least, c.config.ChunkTokens-(produced-s.offered))
	}
	return max(1, least)
}

func (c *core) refreshSnapshot(now time.Time) {
	c.snapshotAt = now
	c.snapshot = c.report(now)
}

// report returns the load as it is now.
func (c *core) report(now time.Time) api.LoadReport {
	load := c.machine.Load()
	return api.LoadReport{
		Backend:    c.config.Name,
		AsOfMS:     now.UnixMilli(),
		Running:    load.Running,
		Waiting:    load.Waiting,
		Capacity:   load.Capacity,
		Version:    load.Version,
		Loading:    c.loads.current,
		LoadError:  c.loads.failure,
		Role:       c.role,
		Leaving:    c.leaving.Load(),
		CacheUsed:  load.CacheUsed,
		CacheSize:  load.CacheSize,
		OrderEpoch: c.epoch,
	}
}

// laggedReport returns the last snapshot.
func (c *core) laggedReport() api.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
	"github.com/sliplift/sliplift/internal/emulator/fault"
)

// ErrLoad is the reason of a load that failed.
const ErrLoad = errs.Tag("load failed")

// loadState follows the loading of weight versions. The core's mutex guards it,
// except the channel.
type loadState struct {
	// wanted is the version to load next, zero if none.
	wanted int64
	// current is the version being loaded, zero if none.
	current int64
	// working says that a goroutine is at it.
	working bool
	failure string
	// ended gets the failure, or an empty string, when the machine ends a swap.
	ended chan string
}

// order takes an order unless a holder with a higher epoch was heard.
func (c *core) order(order api.Order) (api.OrderResponse, *api.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if order.Epoch < c.epoch {
		return api.OrderResponse{}, api.Refusal(http.StatusConflict, api.CodeFenced, 0,
			"%s: epoch %d is below %d", c.config.Name, order.Epoch, c.epoch)
	}
	if invalid := checkOrder(order); invalid != nil {
		return api.OrderResponse{}, invalid
	}
	c.epoch = order.Epoch
	switch order.Kind {
	case api.OrderSetRole:
		c.role = order.Role
	case api.OrderLoadAdapter:
		// An adapter is small: it is in place at once and changes no text.
		c.adapter = order.Adapter
	case api.OrderLoadVersion:
		c.want(order.Version)
	}
	return api.OrderResponse{Accepted: true, Epoch: c.epoch}, nil
}

func checkOrder(order api.Order) *api.Error {
	switch order.Kind {
	case api.OrderSetRole:
		if order.Role != api.RoleServing && order.Role != api.RoleDraining {
			return api.Invalid("role: %q", order.Role)
		}
	case api.OrderLoadVersion:
		if order.Version <= 0 {
			return api.Invalid("version: %d is not positive", order.Version)
		}
	case api.OrderLoadAdapter:
		if order.Adapter == "" {
			return api.Invalid("adapter: empty")
		}
	default:
		return api.Invalid("kind: %q", order.Kind)
	}
	return nil
}

// want makes version the next to load, in place of one that waits.
func (c *core) want(version int64) {
	if version == c.loads.current {
		c.loads.wanted = 0
		return
	}
	c.loads.wanted = version
	if !c.loads.working {
		c.loads.working = true
		c.beginWanted()
		c.workers.Go(c.loadWanted)
	}
}

// beginWanted makes the wanted version the current one, or zero if the machine
// has it already.
func (c *core) beginWanted() {
	c.loads.current = c.loads.wanted
	c.loads.wanted = 0
	c.loads.failure = ""
	if c.loads.current == c.machine.Load().Version {
		c.loads.current = 0
	}
}

// loadWanted loads versions until none is wanted.
func (c *core) loadWanted() {
	for {
		version, found := c.nextLoad()
		if !found {
			return
		}
		c.endLoad(version, c.load(version))
	}
}

func (c *core) nextLoad() (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads.current == 0 && c.loads.wanted != 0 {
		c.beginWanted()
	}
	c.loads.working = c.loads.current != 0
	return c.loads.current, c.loads.working
}

func (c *core) endLoad(version int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads.current = 0
	if err != nil {
		c.loads.failure = fmt.Sprintf("version %d: %v", version, err)
		c.lg.WithError(err).WithField("version", version).Info("load failed")
	}
}

// load pulls a version and swaps to it.
func (c *core) load(version int64) error {
	if err := c.pull(version); err != nil {
		return err
	}
	swap := batch.Swap{Version: version, Pause: c.config.SwapPause}
	if _, fails := c.needs.Faults.Take(c.config.Name, fault.KindLoadFail); fails {
		swap.Pause /= 2
		swap.Failure = "swap failed partway"
	}
	c.mu.Lock()
	err := c.machine.BeginLoad(c.machineTime(time.Now()), swap)
	c.mu.Unlock()
	if err != nil {
		return ErrLoad.Wrap(err)
	}
	c.wakeLoop()
	select {
	case failure := <-c.loads.ended:
		if failure != "" {
			return ErrLoad.Errorf("%s", failure)
		}
		return nil
	case <-c.ctx.Done():
		return ErrLoad.Wrap(c.ctx.Err())
	}
}

// pull gets the weights from the store; where the store refuses it for its
// rate, it comes back when the store says.
func (c *core) pull(version int64) error {
	for attempt := 1; ; attempt++ {
		err := c.pullOnce(version)
		var refused *api.Error
		if !errors.As(err, &refused) || refused.Code != api.CodeRateLimited || attempt >= c.config.PullAttempts {
			return ErrLoad.Wrap(err)
		}
		if err := fault.Sleep(c.ctx, api.Milliseconds(max(1, refused.RetryAfterMS))); err != nil {
			return ErrLoad.Wrap(err)
		}
	}
}

func (c *core) pullOnce(version int64) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.PullTimeout)
	defer cancel()
	_, err := c.needs.Weights.GetWeights(ctx, c.config.Model, version)
	return err
}

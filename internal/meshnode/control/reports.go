package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/weights"
)

// ErrLeaseLost is returned for an order whose shard this node no longer holds.
const ErrLeaseLost = errs.Tag("control: lease lost")

const (
	// SettingSwapShare is the configuration setting for weights.Limits.SwapShare.
	SettingSwapShare = "weights.swap_share"
	// SettingMaxPulls is the configuration setting for the concurrent pulls from
	// the weight store over all shards.
	SettingMaxPulls = "weights.max_pulls"
)

// readReports asks every back end of the shard for its load.
func (c *Controller) readReports(ctx context.Context, shard Shard) []BackendReport {
	reports := make([]BackendReport, len(shard.Backends))
	var group sync.WaitGroup
	for i, backend := range shard.Backends {
		group.Go(func() {
			c.slots <- struct{}{}
			defer func() { <-c.slots }()
			reports[i] = c.readReport(ctx, shard.Pool.Name, backend)
		})
	}
	group.Wait()
	return reports
}

func (c *Controller) readReport(ctx context.Context, pool string, backend configlog.Backend) BackendReport {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ReportTimeout)
	defer cancel()
	report, err := c.client.Load(ctx, backend.Address)
	result := BackendReport{Backend: backend, Pool: pool, Report: report, Err: err}
	if err == nil {
		result.HeardAt = time.Now()
	}
	return result
}

// Reports returns the last report of every back end whose shard this node
// holds, by name.
func (c *Controller) Reports() []BackendReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.SortedFunc(maps.Values(c.reports), func(a, b BackendReport) int {
		return cmp.Compare(a.Backend.Name, b.Backend.Name)
	})
}

// Progress returns the version rollout of each shard that this node holds.
func (c *Controller) Progress() map[string]weights.Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	progress := make(map[string]weights.Progress, len(c.rollouts))
	for shard, rollout := range c.rollouts {
		progress[shard] = rollout.Progress()
	}
	return progress
}

// limitsFor applies the configuration's settings; the weight store's pulls are
// divided among the shards. A value that does not parse was refused when the
// setting was changed, so it is passed over here.
func limitsFor(limits weights.Limits, state *configlog.State, shardCount int) weights.Limits {
	if share, err := strconv.ParseFloat(state.Settings[SettingSwapShare], 64); err == nil && share > 0 && share <= 1 {
		limits.SwapShare = share
	}
	if pulls, err := strconv.Atoi(state.Settings[SettingMaxPulls]); err == nil && pulls > 0 {
		limits.MaxPulls = max(1, pulls/max(1, shardCount))
	}
	return limits
}

package capacity

import (
	"context"
	"fmt"
	"runtime"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/pause"
)

// Run measures each cluster size and then the slopes of the data roles. A size
// that could not be measured says so in its entry, and the others go on.
func Run(ctx context.Context, cfg Config) (Result, error) {
	result := Result{Machine: Machine{
		Processors: runtime.GOMAXPROCS(0), Go: runtime.Version(), LoadBefore: loadAverage(), FileLimit: fileLimit(),
	}}
	for _, nodes := range cfg.Nodes {
		size, err := measureSize(ctx, cfg, nodes)
		if err != nil {
			size.Failed = err.Error()
		}
		result.Sizes = append(result.Sizes, size)
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
	}
	if cfg.Slopes {
		slopes, err := measureSlopes(ctx, cfg)
		if err != nil {
			return result, err
		}
		result.Slopes = &slopes
	}
	result.Machine.LoadAfter = loadAverage()
	return result, nil
}

// measureSize runs all phases on a cluster of one size.
func measureSize(ctx context.Context, cfg Config, nodes int) (Size, error) {
	phase := func(name string) { cfg.Progress(fmt.Sprintf("%d nodes: %s", nodes, name)) }
	size := Size{Nodes: nodes, Load: loadAverage()}
	memoryBefore := memoryInUse()
	phase("forming")
	c, err := newCluster(ctx, cfg, nodes)
	if err != nil {
		return size, err
	}
	size.Shards = c.shards
	size.FormsMS = milliseconds(c.formed)
	phase("settling")
	pause.For(ctx, cfg.Settle)
	phase("measuring")
	c.measureRates(ctx, &size)
	size.MemoryBytes = (memoryInUse() - memoryBefore) / float64(nodes)
	phase("a burst of changes")
	size.Burst = c.submitBurst(ctx)
	for range min(cfg.Kills, nodes-1) {
		phase("killing a node")
		kill, err := c.killOne(ctx)
		if err != nil {
			return size, errs.Combine(err, c.close())
		}
		size.Kills = append(size.Kills, kill)
	}
	phase("a weight version")
	size.Weights = c.spreadWeights(ctx)
	return size, errs.Combine(ctx.Err(), c.close())
}

package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/configlog"
	"github.com/sliplift/sliplift/internal/membership"
)

// killOne kills the last node that holds a shard and watches what follows.
func (c *cluster) killOne(ctx context.Context) (Kill, error) {
	index := len(c.nodes) - 1
	for i, node := range slices.Backward(c.nodes) {
		if len(node.holds()) > 0 {
			index = i
			break
		}
	}
	victim := c.nodes[index]
	lost := victim.holds()
	began := time.Now()
	err := victim.kill()
	c.nodes = slices.Delete(c.nodes, index, index+1)
	c.world.applied.forget(victim.identity.Name)
	kill := Kill{Shards: len(lost)}
	since := func() float64 { return milliseconds(time.Since(began)) }
	done := c.waitFor(ctx, func() bool {
		dead := c.countDead(victim.identity.Name)
		if dead > 0 && kill.FirstMS == 0 {
			kill.FirstMS = since()
		}
		if dead == len(c.nodes) && kill.AllMS == 0 {
			kill.AllMS = since()
		}
		if kill.TakeoverMS == 0 && c.holdsAll(lost) {
			kill.TakeoverMS = since()
		}
		return kill.AllMS > 0 && kill.TakeoverMS > 0
	})
	kill.TimedOut = !done
	return kill, err
}

func (c *cluster) countDead(name string) int {
	dead := 0
	for _, node := range c.nodes {
		member, known := node.membership.Snapshot().Find(name)
		if !known || member.State == membership.StateDead {
			dead++
		}
	}
	return dead
}

// holdsAll tells whether each of the shards has a holder.
func (c *cluster) holdsAll(shards []string) bool {
	for _, shard := range shards {
		held := slices.ContainsFunc(c.nodes, func(n *hollowNode) bool {
			_, ok := n.leases.Held(shard)
			return ok
		})
		if !held {
			return false
		}
	}
	return true
}

// spreadWeights publishes a version and waits until all samplers have it.
func (c *cluster) spreadWeights(ctx context.Context) Weights {
	const version = firstWeight + 1
	ordersBefore, failedBefore := c.world.samplers.counts()
	before := c.snapshot()
	publish := configlog.Operation{PublishVersion: &configlog.PublishVersion{Pool: poolName, Version: version}}
	result := Weights{Samplers: c.cfg.Samplers}
	if c.nodes[0].config.Submit(ctx, configlog.NewChange("capacity", publish)).Outcome != configlog.OutcomeAccepted {
		return result
	}
	c.waitFor(ctx, func() bool {
		loaded, _ := c.world.samplers.loaded(version)
		return loaded == c.cfg.Samplers
	})
	result.CorePercent = c.rates(before, c.snapshot()).core
	loaded, last := c.world.samplers.loaded(version)
	orders, failed := c.world.samplers.counts()
	result.Loaded = loaded
	result.TookMS = milliseconds(last.Sub(before.at))
	result.Orders = orders - ordersBefore
	result.Failed = failed - failedBefore
	return result
}

package node

import (
	"context"
	"strconv"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/control"
	"github.com/sliplift/sliplift/internal/meshnode/lease"
	"github.com/sliplift/sliplift/internal/meshnode/roster"
)

// followConfiguration hands each revision to the parts that work by it.
func (n *Node) followConfiguration(ctx context.Context) {
	changed, unsubscribe := n.configuration.Subscribe()
	defer unsubscribe()
	for {
		n.applyConfiguration(n.configuration.Current())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) applyConfiguration(state *configlog.State) {
	n.backends.Apply(n.visibleState(state))
	n.leases.SetShards(leaseShards(state))
	n.controller.Wake()
}

// visibleState is the state, or for the test that shows what drains are for,
// the state without them.
func (n *Node) visibleState(state *configlog.State) *configlog.State {
	if !n.cfg.Faults.IgnoreDrains {
		return state
	}
	blind := *state
	blind.Drains = nil
	return &blind
}

// visibleConfiguration gives the control loop the configuration.
type visibleConfiguration struct{ node *Node }

// Current implements control.Configuration.
func (v visibleConfiguration) Current() *configlog.State {
	return v.node.visibleState(v.node.configuration.Current())
}

// visibleMachines gives the control loop the machines that leave.
type visibleMachines struct{ node *Node }

// Leaving implements control.MachineWatch.
func (v visibleMachines) Leaving() map[string]bool {
	if v.node.cfg.Faults.IgnoreDrains {
		return nil
	}
	return v.node.machines.Leaving()
}

// leaseShards are the shards of all pools, and the lease under which one node
// keeps the list of claim members.
func leaseShards(state *configlog.State) []lease.Shard {
	shards := []lease.Shard{{Name: roster.LeaseShard}}
	for _, shard := range control.Shards(state) {
		shards = append(shards, lease.Shard{Name: shard.Name, Zone: shard.Zone()})
	}
	return shards
}

func formatInt(value int64) string { return strconv.FormatInt(value, 10) }

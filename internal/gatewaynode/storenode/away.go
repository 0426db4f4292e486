package storenode

import (
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

const (
	// awayEvery is how often it is looked whether the machine was away; beliefs count time
	// away by themselves, this is for operators alone.
	awayEvery = 250 * time.Millisecond
	// awaySaid is the least time away that is told.
	awaySaid = 100 * time.Millisecond
)

// awayWatch tells when the machine was suspended.
type awayWatch struct {
	mark clock.Mark
	// total is for how long the machine was away in all, in nanoseconds.
	total atomic.Int64
}

// lookAway says if the machine was away since the last look, and what the node gave up for it.
func (n *Node) lookAway() {
	lasted := n.away.mark.Since()
	if lasted < awaySaid {
		return
	}
	n.away.mark = clock.NewMark()
	n.away.total.Add(int64(lasted))
	_, held := n.controller.Holder()
	n.config.Log.Warn(eventlog.MachineAway, eventlog.Fields{
		"away_ms": lasted.Milliseconds(), eventlog.ConfigAge: n.ConfigAge().Milliseconds(),
		"registry_age_ms": n.RegistryAge().Milliseconds(), "lease_held": held,
	})
	n.kick()
}

// Away returns for how long the machine was suspended since the node began.
func (n *Node) Away() time.Duration { return time.Duration(n.away.total.Load()) }

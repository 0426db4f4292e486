package node

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/claim"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/lease"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
	"github.com/sliplift/sliplift/internal/settings"
)

// Config is what a Node is made of.
type Config struct {
	Settings settings.Node
	// Incarnation is larger than that of every earlier process of this name.
	Incarnation int64
	// CallerListener, OperatorListener and PeerListener are the node's ports;
	// the node closes them.
	CallerListener, OperatorListener, PeerListener net.Listener
	// Dial opens connections to everything; nil means TCP.
	Dial engine.DialFunc
	Log  logrus.FieldLogger
	// Sink takes the node's events; nil drops them.
	Sink history.Sink
	// Faults switches mechanisms off, for tests that show that a proof can fail.
	Faults Faults
}

// Faults holds the test-only switches of the parts. The zero value has every
// mechanism on.
type Faults struct {
	Rollout   rollout.Faults
	Claim     claim.Faults
	Configlog configlog.Faults
	Lease     lease.Faults
	Engine    engine.Faults
	Dispatch  dispatch.Faults
	// VersionsFromConfiguration names in samples the pool's target version
	// instead of those that the streams reported.
	VersionsFromConfiguration bool
	// IgnoreDrains keeps the node from learning of drains, and from ordering back
	// ends to refuse.
	IgnoreDrains bool
	// CutOnStop ends a planned stop without waiting for what is in flight.
	CutOnStop bool
}

func (c Config) withDefaults() Config {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if c.Sink == nil {
		c.Sink = history.Discard{}
	}
	c.Log = c.Log.WithField("node", c.Settings.Name)
	return c
}

// dialTimeout bounds the opening of one connection.
const dialTimeout = 2 * time.Second

func (c Config) platformAddresses() storeclient.Addresses {
	return storeclient.Addresses{
		Table:    c.Settings.TableAddress,
		Objects:  c.Settings.ObjectsAddress,
		Weights:  c.Settings.WeightsAddress,
		Machines: c.Settings.MachinesAddress,
		Scoring:  c.Settings.ScoringAddress,
	}
}

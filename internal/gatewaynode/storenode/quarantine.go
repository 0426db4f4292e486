package storenode

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/quarantine"
)

// registered returns what the registry says of a back end.
func (n *Node) registered(id string) quarantine.Registered {
	b, found := n.fleet.Get(id, time.Now())
	return quarantine.Registered{Present: found, Leaving: b.Draining, Service: b.Service}
}

// probeDialer returns how back ends are probed: as calls to them are dialed.
func probeDialer(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	if dial != nil {
		return dial
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext
}

// Quarantine returns what the node knows of requests that end their back ends.
func (n *Node) Quarantine() *quarantine.Tracker { return n.quarantine }

// tellEvidence tells other nodes of ends that could not be written to the store.
func (n *Node) tellEvidence(ctx context.Context, ends []quarantine.Failure) {
	if n.config.Tell != nil {
		n.config.Tell(ctx, quarantine.EncodeFailures(ends))
	}
}

// Told takes what another node told by Config.Tell.
func (n *Node) Told(message json.RawMessage) { n.quarantine.ReceiveFailures(message) }

// knowsEvidence tells whether the node has read what it must not send on.
func (n *Node) knowsEvidence() bool { return n.quarantine.HasKey() && n.evidenceLoaded() }

// evidenceLoaded tells whether the evidence has been read whole. It is asked for each request:
// a view's status would read the clocks for the view's age, which does not count here.
func (n *Node) evidenceLoaded() bool {
	select {
	case <-n.evidence.Loaded():
		return true
	default:
		return false
	}
}

// evidenceRest is how long the reading of the evidence may rest after a failure: not at all
// before it has been read, since the node serves nothing until then. Of 299 nodes that start
// at once, many would be refused at first, and would serve up to three seconds later.
func (n *Node) evidenceRest() time.Duration {
	if !n.evidenceLoaded() {
		return 0
	}
	return n.pacing.IdleRest()
}

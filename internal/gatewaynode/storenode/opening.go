package storenode

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// observeOpening tells of a new connection to a back end, and learns from it how far that
// is.
func (n *Node) observeOpening(opening upstream.Opening) {
	n.config.Log.Info(eventlog.BackendOpened, eventlog.Fields{
		eventlog.Backend: opening.Peer.Instance, eventlog.Purpose: string(opening.Purpose), eventlog.Cause: string(opening.Cause),
		eventlog.TookMillis: opening.Took.Milliseconds(),
	})
	if backend, found := n.fleet.Get(opening.Peer.Instance, time.Now()); found {
		n.reach.Observe(backend.Zone, opening.Took, time.Now())
	}
	if n.config.ObserveOpening != nil {
		n.config.ObserveOpening(opening)
	}
}

package storenode

import (
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// observeOpening tells of a new connection to a back end.
func (n *Node) observeOpening(opening upstream.Opening) {
	n.config.Log.Info(eventlog.BackendOpened, eventlog.Fields{
		eventlog.Backend: opening.Peer.Instance, eventlog.Purpose: string(opening.Purpose), eventlog.Cause: string(opening.Cause),
		eventlog.TookMillis: opening.Took.Milliseconds(),
	})
	if n.config.ObserveOpening != nil {
		n.config.ObserveOpening(opening)
	}
}

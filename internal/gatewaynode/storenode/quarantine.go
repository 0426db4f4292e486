package storenode

import (
	"context"
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
func (n *Node) Quarantine() *quarantine.Book { return n.quarantine }

package storenode

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// Addresses returns where callers of a host should connect, and for how long that holds.
// It returns none if all that the host serves is bound to regions without a node, and the
// caller's own region has none.
func (n *Node) Addresses(host string, caller place.Place) ([]string, time.Duration) {
	return n.presence.Addresses(caller, addressBounds(n.table.Load(), host, caller), time.Now()), n.config.AddressTTL
}

// addressBounds returns where callers of a host may be sent beside their own region.
// Before there is a configuration it is not known where its routes may be served.
func addressBounds(table *routetable.Table, host string, caller place.Place) presence.Bounds {
	if table == nil {
		own := place.NewRegions(caller.Region)
		return presence.Bounds{Common: own, Any: own, Strict: true}
	}
	found := table.HostRegions(host)
	return presence.Bounds{Common: found.Common, Any: found.Any, Strict: found.Strict}
}

// servedIn returns where the configuration in force allows the requests of a tenant on a
// route to be served. A route that it no longer has binds nothing.
func (n *Node) servedIn(route, tenantName string) place.Regions {
	table := n.table.Load()
	if table == nil {
		return place.Regions{}
	}
	return table.RegionsOf(table.ByName(route), tenantName)
}

// SubmissionRegions returns the regions in which the body of a submission on a route may
// be seen, as far as this node can tell whose key comes with it: it is not to leave the
// node's own region while that is not known.
func (n *Node) SubmissionRegions(route *routetable.Route, key string) place.Regions {
	table := n.table.Load()
	if table == nil {
		return n.ownRegion()
	}
	name, sure := holderOf(table, key)
	if !sure {
		return n.ownRegion().Intersect(table.RegionsOf(route, ""))
	}
	return table.RegionsOf(route, name)
}

// JobCallRegions returns the regions in which the answer to a call about a job may be
// seen. Of a job that this node does not know, it is where any job of the host may live.
func (n *Node) JobCallRegions(job, host, key string) place.Regions {
	if regions, known := n.jobs.JobRegions(job); known {
		return regions
	}
	table := n.table.Load()
	if table == nil {
		return n.ownRegion()
	}
	name, sure := holderOf(table, key)
	if !sure {
		return n.ownRegion().Intersect(table.HostJobRegions(host, ""))
	}
	return table.HostJobRegions(host, name)
}

// holderOf returns the name of the tenant that holds a key, and whether that is known:
// the configuration may be too old to have the key.
func holderOf(table *routetable.Table, key string) (name string, sure bool) {
	if table.Tenants == nil || key == "" {
		return "", true
	}
	holder, held := table.Tenants.Holder(key)
	return holder.Name, held
}

// ownRegion returns the node's own region, every region where regions are not told apart.
func (n *Node) ownRegion() place.Regions {
	if n.config.Self.Region == "" {
		return place.Regions{}
	}
	return place.NewRegions(n.config.Self.Region)
}

package storenode

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/tenant"
)

// Match is the outcome of looking a route up.
type Match struct {
	Route  *routetable.Route
	Config *routetable.Table
	// Denied tells that there certainly is no such route; without it and without a
	// route the node cannot tell.
	Denied bool
}

// Match looks the route of a request up.
func (n *Node) Match(host, path string) Match {
	table := n.table.Load()
	if table == nil || !n.knowsEvidence() {
		// What is not known to end back ends must not be sent on.
		return Match{}
	}
	if route := table.Match(host, path); route != nil {
		return Match{Route: route, Config: table}
	}
	status := n.operator.Status()
	fresh := status.Healthy && status.Age(time.Now()) <= n.config.FreshMost
	return Match{Config: table, Denied: fresh}
}

// Tenant returns on whose behalf a request with a key is made. A request about a
// route that is not known yet counts as one that is not public.
func (n *Node) Tenant(key string, route *routetable.Route) (tenant.Tenant, tenant.Verdict) {
	table := n.table.Load()
	if table == nil {
		return tenant.Tenant{}, tenant.Unsure
	}
	status := n.operator.Status()
	age := status.Age(time.Now())
	known := tenant.Knowledge{
		MayDeny:  status.Healthy && age <= n.config.FreshMost,
		MayGrant: n.config.KeysConfirmed <= 0 || age <= n.config.KeysConfirmed,
	}
	return table.Tenants.Decide(key, route != nil && route.Public, known)
}

// KnowsTenants tells whether the configuration tells callers apart.
func (n *Node) KnowsTenants() bool {
	table := n.table.Load()
	return table != nil && table.Tenants != nil
}

// ConfigKnown tells whether the node has read a configuration.
func (n *Node) ConfigKnown() bool { return n.table.Load() != nil }

// ConfigVersion returns the version of the configuration in force, 0 if there is
// none.
func (n *Node) ConfigVersion() int64 {
	if table := n.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// ConfigAge returns when the configuration was last confirmed.
func (n *Node) ConfigAge() time.Duration { return n.operator.Status().Age(time.Now()) }

// RegistryAge returns how long ago the registry of back ends was certain to be known whole.
func (n *Node) RegistryAge() time.Duration {
	age, _ := n.registry.Age(time.Now())
	return age
}

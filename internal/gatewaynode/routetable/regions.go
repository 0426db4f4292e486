package routetable

import (
	"slices"
	"strings"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// Confinements returns the sets of regions that batch jobs may be bound to, each once:
// of every batch route with every tenant. Jobs that may live everywhere, and those that
// may live nowhere, are not among them.
func (t *Table) Confinements() []place.Regions {
	tenants := append(t.Tenants.Regions(), place.Regions{})
	var found []place.Regions
	for i := range t.Routes {
		if t.Routes[i].Kind != KindBatch {
			continue
		}
		for _, regions := range tenants {
			both := t.Routes[i].Regions.Intersect(regions)
			if !both.IsAll() && !both.IsEmpty() && !slices.Contains(found, both) {
				found = append(found, both)
			}
		}
	}
	return found
}

// HostRegions is where the requests on a host's routes may be served.
type HostRegions struct {
	// Common are the regions that all bound routes allow, Any those that one of them
	// does; both are every region for a host without bound routes.
	Common, Any place.Regions
	// Strict tells that all routes of the host are bound.
	Strict bool
}

// HostRegions returns where the requests on a host's routes may be served, whoever the
// tenant is.
func (t *Table) HostRegions(host string) HostRegions {
	found := HostRegions{Strict: true}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if route.Regions.IsAll() {
			found.Strict = false
			continue
		}
		if found.Any.IsAll() {
			found.Common, found.Any = route.Regions, route.Regions
			continue
		}
		found.Common, found.Any = found.Common.Intersect(route.Regions), found.Any.Union(route.Regions)
	}
	found.Strict = found.Strict && !found.Any.IsAll()
	return found
}

// HostJobRegions returns the regions in which any batch job on a host's routes may live
// for a tenant; it may be that there is none.
func (t *Table) HostJobRegions(host, name string) place.Regions {
	regions := t.Tenants.Named(name).Regions
	for _, route := range t.byHost[strings.ToLower(host)] {
		if route.Kind == KindBatch {
			regions = regions.Intersect(route.Regions)
		}
	}
	return regions
}

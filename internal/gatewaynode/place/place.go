// Package place describes the location of nodes, backends and callers. A zone is a group
// of machines that may fail together; a region is a group of zones with low latency between
// them. The types Place, Map and Regions are immutable values.
package place

import (
	"slices"
	"strings"
)

// Place is a location.
type Place struct{ Zone, Region string }

// Map maps zones to regions. The zero Map is empty.
type Map struct{ regions map[string]string }

// NewMap returns a Map of zones to regions. It retains regions, which must not be modified
// afterwards.
func NewMap(regions map[string]string) Map { return Map{regions: regions} }

// Region returns the region of a zone, empty if the zone is unknown.
func (m Map) Region(zone string) string { return m.regions[zone] }

// Of returns the place of a zone. Its region is empty if the zone is unknown.
func (m Map) Of(zone string) Place { return Place{Zone: zone, Region: m.regions[zone]} }

// Zones returns the number of zones.
func (m Map) Zones() int { return len(m.regions) }

// Regions is the set of regions in which a request may be served and its data cached and
// stored. The zero value contains every region. Values can be compared with ==.
type Regions struct {
	// restricted is false if the set contains every region.
	restricted bool
	// names lists the names sorted and without duplicates, with a separator before, between
	// and after them; it is empty if there are none.
	names string
}

// separator delimits region names, which must not contain it.
const separator = ","

// NewRegions returns the set of the named regions, or every region if there are no names.
func NewRegions(names ...string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	return restrictedTo(names)
}

// restrictedTo returns the set of the named regions, which is empty if there are no names.
func restrictedTo(names []string) Regions {
	if len(names) == 0 {
		return Regions{restricted: true}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Regions{restricted: true, names: separator + strings.Join(slices.Compact(sorted), separator) + separator}
}

// IsAll reports whether r contains every region.
func (r Regions) IsAll() bool { return !r.restricted }

// IsEmpty reports whether r contains no region.
func (r Regions) IsEmpty() bool { return r.restricted && r.names == "" }

// Has reports whether r contains a region. The empty name, which stands for an unknown
// region, is contained only in the set of every region.
func (r Regions) Has(region string) bool {
	return !r.restricted || region != "" && strings.Contains(r.names, separator+region+separator)
}

// Intersect returns the intersection of r and other.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	return restrictedTo(slices.DeleteFunc(r.Names(), func(name string) bool { return !other.Has(name) }))
}

// Union returns the union of r and other.
func (r Regions) Union(other Regions) Regions {
	if !r.restricted || !other.restricted {
		return Regions{}
	}
	return restrictedTo(append(r.Names(), other.Names()...))
}

// Names returns the names in sorted order, nil if r contains every region or none.
func (r Regions) Names() []string {
	trimmed := strings.Trim(r.names, separator)
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, separator)
}

// String returns the names separated by commas, or "all" if r contains every region.
func (r Regions) String() string {
	if !r.restricted {
		return "all"
	}
	return strings.Trim(r.names, separator)
}

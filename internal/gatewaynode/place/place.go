// Package place says where nodes, back ends and callers stand: in a zone, whose
// machines fail together, of a region, whose zones have short links. Its types are
// values.
package place

import (
	"slices"
	"strings"
)

// Place is where something stands.
type Place struct{ Zone, Region string }

// Map tells the region of each zone. The zero Map knows none.
type Map struct{ regions map[string]string }

// NewMap returns a map from zones to their regions. It keeps the map given, which must
// not be changed.
func NewMap(regions map[string]string) Map { return Map{regions: regions} }

// Region returns the region of a zone, empty if it is not known.
func (m Map) Region(zone string) string { return m.regions[zone] }

// Of returns the place of a zone.
func (m Map) Of(zone string) Place { return Place{Zone: zone, Region: m.regions[zone]} }

// Zones returns the number of zones known.
func (m Map) Zones() int { return len(m.regions) }

// Regions is where something may be served, cached and kept. The zero Regions is every
// region. Values are equal if they hold the same regions.
type Regions struct {
	bound bool
	// names holds the names, sorted and without repeats, each with a separator before and
	// after it; empty if there are none.
	names string
}

// separator stands between names; no name holds it.
const separator = ","

// NewRegions returns the regions of the names alone; no names stand for every region.
func NewRegions(names ...string) Regions {
	if len(names) == 0 {
		return Regions{}
	}
	return only(names)
}

// only returns the regions of the names alone, none for no names.
func only(names []string) Regions {
	if len(names) == 0 {
		return Regions{bound: true}
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Regions{bound: true, names: separator + strings.Join(slices.Compact(sorted), separator) + separator}
}

// Everywhere tells that no region is left out.
func (r Regions) Everywhere() bool { return !r.bound }

// Nowhere tells that no region is among them.
func (r Regions) Nowhere() bool { return r.bound && r.names == "" }

// Has tells whether a region is among them. A region that is not known is among them
// only if all are.
func (r Regions) Has(region string) bool {
	return !r.bound || region != "" && strings.Contains(r.names, separator+region+separator)
}

// And returns the regions that are in both; it may be that none is.
func (r Regions) And(other Regions) Regions {
	switch {
	case !r.bound:
		return other
	case !other.bound:
		return r
	}
	return only(slices.DeleteFunc(r.Names(), func(name string) bool { return !other.Has(name) }))
}

// Or returns the regions that are in either.
func (r Regions) Or(other Regions) Regions {
	if !r.bound || !other.bound {
		return Regions{}
	}
	return only(append(r.Names(), other.Names()...))
}

// Names returns the names, ordered; none for every region.
func (r Regions) Names() []string {
	trimmed := strings.Trim(r.names, separator)
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, separator)
}

// String returns the names for logs.
func (r Regions) String() string {
	if !r.bound {
		return "all"
	}
	return strings.Trim(r.names, separator)
}

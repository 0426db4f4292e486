// Package tenant tells from a caller's API key on whose behalf a request is made.
//
// A Set is one version of the tenants, as the configuration holds them. It is
// immutable, and what is decided on it is a pure function. Keys are secrets: nothing
// here returns one, and logs name a key by its Digest.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// Tenant is a customer of the system. The zero Tenant stands for requests that are
// made on nobody's behalf.
type Tenant struct {
	Name string
	// Priority is the rank of the tenant's requests, 0 the highest; it goes before
	// that of the route if Ranked.
	Priority int
	Ranked   bool
	// Regions are those that may serve, cache and keep the tenant's requests.
	Regions place.Regions
}

// Rank returns the priority of the tenant's requests on a route of a priority.
func (t Tenant) Rank(route int) int {
	if t.Ranked {
		return t.Priority
	}
	return route
}

// Entry is a tenant with its keys.
type Entry struct {
	Tenant Tenant
	Keys   []string
}

// Set holds the tenants of a configuration. A nil Set is that of a configuration
// which knows no tenants: no request needs a key.
type Set struct {
	byKey  map[string]Tenant
	byName map[string]Tenant
}

// NewSet returns the set of the entries. Of two entries that name one key, the
// first one has it.
func NewSet(entries []Entry) *Set {
	set := &Set{byKey: make(map[string]Tenant), byName: make(map[string]Tenant, len(entries))}
	for _, entry := range entries {
		set.byName[entry.Tenant.Name] = entry.Tenant
		for _, key := range entry.Keys {
			if _, taken := set.byKey[key]; !taken {
				set.byKey[key] = entry.Tenant
			}
		}
	}
	return set
}

// Named returns the tenant of a name. One that is not in the set has no rank.
func (s *Set) Named(name string) Tenant {
	if s == nil {
		return Tenant{Name: name}
	}
	if found, known := s.byName[name]; known {
		return found
	}
	return Tenant{Name: name}
}

// Regions returns the sets of regions that tenants are bound to, each once, in no order.
func (s *Set) Regions() []place.Regions {
	if s == nil {
		return nil
	}
	sets := make(map[place.Regions]bool)
	for _, t := range s.byName {
		sets[t.Regions] = true
	}
	return slices.Collect(maps.Keys(sets))
}

// Holder returns the tenant that holds a key, and whether one does.
func (s *Set) Holder(key string) (Tenant, bool) {
	if s == nil {
		return Tenant{}, false
	}
	found, held := s.byKey[key]
	return found, held
}

// Verdict is what was found out about a key.
type Verdict int

// The verdicts.
const (
	// Granted means that the request may be served.
	Granted Verdict = iota
	// Denied means that no tenant holds the key.
	Denied
	// Unsure means that the configuration is too old to tell.
	Unsure
)

// Knowledge says how far a set can be relied upon.
type Knowledge struct {
	// MayDeny tells that the set is fresh enough to turn a key away for good.
	MayDeny bool
	// MayGrant tells that it is fresh enough to let a key in.
	MayGrant bool
}

// Decide returns on whose behalf a request with a key is made, empty for none. A
// request on a public route needs no key; the tenant that holds the key is told all
// the same.
func (s *Set) Decide(key string, public bool, known Knowledge) (Tenant, Verdict) {
	if s == nil {
		return Tenant{}, Granted
	}
	found, held := s.byKey[key]
	switch {
	case public:
		return found, Granted
	case held && known.MayGrant:
		return found, Granted
	case !held && known.MayDeny:
		return Tenant{}, Denied
	}
	return Tenant{}, Unsure
}

// digestBytes is how much of a key's hash a log shows: enough to find a key that
// is known among a few thousand, and of no use for finding one out.
const digestBytes = 4

// Digest names a key in logs, empty for no key.
func Digest(key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:digestBytes])
}

package reload

import (
	"maps"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
)

// Wants is what decides which back ends may get an order or be asked for a report: those
// that are cold can wait for both. Who does not know the evacuations does not know the
// newest versions either: both are in one table.
var Wants = eligibility.Request{AvoidCold: true, Durable: true}

// usable returns the back ends that are counted on: versions are loaded on those alone,
// and each model's halves are made of them. Ones that are evacuated are not, for as long
// as that lasts; ones that are leaving are until they are gone, since they are replaced.
func usable(backends []fleet.Backend, world *eligibility.Snapshot) []fleet.Backend {
	found := make([]fleet.Backend, 0, len(backends))
	for i := range backends {
		if !world.Evacuations.Has(backends[i].Zone) {
			found = append(found, backends[i])
		}
	}
	return found
}

// homes remembers which model each back end was for while all could be used, so that
// shares come back to where they were once an evacuation has ended: what was loaded for
// them is still there.
type homes struct {
	shares map[string]string
	// away counts the back ends that could not be used last.
	away int
}

// before returns the shares that the next ones are to differ from as little as possible.
func (h *homes) before(shares map[string]string, away int) map[string]string {
	if away >= h.away {
		return shares
	}
	found := maps.Clone(shares)
	maps.Copy(found, h.shares)
	return found
}

// note takes the shares that were assigned while some back ends could not be used, and
// returns them with those that these keep.
func (h *homes) note(shares, before map[string]string, backends []fleet.Backend, away int) map[string]string {
	h.away = away
	if away == 0 {
		h.shares = shares
		return shares
	}
	all := maps.Clone(shares)
	for i := range backends {
		id := backends[i].ID
		if _, assigned := all[id]; !assigned && before[id] != "" {
			all[id] = before[id]
		}
	}
	return all
}

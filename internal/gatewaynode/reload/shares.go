package reload

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// bounds is where models may be used.
type bounds struct {
	// regions maps a model to the regions that its jobs are bound to; one that is missing
	// may be used everywhere.
	regions map[string]place.Regions
	zones   place.Map
}

// may tells whether a model may be used at a back end.
func (b bounds) may(model string, at fleet.Backend) bool {
	return b.regions[model].Has(b.zones.Region(at.Zone))
}

// bound tells whether a model may not be used everywhere.
func (b bounds) bound(model string) bool { return !b.regions[model].IsAll() }

// assignShares returns which model each back end is for, where several trained
// models share a service: loads take turns, so that keeping every
// model new on every back end would take longer than the time between versions.
// Shares follow demand, which maps a model to the work asked of it lately, and
// change as little as that allows. A model that is bound to regions has its share of all
// back ends from those, as far as they go, before models that may be used elsewhere. It
// is pure.
func assignShares(backends []fleet.Backend, named map[string]int64, demand map[string]float64, before map[string]string, within bounds) map[string]string {
	shares := make(map[string]string, len(backends))
	byService := make(map[string][]fleet.Backend)
	for _, backend := range backends {
		if len(backend.Models) > 0 {
			byService[backend.Service] = append(byService[backend.Service], backend)
		}
	}
	for _, members := range byService {
		models := trainedModels(members, named, demand)
		if len(models) > 0 {
			assignService(members, targets(members, models, demand, within), before, shares, within)
		}
	}
	return shares
}

// shareSlack is by how many back ends a share may miss its target: a back end
// that changes over loads once more, so shares follow only clear changes.
const shareSlack = 0.75

// targets returns how many back ends each model should have, as a fraction, at
// least one. Models without any demand known count alike. Models that may be used at the
// same back ends share them; those with the fewest come first, and what the regions of
// bound models do not suffice for goes to the others.
func targets(members []fleet.Backend, models []string, demand map[string]float64, within bounds) map[string]float64 {
	total := 0.0
	for _, model := range models {
		total += demand[model]
	}
	weight := func(model string) float64 {
		if total > 0 {
			return demand[model] / total
		}
		return 1 / float64(len(models))
	}
	free := make(map[string]float64)
	for _, member := range members {
		free[within.zones.Region(member.Zone)]++
	}
	wanted := make(map[string]float64, len(models))
	for _, group := range alike(members, models, within) {
		weights := 0.0
		for _, model := range group {
			weights += weight(model)
		}
		taken := take(free, within.regions[group[0]], weights*float64(len(members)))
		for _, model := range group {
			part := 1 / float64(len(group))
			if weights > 0 {
				part = weight(model) / weights
			}
			wanted[model] = max(part*taken, 1)
		}
	}
	return wanted
}

// alike groups the models that may be used at the same back ends; those with the fewest
// come first, those that are not bound last.
func alike(members []fleet.Backend, models []string, within bounds) [][]string {
	groups := make(map[place.Regions][]string)
	size := make(map[place.Regions]int)
	for _, model := range models {
		regions := within.regions[model]
		groups[regions] = append(groups[regions], model)
	}
	for regions, group := range groups {
		for _, member := range members {
			if within.may(group[0], member) {
				size[regions]++
			}
		}
	}
	ordered := slices.SortedFunc(maps.Keys(groups), func(a, b place.Regions) int {
		if a.IsAll() != b.IsAll() {
			if b.IsAll() {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(size[a], size[b]), cmp.Compare(a.String(), b.String()))
	})
	all := make([][]string, 0, len(ordered))
	for _, regions := range ordered {
		all = append(all, groups[regions])
	}
	return all
}

// take takes back ends of regions, from each as many as it has in proportion, up to a
// number, and returns how many it got. Without bounds it gets what is free.
func take(free map[string]float64, regions place.Regions, number float64) float64 {
	available := 0.0
	for region, count := range free {
		if regions.Has(region) {
			available += count
		}
	}
	if regions.IsAll() {
		return available
	}
	taken := min(number, available)
	for region := range free {
		if regions.Has(region) {
			free[region] -= free[region] * taken / available
		}
	}
	return taken
}

// trainedModels returns the models that a service holds and that versions are
// named of or that work is asked of, ordered: what is asked comes before the
// first version, so that its loads need not wait for shares to settle.
func trainedModels(members []fleet.Backend, named map[string]int64, demand map[string]float64) []string {
	known := make(map[string]bool)
	for model := range named {
		known[model] = true
	}
	for model := range demand {
		known[model] = true
	}
	var models []string
	for model := range known {
		held := slices.ContainsFunc(members, func(b fleet.Backend) bool { _, holds := b.Models[model]; return holds })
		if held {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// assignService assigns the back ends of a service: each stays with its model as far as
// the target goes, bound models then take what they lack from the others, and what is
// free goes where most is lacking.
func assignService(members []fleet.Backend, wanted map[string]float64, before, shares map[string]string, within bounds) {
	models := slices.Sorted(maps.Keys(wanted))
	count := make(map[string]int)
	lack := func(model string) float64 { return wanted[model] - float64(count[model]) }
	give := func(member fleet.Backend, model string) {
		shares[member.ID] = model
		count[model]++
	}
	for _, member := range members {
		model := before[member.ID]
		if _, known := wanted[model]; known && within.may(model, member) && lack(model)-1 >= -shareSlack {
			give(member, model)
		}
	}
	for _, model := range models {
		for within.bound(model) && lack(model) >= shareSlack {
			member, found := takeable(members, model, shares, within)
			if !found {
				break
			}
			count[shares[member.ID]]--
			give(member, model)
		}
	}
	for _, member := range members {
		if shares[member.ID] != "" {
			continue
		}
		may := slices.DeleteFunc(slices.Clone(models), func(model string) bool { return !within.may(model, member) })
		if len(may) == 0 {
			may = models
		}
		give(member, slices.MaxFunc(may, func(a, b string) int { return cmp.Compare(lack(a), lack(b)) }))
	}
}

// takeable returns a back end that a bound model may take: one without a model, or else
// one of a model that may be used everywhere, in turn of those that have most there.
func takeable(members []fleet.Backend, model string, shares map[string]string, within bounds) (fleet.Backend, bool) {
	held := make(map[string]int)
	for _, member := range members {
		if within.may(model, member) {
			held[shares[member.ID]]++
		}
	}
	best, found := fleet.Backend{}, false
	for _, member := range members {
		share := shares[member.ID]
		if !within.may(model, member) || share != "" && within.bound(share) {
			continue
		}
		if share == "" {
			return member, true
		}
		if !found || held[share] > held[shares[best.ID]] {
			best, found = member, true
		}
	}
	return best, found
}

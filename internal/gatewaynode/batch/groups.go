package batch

// groups counts the groups of a job that are whole, which means that all of their items are
// finished.
type groups struct {
	// left is the number of unfinished items by group.
	left map[string]int
	// whole is the number of whole groups, wanted the number that the caller waits for.
	whole, wanted int
	// carried holds the groups that were in an earlier job already. The caller waits for all
	// of them. carriedLeft is the number of those that are not whole.
	carried     map[string]bool
	carriedLeft int
}

func newGroups(spec *Spec) groups {
	g := groups{left: make(map[string]int), wanted: spec.Desired, carried: make(map[string]bool)}
	for i := range spec.Items {
		g.left[spec.Items[i].Group]++
	}
	return g
}

// carry records that a group was in an earlier job, unless it is whole.
func (g *groups) carry(group string) {
	if !g.carried[group] && g.left[group] > 0 {
		g.carried[group] = true
		g.carriedLeft++
	}
}

// finish records that an item of a group is finished.
func (g *groups) finish(group string) {
	g.left[group]--
	if g.left[group] > 0 {
		return
	}
	g.whole++
	if g.carried[group] {
		g.carriedLeft--
	}
}

// reached reports whether the caller has what it waits for: the wanted number of whole groups
// and all carried ones. It is true from the start if no group is wanted or carried.
func (g *groups) reached() bool { return g.whole >= g.wanted && g.carriedLeft == 0 }

// nearShare is the maximum share of the wanted groups that may be missing for near to be true.
const nearShare = 0.3

// near reports whether few of the wanted groups are missing.
func (g *groups) near() bool { return float64(g.wanted-g.whole) <= nearShare*float64(g.wanted) }

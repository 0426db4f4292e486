package batch

// groups counts how many groups of a job are whole: of which no item is left to
// finish.
type groups struct {
	left          map[string]int
	whole, wanted int
	// carried are the groups that were in an earlier job; the caller waits for all of
	// them, and carriedLeft are not whole.
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

// carry takes note that a group was in an earlier job.
func (g *groups) carry(group string) {
	if !g.carried[group] && g.left[group] > 0 {
		g.carried[group] = true
		g.carriedLeft++
	}
}

// finish takes an item of a group that is finished.
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

// reached tells whether as many groups are whole as the caller waits for, and all
// that were carried; a caller that waits for none is served by each result.
func (g *groups) reached() bool { return g.whole >= g.wanted && g.carriedLeft == 0 }

// nearShare is the share of the groups waited for that may be missing when a job
// is nearly whole.
const nearShare = 0.3

// near tells whether little is missing of what the caller waits for.
func (g *groups) near() bool { return float64(g.wanted-g.whole) <= nearShare*float64(g.wanted) }

package batch

// groups counts how many groups of a job are whole: of which no item is left to
// finish.
type groups struct {
	left          map[string]int
	whole, wanted int
}

func newGroups(spec *Spec) groups {
	g := groups{left: make(map[string]int), wanted: spec.Desired}
	for i := range spec.Items {
		g.left[spec.Items[i].Group]++
	}
	return g
}

// finish takes an item of a group that is finished.
func (g *groups) finish(group string) {
	g.left[group]--
	if g.left[group] == 0 {
		g.whole++
	}
}

// reached tells whether as many groups are whole as the caller waits for; one that
// waits for none is served by each result.
func (g *groups) reached() bool { return g.whole >= g.wanted }

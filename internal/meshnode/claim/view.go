package claim

import (
	"slices"
	"time"
)

// View is the member list that a node knows to be in force.
type View struct {
	// Revision grows with every change of the member list.
	Revision int64
	Members  []Member
	// Previous are earlier lists whose groups may still hold valid grants. A
	// node that starts cannot know when they ceased, so it counts from when it
	// first sees them. Whoever changes the list keeps the former one here until
	// the window (ViewsConfig.Window) has passed.
	Previous [][]Member
	// ConfirmedAt is when the node last knew that no newer list was in force.
	ConfirmedAt time.Time
}

// ViewsConfig configures Views.
type ViewsConfig struct {
	// GroupSize is the number of replicas of a key: 1, 3 or 5.
	GroupSize int
	// Window is how long the groups of a former list must still be asked. It
	// covers Retention and the time in which a claimant may act on an old list.
	Window time.Duration
	// MaxAge is the age of a View's confirmation above which the node neither
	// claims nor votes. Zero means no limit.
	MaxAge time.Duration
}

// Views remembers the member lists that a claim must cover.
type Views struct {
	config  ViewsConfig
	current View
	former  []formerList
}

type formerList struct {
	members []Member
	until   time.Time
}

// NewViews returns an empty Views; Observe gives it the first view.
func NewViews(config ViewsConfig) *Views { return &Views{config: config} }

// Observe takes the view that is in force now. One of a lower revision than the
// current is ignored.
func (v *Views) Observe(view View, now time.Time) {
	v.former = slices.DeleteFunc(v.former, func(f formerList) bool { return !now.Before(f.until) })
	if view.Revision < v.current.Revision {
		return
	}
	changed := view.Revision > v.current.Revision || v.current.Members == nil
	if changed {
		v.addFormer(v.current.Members, now)
		for _, members := range view.Previous {
			v.addFormer(members, now)
		}
	}
	v.current = view
}

func (v *Views) addFormer(members []Member, now time.Time) {
	if len(members) == 0 {
		return
	}
	v.former = append(v.former, formerList{members: members, until: now.Add(v.config.Window)})
}

// Revision returns the revision of the current list.
func (v *Views) Revision() int64 { return v.current.Revision }

// Fresh tells whether the current list may be acted on.
func (v *Views) Fresh(now time.Time) bool {
	if len(v.current.Members) == 0 {
		return false
	}
	return v.config.MaxAge == 0 || now.Sub(v.current.ConfirmedAt) <= v.config.MaxAge
}

// Groups returns the groups of which a claim of key needs majorities: that of
// the current list first, then those of former lists, without repetition. A
// former list counts for Window after this node learned of its end, and for as
// long as the view itself names it: whoever keeps the view may know of a node
// that still acts on it.
func (v *Views) Groups(key string) [][]Member {
	lists := [][]Member{v.current.Members}
	lists = append(lists, v.current.Previous...)
	for _, former := range v.former {
		lists = append(lists, former.members)
	}
	var groups [][]Member
	for _, members := range lists {
		group := GroupFor(key, members, v.config.GroupSize)
		known := slices.ContainsFunc(groups, func(g []Member) bool { return sameNames(g, group) })
		if !known {
			groups = append(groups, group)
		}
	}
	return groups
}

func sameNames(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.Name == y.Name })
}

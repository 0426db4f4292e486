package presence

import (
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// Members are the nodes that were live at one moment, with what was worked out of them. The
// same value is given for as long as they are the same, so that what was worked out once
// serves every question: at 986 nodes, ranking them anew for each look at a lease or at jobs
// took a node most of its time at rest (BenchmarkRankOfOneNode: 1.1 ms, 41 ns from members).
// It is safe for concurrent use; the slices it returns must not be changed.
type Members struct {
	nodes []Node

	mu     sync.Mutex
	ranked map[rankOf][]Node
	kept   map[place.Regions][]Node
}

// rankOf names a ranking of members.
type rankOf struct {
	key string
	// without is a node that is left out, empty if none is.
	without string
}

// NewMembers returns the members that nodes, ordered by name, are.
func NewMembers(nodes []Node) *Members {
	return &Members{nodes: nodes, ranked: make(map[rankOf][]Node), kept: make(map[place.Regions][]Node)}
}

// Nodes returns the nodes, ordered by name.
func (m *Members) Nodes() []Node { return m.nodes }

const (
	// ranksMost bounds the rankings that members remember: there are some for each lease
	// and its holder of the moment.
	ranksMost = 32
	// regionsMost bounds the sets of regions whose keepers members remember.
	regionsMost = 32
)

// RankSteady is the function of that name over the members but for one, whose name may be
// empty.
func (m *Members) RankSteady(key, without string) []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	of := rankOf{key: key, without: without}
	if ranked, known := m.ranked[of]; known {
		return ranked
	}
	others := slices.DeleteFunc(slices.Clone(m.nodes), func(n Node) bool { return n.Name == without })
	ranked := RankSteady(others, key)
	if len(m.ranked) >= ranksMost {
		clear(m.ranked)
	}
	m.ranked[of] = ranked
	return ranked
}

// KeepersWithin is the function of that name over the members.
func (m *Members) KeepersWithin(regions place.Regions) []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	everywhere := place.Regions{}
	keepers, known := m.kept[everywhere]
	if !known {
		keepers = Keepers(m.nodes)
		m.kept[everywhere] = keepers
	}
	if regions.IsAll() {
		return keepers
	}
	within, known := m.kept[regions]
	if !known {
		if len(m.kept) >= regionsMost {
			clear(m.kept)
		}
		within = keepersWithin(m.nodes, keepers, regions)
		m.kept[regions] = within
	}
	return within
}

// membersFor is how long members are taken to be the same without a look at the silence of
// nodes: a lapse is known so much later, of 2,100 ms at least.
const membersFor = 100 * time.Millisecond

// Members returns the nodes that are ready and not lapsed. The node itself is among them
// unless it is stopping.
func (r *Registry) Members(now time.Time) *Members {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membersAt(now)
}

// membersAt is Members with the lock held.
func (r *Registry) membersAt(now time.Time) *Members {
	if age := now.Sub(r.counted); r.members != nil && !r.moved && age >= 0 && age < membersFor {
		return r.members
	}
	nodes := r.live(now)
	if r.members == nil || !slices.EqualFunc(nodes, r.members.nodes, sameMember) {
		r.members = NewMembers(nodes)
	}
	r.counted, r.moved = now, false
	return r.members
}

// sameMember tells whether two rows say the same of a node, whatever their beats and how many
// others it knows.
func sameMember(a, b Node) bool {
	a.Beat, a.Nodes = b.Beat, b.Nodes
	return a == b
}

// live returns the nodes that are ready and not lapsed, ordered by name. The lock is held.
func (r *Registry) live(now time.Time) []Node {
	status := r.view.Status()
	nodes := make([]Node, 0, len(r.ordered)+1)
	own := r.self.State == Ready
	for _, held := range r.ordered {
		name := held.node.Name
		if own && name >= r.self.Name {
			nodes = append(nodes, r.self)
			own = false
		}
		if name != r.self.Name && held.node.State == Ready && !r.isLapsed(held, status, now) {
			nodes = append(nodes, held.node)
		}
	}
	if own {
		nodes = append(nodes, r.self)
	}
	return nodes
}

// enlist puts a node's row into the order of names. The lock is held.
func (r *Registry) enlist(held *seen) {
	at, _ := slices.BinarySearchFunc(r.ordered, held.node.Name, byName)
	r.ordered = slices.Insert(r.ordered, at, held)
}

// drop forgets a node. The lock is held.
func (r *Registry) drop(name string) {
	delete(r.nodes, name)
	if at, found := slices.BinarySearchFunc(r.ordered, name, byName); found {
		r.ordered = slices.Delete(r.ordered, at, at+1)
	}
	r.moved = true
}

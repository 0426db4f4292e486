package configlog

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a node of the cluster.
type Member struct {
	Name    string
	Address string
	Region  string
}

// Members is what the service needs of the membership.
type Members interface {
	// Alive returns the members that are heard, with this node.
	Alive() []Member
	// Known returns all members that have not left, heard or not, with this
	// node.
	Known() []Member
}

// IsReader tells whether the node polls the table: it ranks among the first
// perRegion alive members of its region by rendezvous hashing, so that nodes
// with the same view choose the same readers, and few choices change when a
// member comes or goes. A node that sees at most two members always reads.
func IsReader(self string, alive []Member, perRegion int) bool {
	if len(alive) <= 2 {
		return true
	}
	own := slices.IndexFunc(alive, func(m Member) bool { return m.Name == self })
	if own < 0 {
		return true
	}
	ahead := 0
	for _, member := range alive {
		if member.Region == alive[own].Region && compareReaders(member, alive[own]) < 0 {
			ahead++
		}
	}
	return ahead < perRegion
}

func compareReaders(a, b Member) int {
	if c := cmp.Compare(readerRank(a), readerRank(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

func readerRank(m Member) uint64 {
	return xxhash.Sum64String("config-reader/" + m.Region + "/" + m.Name)
}

func withoutSelf(members []Member, self string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Name == self })
}

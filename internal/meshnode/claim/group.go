package claim

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// GroupFor returns the replica group of a key: at most size members, an odd
// number of them, highest rendezvous score first and one of each zone before a
// second of any. The result does not depend on the order of members, and a
// member that joins or leaves changes only the groups that it is part of.
func GroupFor(key string, members []Member, size int) []Member {
	ranked := rank(key, members)
	size = largestOdd(min(size, len(ranked)))
	group := make([]Member, 0, size)
	for len(group) < size {
		var rest []Member
		zones := make(map[string]bool)
		for _, member := range ranked {
			if zones[member.Zone] || len(group) == size {
				rest = append(rest, member)
				continue
			}
			zones[member.Zone] = true
			group = append(group, member)
		}
		ranked = rest
	}
	return group
}

// Majority returns the smallest number of members of which any two sets meet.
func Majority(groupSize int) int { return groupSize/2 + 1 }

// rank orders members by their score for the key, highest first.
func rank(key string, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	all := make([]scored, 0, len(members))
	for _, member := range members {
		all = append(all, scored{member, score(key, member.Name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score != b.score {
			return compareDescending(a.score, b.score)
		}
		return strings.Compare(a.member.Name, b.member.Name)
	})
	ranked := make([]Member, len(all))
	for i := range all {
		ranked[i] = all[i].member
	}
	return ranked
}

func score(key, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

func compareDescending(a, b uint64) int {
	if a > b {
		return -1
	}
	return 1
}

// largestOdd returns the largest odd number up to n, or zero. An even group
// would need as many votes as the next larger odd one and bear no more losses.
func largestOdd(n int) int {
	if n > 0 && n%2 == 0 {
		return n - 1
	}
	return n
}

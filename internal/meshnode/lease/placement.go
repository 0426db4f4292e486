package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shard is a set of back ends that get their orders from one holder.
type Shard struct {
	Name string
	// Zone is where the shard's back ends are; nodes there are preferred.
	Zone string
}

// Member is a node that may hold leases.
type Member struct {
	Name string
	Zone string
}

// candidatesPerShard is how many members watch a shard's row, so that the
// number of reads does not grow with the cluster.
const candidatesPerShard = 3

// Candidates returns the members that may acquire the shard, the preferred one
// first: at most candidatesPerShard, those in the shard's zone before others,
// each by rendezvous hashing.
func Candidates(shard Shard, alive []Member) []string {
	ranked := make([]rankedMember, 0, len(alive))
	for _, member := range alive {
		ranked = append(ranked, rankedMember{
			name:  member.Name,
			local: member.Zone == shard.Zone,
			hash:  xxhash.Sum64String(shard.Name + "\x00" + member.Name),
		})
	}
	slices.SortFunc(ranked, compareRanked)
	names := make([]string, 0, candidatesPerShard)
	for _, member := range ranked[:min(candidatesPerShard, len(ranked))] {
		names = append(names, member.name)
	}
	return names
}

type rankedMember struct {
	name  string
	local bool
	hash  uint64
}

func compareRanked(a, b rankedMember) int {
	if a.local != b.local {
		if a.local {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
}

// placement keeps the candidates of each shard and since when each shard's
// preferred member has been the same. It is not safe for concurrent use.
type placement struct {
	settle   time.Duration
	interval time.Duration
	alive    []Member
	shards   map[string]*placedShard
	lastMove time.Time
}

type placedShard struct {
	candidates     []string
	preferredSince time.Time
}

func newPlacement(settle, interval time.Duration) *placement {
	return &placement{settle: settle, interval: interval, shards: map[string]*placedShard{}}
}

// setShards replaces the set of shards.
func (p *placement) setShards(now time.Time, shards []Shard) {
	former := p.shards
	p.shards = make(map[string]*placedShard, len(shards))
	for _, shard := range shards {
		p.shards[shard.Name] = place(now, former[shard.Name], Candidates(shard, p.alive))
	}
}

// setAlive replaces the set of members and tells whether it was another.
func (p *placement) setAlive(alive []Member) bool {
	sorted := slices.SortedFunc(slices.Values(alive), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if slices.Equal(sorted, p.alive) {
		return false
	}
	p.alive = sorted
	return true
}

func place(now time.Time, former *placedShard, candidates []string) *placedShard {
	placed := &placedShard{candidates: candidates, preferredSince: now}
	if former != nil && former.preferred() == placed.preferred() {
		placed.preferredSince = former.preferredSince
	}
	return placed
}

func (s *placedShard) preferred() string {
	if len(s.candidates) == 0 {
		return ""
	}
	return s.candidates[0]
}

// rank returns the node's place among the shard's candidates, negative if none.
func (p *placement) rank(shard, node string) int {
	placed, ok := p.shards[shard]
	if !ok {
		return -1
	}
	return slices.Index(placed.candidates, node)
}

// successor returns the first candidate other than the node, or an empty name.
func (p *placement) successor(shard, node string) string {
	placed, ok := p.shards[shard]
	if !ok {
		return ""
	}
	for _, candidate := range placed.candidates {
		if candidate != node {
			return candidate
		}
	}
	return ""
}

// acquired tells that the node has just got the shard: whoever held it before
// may be about to stop and not have said so yet, so the settle time begins again.
func (p *placement) acquired(now time.Time, shard string) {
	if placed, ok := p.shards[shard]; ok {
		placed.preferredSince = now
	}
}

// takeMove tells whether the holder should hand the shard over to its preferred
// member now, and counts the move if so.
func (p *placement) takeMove(now time.Time, shard, holder string) bool {
	placed, ok := p.shards[shard]
	if !ok || placed.preferred() == "" || placed.preferred() == holder {
		return false
	}
	if now.Sub(placed.preferredSince) < p.settle || now.Sub(p.lastMove) < p.interval {
		return false
	}
	p.lastMove = now
	return true
}

package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Shard is the part of a pool that one lease covers.
type Shard struct {
	// Name is the lease's name.
	Name     string
	Pool     configlog.Pool
	Backends []configlog.Backend
}

// Zone returns the zone of most of the shard's back ends, for choosing a holder
// near them. Ties go to the first zone by name.
func (s Shard) Zone() string {
	counts := map[string]int{}
	for _, backend := range s.Backends {
		counts[backend.Zone]++
	}
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(counts)) {
		if best == "" || counts[zone] > counts[best] {
			best = zone
		}
	}
	return best
}

// Shards divides every pool of the configuration, in order of name.
func Shards(state *configlog.State) []Shard {
	var all []Shard
	for _, name := range slices.Sorted(maps.Keys(state.Pools)) {
		all = append(all, poolShards(state.Pools[name])...)
	}
	return all
}

func poolShards(pool configlog.Pool) []Shard {
	count := max(1, pool.Shards)
	shards := make([]Shard, count)
	for i := range shards {
		shards[i] = Shard{Name: fmt.Sprintf("%s/%d", pool.Name, i), Pool: pool}
	}
	for _, backend := range pool.Backends {
		i := xxhash.Sum64String(backend.Name) % uint64(count)
		shards[i].Backends = append(shards[i].Backends, backend)
	}
	return shards
}

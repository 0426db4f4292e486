package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityBound is how far over the mean corrected load of the eligible
	// back ends the preferred one may be.
	affinityBound = 1.25
	// affinitySlack is allowed over the bound, in requests per slot, so that
	// affinity also works while the pool is nearly idle.
	affinitySlack = 0.1
)

// affinity sends prompts with the same prefix to the same back end by
// rendezvous hashing, with bounded loads: a back end over the bound is passed
// over for the next in the prefix's own order.
type affinity struct{ fallback lowest }

func (p *affinity) Name() PolicyName { return PolicyAffinity }

func (p *affinity) Choose(backends []Backend, eligible []int, scores []float64, request *Request) int {
	lowest := p.fallback.Choose(backends, eligible, scores, request)
	if request.PrefixHash == 0 {
		return lowest
	}
	bound := affinitySlack + affinityBound*mean(scores)
	chosen, found := lowest, false
	var bestRank uint64
	for k, i := range eligible {
		if scores[k] > bound {
			continue
		}
		if backends[i].Name == request.AffinityHint {
			return k
		}
		rank := Rendezvous(backends[i].Name, request.PrefixHash)
		if !found || rank > bestRank {
			chosen, bestRank, found = k, rank, true
		}
	}
	return chosen
}

func mean(values []float64) float64 {
	var sum float64
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// Rendezvous returns the rank of name for key; the highest rank wins.
func Rendezvous(name string, key uint64) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = binary.LittleEndian.AppendUint64(buffer, key)
	buffer = append(buffer, name...)
	return xxhash.Sum64(buffer)
}

// prefixLength is how much of a prompt counts for affinity, in bytes.
const prefixLength = 256

// PrefixHash returns the hash of the prompt's prefix for Request.PrefixHash.
func PrefixHash(prompt string) uint64 {
	if prompt == "" {
		return 0
	}
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixLength)])
}

package routing

import (
	"math/rand"

	"github.com/zeebo/errs/v2"
)

// ErrUnknownPolicy tags a policy name that NewPolicy does not know.
const ErrUnknownPolicy = errs.Tag("routing: unknown policy")

// PolicyName selects a policy in settings.
type PolicyName string

const (
	// PolicyRoundRobin takes back ends in turn.
	PolicyRoundRobin PolicyName = "round_robin"
	// PolicyLeastLoaded takes the lowest load as reported.
	PolicyLeastLoaded PolicyName = "least_loaded"
	// PolicyCorrected takes the lowest corrected load.
	PolicyCorrected PolicyName = "corrected"
	// PolicyPowerOfTwo takes the lower corrected load of two drawn at random.
	PolicyPowerOfTwo PolicyName = "power_of_two"
	// PolicyAffinity prefers the back end that probably caches the prompt's
	// prefix while its corrected load is within a bound.
	PolicyAffinity PolicyName = "affinity"
)

// DefaultPolicy is used where settings name none.
const DefaultPolicy = PolicyCorrected

// otherZonePenalty is added to the score of a back end outside the request's
// zone, in requests per slot: about the cost of the longer way.
const otherZonePenalty = 0.02

// Policy orders eligible back ends. It is not safe for concurrent use.
type Policy interface {
	// Name returns the name under which the policy is selected.
	Name() PolicyName
	// Choose returns an index into eligible, which holds at least one index
	// into backends, and fills scores (as long as eligible; lower is better).
	Choose(backends []Backend, eligible []int, scores []float64, request *Request) int
}

// NewPolicy returns the policy of that name; an empty name means DefaultPolicy.
func NewPolicy(name PolicyName, seed int64) (Policy, error) {
	random := rand.New(rand.NewSource(seed))
	switch name {
	case PolicyRoundRobin:
		return &roundRobin{}, nil
	case PolicyLeastLoaded:
		return &lowest{name: name, random: random, load: (*Backend).ReportedLoad}, nil
	case PolicyCorrected, "":
		return &lowest{name: PolicyCorrected, random: random, load: (*Backend).CorrectedLoad}, nil
	case PolicyPowerOfTwo:
		return &powerOfTwo{random: random}, nil
	case PolicyAffinity:
		return &affinity{fallback: lowest{name: name, random: random, load: (*Backend).CorrectedLoad}}, nil
	}
	return nil, ErrUnknownPolicy.Errorf("%q", name)
}

// roundRobin ignores load.
type roundRobin struct{ turn uint64 }

func (p *roundRobin) Name() PolicyName { return PolicyRoundRobin }

func (p *roundRobin) Choose(_ []Backend, eligible []int, _ []float64, _ *Request) int {
	chosen := int(p.turn % uint64(len(eligible)))
	p.turn++
	return chosen
}

// lowest scans all eligible back ends and breaks ties at random, so that nodes
// with the same view do not all run to the same back end.
type lowest struct {
	name   PolicyName
	random *rand.Rand
	load   func(*Backend) float64
}

func (p *lowest) Name() PolicyName { return p.name }

func (p *lowest) Choose(backends []Backend, eligible []int, scores []float64, request *Request) int {
	best, ties := 0, 0
	for k, i := range eligible {
		scores[k] = score(&backends[i], p.load, request)
		switch {
		case k == 0 || scores[k] < scores[best]:
			best, ties = k, 1
		case scores[k] == scores[best]:
			ties++
			if p.random.Intn(ties) == 0 {
				best = k
			}
		}
	}
	return best
}

func score(b *Backend, load func(*Backend) float64, request *Request) float64 {
	value := load(b)
	if b.Zone != request.Zone {
		value += otherZonePenalty
	}
	if request.PreferQuiet && !b.Quiet {
		value += quietPenalty
	}
	return value
}

// powerOfTwo compares two back ends only, so that a stale view misleads many
// nodes less than a full scan would.
type powerOfTwo struct{ random *rand.Rand }

func (p *powerOfTwo) Name() PolicyName { return PolicyPowerOfTwo }

func (p *powerOfTwo) Choose(backends []Backend, eligible []int, scores []float64, request *Request) int {
	for k, i := range eligible {
		scores[k] = score(&backends[i], (*Backend).CorrectedLoad, request)
	}
	if len(eligible) == 1 {
		return 0
	}
	first := p.random.Intn(len(eligible))
	second := p.random.Intn(len(eligible) - 1)
	if second >= first {
		second++
	}
	if scores[second] < scores[first] {
		return second
	}
	return first
}

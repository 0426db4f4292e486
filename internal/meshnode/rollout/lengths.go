package rollout

// LengthEstimator learns how long the samples of a group of prompts are. It
// keeps a bounded number of groups and is not safe for concurrent use.
type LengthEstimator struct {
	groups map[uint64]*lengthMean
	limit  int
	all    lengthMean
}

// lengthWeight is the least weight of a new length in a group's mean.
const lengthWeight = 0.02

type lengthMean struct {
	mean  float64
	count int
}

func (m *lengthMean) add(tokens float64) {
	m.count++
	m.mean += (tokens - m.mean) * max(lengthWeight, 1/float64(m.count))
}

// NewLengthEstimator returns an estimator of at most limit groups.
func NewLengthEstimator(limit int) *LengthEstimator {
	return &LengthEstimator{groups: make(map[uint64]*lengthMean), limit: limit}
}

// Observe takes in the length of a finished sample, in tokens. Lengths of
// groups beyond the limit count for the mean of all only.
func (e *LengthEstimator) Observe(group uint64, tokens int) {
	e.all.add(float64(tokens))
	known, ok := e.groups[group]
	if !ok && len(e.groups) < e.limit {
		known = &lengthMean{}
		e.groups[group] = known
	}
	if known != nil {
		known.add(float64(tokens))
	}
}

// Expected returns the mean length of the group's samples so far, that of all
// samples if there was none, and zero if there was none at all.
func (e *LengthEstimator) Expected(group uint64) float64 {
	if known, ok := e.groups[group]; ok {
		return known.mean
	}
	return e.all.mean
}

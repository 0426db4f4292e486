package rollout

import (
	"cmp"
	"slices"
	"sync"

	"github.com/sliplift/sliplift/internal/api"
)

// learntGroups bounds the groups of prompts whose lengths are remembered for a
// pool.
const learntGroups = 4096

// lengthBook learns how long samples are, by pool and group of prompts, so that
// the longest of a step begin first and the trainer waits less for the last one.
// It is safe for concurrent use. What it learnt is lost with the node; then
// samples begin in the order of their indexes.
type lengthBook struct {
	// groupOf tells the group of a prompt; nil for a book that learns nothing.
	groupOf func(prompt string) uint64

	mu    sync.Mutex
	pools map[string]*LengthEstimator
}

func newLengthBook(groupOf func(prompt string) uint64) *lengthBook {
	return &lengthBook{groupOf: groupOf, pools: make(map[string]*LengthEstimator)}
}

// observe takes in the length of a whole sample, in tokens.
func (b *lengthBook) observe(pool, prompt string, tokens int) {
	if b.groupOf == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	estimator, known := b.pools[pool]
	if !known {
		estimator = NewLengthEstimator(learntGroups)
		b.pools[pool] = estimator
	}
	estimator.Observe(b.groupOf(prompt), tokens)
}

// order returns the indexes of a step with the longest expected samples first,
// nil where nothing was learnt for its pool.
func (b *lengthBook) order(spec api.StepRequest) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	estimator, known := b.pools[spec.Pool]
	if !known {
		return nil
	}
	expected := make([]float64, len(spec.Prompts))
	for i, prompt := range spec.Prompts {
		expected[i] = estimator.Expected(b.groupOf(prompt))
	}
	order := make([]int, spec.SampleCount())
	for index := range order {
		order[index] = index
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(expected[y/spec.SamplesPerPrompt], expected[x/spec.SamplesPerPrompt])
	})
	return order
}

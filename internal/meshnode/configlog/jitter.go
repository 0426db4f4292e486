package configlog

import (
	"math/rand/v2"
	"sync"
	"time"
)

// jitter is a seeded random source that goroutines may share.
type jitter struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newJitter(seed uint64) *jitter {
	return &jitter{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// spread returns a duration between half and one and a half of delay.
func (j *jitter) spread(delay time.Duration) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Duration((0.5 + j.rng.Float64()) * float64(delay))
}

// sample returns at most count of the members, without self, in random order.
func (j *jitter) sample(members []Member, self string, count int) []Member {
	others := withoutSelf(members, self)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rng.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(count, len(others))]
}

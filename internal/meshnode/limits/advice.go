package limits

import "time"

const (
	// MaxDeadline is the longest time that a caller may ask a request to be
	// kept for.
	MaxDeadline = 10 * time.Minute
	// MinAdvice and MaxAdvice bound the advice when to come back.
	MinAdvice = 100 * time.Millisecond
	MaxAdvice = 10 * time.Second
)

// PoolLoad sums up the back ends of a pool for RetryAfter.
type PoolLoad struct {
	// Running, Waiting and Capacity count requests.
	Running  int
	Waiting  int
	Capacity int
	// Service is the mean time that one request takes.
	Service time.Duration
}

// RetryAfter advises when a refused request should come back: when the queue
// ahead of it will have been served at the pool's capacity, within MinAdvice
// and MaxAdvice.
func RetryAfter(load PoolLoad) time.Duration {
	if load.Capacity <= 0 {
		return MaxAdvice / 10
	}
	ahead := load.Running + load.Waiting - load.Capacity + 1
	if ahead <= 0 {
		return MinAdvice
	}
	advice := load.Service * time.Duration(ahead) / time.Duration(load.Capacity)
	return min(MaxAdvice, max(MinAdvice, advice))
}

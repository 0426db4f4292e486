package limits

import "time"

const (
	// DefaultRetryRatio is the share of requests that may be tried again.
	DefaultRetryRatio = 0.1
	// DefaultRetryMinimum is the number of retries per second that is allowed
	// however few the requests are.
	DefaultRetryMinimum = 1.0
	// DefaultRetryBurst bounds the retries that may be saved up.
	DefaultRetryBurst = 50.0
	// hedgeReserve is the share of the burst that hedges leave to retries.
	hedgeReserve = 0.2
	// roundingSlack keeps ten tenths from being less than one.
	roundingSlack = 1e-9
)

// RetryBudget bounds the attempts beyond the first, so that retries cannot
// multiply an overload. It is a token bucket that every request fills by Ratio
// and time fills by MinimumPerSecond; a retry takes one token.
type RetryBudget struct {
	ratio            float64
	minimumPerSecond float64
	burst            float64
	tokens           float64
	filled           time.Time
}

// NewRetryBudget returns a budget that holds the minimum of one second, at
// least one retry, at now.
func NewRetryBudget(ratio, minimumPerSecond, burst float64, now time.Time) *RetryBudget {
	return &RetryBudget{
		ratio:            ratio,
		minimumPerSecond: minimumPerSecond,
		burst:            burst,
		tokens:           min(burst, max(1, minimumPerSecond)),
		filled:           now,
	}
}

// Request records a first attempt.
func (b *RetryBudget) Request(now time.Time) {
	b.fill(now)
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Retry takes a token for one further attempt and tells whether there was one.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1-roundingSlack {
		return false
	}
	b.tokens--
	return true
}

// Hedge takes a token for an attempt beside one that still runs. Hedges leave a
// part of the budget to retries, without which requests fail.
func (b *RetryBudget) Hedge(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1+hedgeReserve*b.burst {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) fill(now time.Time) {
	elapsed := now.Sub(b.filled)
	if elapsed <= 0 {
		return
	}
	b.filled = now
	b.tokens = min(b.burst, b.tokens+b.minimumPerSecond*elapsed.Seconds())
}

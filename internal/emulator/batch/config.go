package batch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config describes one engine.
type Config struct {
	// Capacity is the largest number of streams in a step. It must be positive.
	Capacity int
	// QueueLimit is the largest number of waiting streams; zero means no limit.
	QueueLimit int
	// StepBase is the duration of a step apart from its streams. It must be
	// positive: a step takes time.
	StepBase time.Duration
	// StepPerStream is added to a step for each running stream.
	StepPerStream time.Duration
	// PrefillPerToken is the time to compute one token that is in no cache.
	PrefillPerToken time.Duration
	// ImportTime is the time to import an exported KV cache.
	ImportTime time.Duration
	// CacheBlocks is the number of prefix blocks that the cache holds; zero
	// turns the cache off.
	CacheBlocks int
	// BlockTokens is the number of prompt tokens in a prefix block.
	BlockTokens int
	// Version is the weight version that is loaded at the start.
	Version int64
	// Lengths is the distribution of the answers' lengths.
	Lengths LengthModel
}

// DefaultConfig returns an engine of moderate size: 16 streams, steps of 10 ms
// to 18 ms, answers of 60 tokens in the median.
func DefaultConfig() Config {
	return Config{
		Capacity:        16,
		QueueLimit:      64,
		StepBase:        10 * time.Millisecond,
		StepPerStream:   500 * time.Microsecond,
		PrefillPerToken: 100 * time.Microsecond,
		ImportTime:      5 * time.Millisecond,
		CacheBlocks:     1024,
		BlockTokens:     16,
		Version:         1,
		Lengths:         LengthModel{MedianTokens: 60, Sigma: 0.8},
	}
}

// LengthModel is a lognormal distribution of answer lengths, in tokens.
type LengthModel struct {
	// MedianTokens is the median length.
	MedianTokens float64
	// Sigma is the standard deviation of the length's logarithm. Zero makes all
	// answers equally long; 1 makes one in a hundred ten times the median.
	Sigma float64
}

// Length returns the length in tokens of the answer to a prompt, at least 1.
// It does not depend on the attempt.
func (l LengthModel) Length(promptHash uint64, requestID string) int {
	var digest xxhash.Digest
	digest.ResetWithSeed(promptHash)
	_, _ = digest.WriteString(requestID)
	const fractionBits = 53
	uniform := (float64(digest.Sum64()>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	normal := math.Sqrt2 * math.Erfinv(2*uniform-1)
	return max(1, int(math.Round(l.MedianTokens*math.Exp(l.Sigma*normal))))
}

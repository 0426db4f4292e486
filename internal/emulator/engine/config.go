package engine

import (
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/emulator/batch"
)

// Config describes an engine.
type Config struct {
	// Name is the back end's name and the target name of its faults.
	Name string
	// Address is host:port of its HTTP interface.
	Address string
	// Pool is written into the history.
	Pool string
	// Model names the weights in the weight store.
	Model string
	// Batch is the model of its speed, cache and answers.
	Batch batch.Config
	// ChunkTokens is the number of tokens of a stream that a frame gathers.
	ChunkTokens int
	// LoadLag is the time between two refreshes of the load report.
	LoadLag time.Duration
	// SwapPause is the time for which a swap of weights stops the batch.
	SwapPause time.Duration
	// PullAttempts is the number of times that a pull is tried when the weight
	// store refuses it for its rate.
	PullAttempts int
	// PullTimeout bounds one attempt to pull.
	PullTimeout time.Duration
	// KVGroup names the engines among which an exported KV cache can be imported.
	KVGroup string
	// CacheEventLag is the time after which a cache event is published.
	CacheEventLag time.Duration
	// CacheEventLoss in [0,1] is the share of cache events that get lost.
	CacheEventLoss float64
}

// DefaultConfig returns an engine of the default speed in the pool and model
// "language".
func DefaultConfig(name string) Config {
	return Config{
		Name:           name,
		Address:        "127.0.0.1:0",
		Pool:           "language",
		Model:          "language",
		Batch:          batch.DefaultConfig(),
		ChunkTokens:    4,
		LoadLag:        200 * time.Millisecond,
		SwapPause:      300 * time.Millisecond,
		PullAttempts:   10,
		PullTimeout:    30 * time.Second,
		KVGroup:        "default",
		CacheEventLag:  500 * time.Millisecond,
		CacheEventLoss: 0.05,
	}
}

// ErrConfig is returned by Start for a configuration that makes no sense.
const ErrConfig = errs.Tag("engine: configuration")

func (c Config) check() error {
	switch {
	case c.Batch.Capacity <= 0 || c.Batch.StepBase <= 0:
		return ErrConfig.Errorf("%s: capacity %d and step base %v must be positive", c.Name, c.Batch.Capacity, c.Batch.StepBase)
	case c.ChunkTokens <= 0 || c.LoadLag <= 0:
		return ErrConfig.Errorf("%s: chunk of %d tokens and load lag %v must be positive", c.Name, c.ChunkTokens, c.LoadLag)
	}
	return nil
}

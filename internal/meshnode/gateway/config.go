package gateway

import (
	"cmp"
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
	"github.com/sliplift/sliplift/internal/meshnode/limits"
)

// Defaults of Config.
const (
	DefaultMaxPullWait    = time.Minute
	DefaultMaxSamples     = 100_000
	DefaultMaxTokens      = 1 << 20
	DefaultStopLinger     = 500 * time.Millisecond
	DefaultStopRetryAfter = time.Second
)

// notReadyRetryMS is the advice of a node that is not ready yet.
const notReadyRetryMS = 1000

func (c Config) withDefaults() Config {
	c.BodyLimit = cmp.Or(c.BodyLimit, httpjson.DefaultBodyLimit)
	c.MaxDeadline = cmp.Or(c.MaxDeadline, limits.MaxDeadline)
	c.MaxPullWait = cmp.Or(c.MaxPullWait, DefaultMaxPullWait)
	c.MaxSamples = cmp.Or(c.MaxSamples, DefaultMaxSamples)
	c.MaxTokens = cmp.Or(c.MaxTokens, DefaultMaxTokens)
	c.StopLinger = cmp.Or(c.StopLinger, DefaultStopLinger)
	c.StopRetryAfter = cmp.Or(c.StopRetryAfter, DefaultStopRetryAfter)
	return c
}

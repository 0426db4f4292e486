package claim

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	DefaultValidity       = 10 * time.Minute
	DefaultRoundTimeout   = time.Second
	DefaultGroupSize      = 3
	DefaultMaxEntries     = 1 << 20
	DefaultMaxAnswerBytes = 256 << 20
)

const (
	// maxAnswer bounds one recorded answer, in bytes.
	maxAnswer = 64 << 10
	// attemptsPerMember bounds how often a message to one member is sent.
	attemptsPerMember = 2
	// registerRetryPause is the pause between attempts to register.
	registerRetryPause = 2 * time.Second
	// retryAfterConflict is when a claimant that lost a split should come back.
	retryAfterConflict = 100 * time.Millisecond
	// retryAfterUnavailable is when a claimant without a majority should.
	retryAfterUnavailable = time.Second
)

// Config configures a Service. Zero fields take the defaults above.
type Config struct {
	// Self is this node's name.
	Self string
	// Incarnation is that of this node's process.
	Incarnation int64
	// Validity is how long a caller may use an idempotency key after it first
	// sent it.
	Validity time.Duration
	// RoundTimeout bounds one claim.
	RoundTimeout time.Duration
	GroupSize    int
	// ClockSkew bounds the error of keys that carry their time of creation.
	ClockSkew time.Duration
	// MaxViewAge is ViewsConfig.MaxAge.
	MaxViewAge     time.Duration
	MaxEntries     int
	MaxAnswerBytes int
	Faults         Faults
}

func (c Config) withDefaults() Config {
	c.Validity = cmp.Or(c.Validity, DefaultValidity)
	c.RoundTimeout = cmp.Or(c.RoundTimeout, DefaultRoundTimeout)
	c.GroupSize = cmp.Or(c.GroupSize, DefaultGroupSize)
	c.ClockSkew = cmp.Or(c.ClockSkew, DefaultClockSkew)
	c.MaxEntries = cmp.Or(c.MaxEntries, DefaultMaxEntries)
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	return c
}

// Retention is how long a replica keeps a grant.
func (c Config) Retention() time.Duration { return c.Validity + c.RoundTimeout }

package claim

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
)

const (
	// MaxKeyBytes is the largest size of an idempotency key.
	MaxKeyBytes = 256
	// DefaultClockSkew bounds how far clocks of callers and nodes may differ
	// before keys that carry their time are refused too early.
	DefaultClockSkew = 30 * time.Second
	// timedUUIDVersion is the UUID version that begins with a Unix time.
	timedUUIDVersion = 7
)

// checkKey refuses a key that is out of bounds, or that is known to be older
// than its validity: its register may have been forgotten.
func (c Config) checkKey(key string, now time.Time) error {
	if key == "" {
		return api.Refusal(http.StatusBadRequest, api.CodeMissingKey, 0, "a request that is not repeatable needs an idempotency key")
	}
	if len(key) > MaxKeyBytes {
		return api.Invalid("idempotency_key is longer than %d bytes", MaxKeyBytes)
	}
	createdAt, ok := keyTime(key)
	if !ok {
		return nil
	}
	age := now.Sub(createdAt)
	if age > c.Validity-c.ClockSkew || age < -c.ClockSkew {
		return api.Invalid("idempotency_key was created %s ago; keys are valid for %s", age.Round(time.Second), c.Validity)
	}
	return nil
}

// keyTime returns the time of creation of a key that carries one.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != timedUUIDVersion {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// Package pause waits for a while unless a context ends first.
package pause

import (
	"context"
	"time"
)

// For waits for the duration and returns true, or false as soon as ctx ends.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

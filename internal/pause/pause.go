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

// Every calls work each period, and whenever wakes delivers, until ctx ends. A
// nil channel never wakes.
func Every(ctx context.Context, period time.Duration, wakes <-chan struct{}, work func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wakes:
		}
		work()
	}
}

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
	EveryWhile(ctx, period, wakes, func() bool { return true }, work)
}

// EveryWhile is Every, but the periods count only while active tells so, as it
// is asked after each call of work: a process with nothing to do sleeps.
func EveryWhile(ctx context.Context, period time.Duration, wakes <-chan struct{}, active func() bool, work func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		ticks := ticker.C
		if !active() {
			ticks = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-wakes:
		}
		work()
	}
}

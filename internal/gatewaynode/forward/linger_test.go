package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

func TestAttemptsLingerAfterResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		attempts, end := lingering(ctx)
		end()
		cancel()
		time.Sleep(upstream.Linger - time.Millisecond)
		if attempts.Err() != nil {
			t.Error("attempts ended before upstream.Linger")
		}
		time.Sleep(2 * time.Millisecond)
		if attempts.Err() == nil {
			t.Error("attempts continue after upstream.Linger")
		}
	})
}

func TestAttemptsEndWhenTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		attempts, end := lingering(ctx)
		cancel()
		synctest.Wait()
		if attempts.Err() == nil {
			t.Error("attempts continue after the caller left")
		}
		end()
	})
}

// endingContext is a context that has ended but has not started its AfterFuncs.
type endingContext struct{ context.Context }

// AfterFunc implements the interface that context.AfterFunc uses for foreign contexts.
func (endingContext) AfterFunc(func()) func() bool { return func() bool { return true } }

// Value hides the wrapped context from the context package, which would bypass AfterFunc.
func (endingContext) Value(any) any { return nil }

// TestAttemptsEndWithARequestThatSeesTheEndFirst checks that attempts end at once if
// the request sees the end of its context before the context has started its AfterFuncs.
func TestAttemptsEndWithARequestThatSeesTheEndFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		attempts, end := lingering(endingContext{ctx})
		cancel()
		end()
		synctest.Wait()
		if attempts.Err() == nil {
			t.Error("attempts continue after the request ended")
		}
	})
}

package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

func TestAttemptsOutliveAnAnswerForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		attempts, end := lingering(ctx)
		end()
		cancel()
		time.Sleep(upstream.Linger - time.Millisecond)
		if attempts.Err() != nil {
			t.Error("cut at once")
		}
		time.Sleep(2 * time.Millisecond)
		if attempts.Err() == nil {
			t.Error("goes on for good")
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
			t.Error("they go on")
		}
		end()
	})
}

package rowlease

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
)

// suspension makes time away that the steady clock does not count, until the test ends.
func suspension(t *testing.T) func(time.Duration) {
	var away atomic.Int64
	t.Cleanup(clock.SetAway(func() time.Duration { return time.Duration(away.Load()) }))
	return func(lasts time.Duration) { away.Add(int64(lasts)) }
}

// TestHolderThatWasAwayActsNoMore: the machine of a holder is suspended for longer than the
// lease is valid. By its steady clock no time has passed; another node has the lease.
func TestHolderThatWasAwayActsNoMore(t *testing.T) {
	suspend := suspension(t)
	synctest.Test(t, func(t *testing.T) {
		_, holder, token := holding(t)
		suspend(Timing{Settle: testSettle}.Validity())
		if holder.lease.Valid(token, time.Now()) {
			t.Error("the lease is still valid")
		}
		if err := holder.lease.Act(t.Context(), token, callMost, untilEnd); !errors.Is(err, ErrLapsed) {
			t.Errorf("a call was made: %v", err)
		}
	})
}

// TestPermitEndsWhileAway: the machine is suspended between the permit and the sending.
func TestPermitEndsWhileAway(t *testing.T) {
	suspend := suspension(t)
	synctest.Test(t, func(t *testing.T) {
		_, holder, token := holding(t)
		err := holder.lease.Act(t.Context(), token, callMost, func(_ context.Context, permit Permit) error {
			if err := permit.Admit(); err != nil {
				t.Errorf("before: %v", err)
			}
			suspend(Timing{Settle: testSettle}.Validity())
			return permit.Admit()
		})
		if !errors.Is(err, ErrLapsed) {
			t.Errorf("sent after time away: %v", err)
		}
	})
}

// TestRenewalAcrossTimeAwayExtendsNothing: the machine is suspended while a renewal is on its
// way. Its answer says that the lease was held when it was sent, not that it is now.
func TestRenewalAcrossTimeAwayExtendsNothing(t *testing.T) {
	suspend := suspension(t)
	synctest.Test(t, func(t *testing.T) {
		_, holder, token := holding(t)
		sent := clock.NewMark()
		suspend(Timing{Settle: testSettle}.Validity())
		holder.lease.mu.Lock()
		holder.lease.adopt(holder.lease.row, holder.lease.revision, sent)
		holder.lease.mu.Unlock()
		if holder.lease.Valid(token, time.Now()) {
			t.Error("a renewal that was sent before time away makes the lease valid after it")
		}
	})
}

// TestShortTimeAwayCostsNoLease: a suspension of less than the validity takes nothing away,
// nor do several after each other.
func TestShortTimeAwayCostsNoLease(t *testing.T) {
	suspend := suspension(t)
	synctest.Test(t, func(t *testing.T) {
		_, holder, token := holding(t)
		for range 5 {
			suspend(Timing{Settle: testSettle}.Validity() / 3)
			if !holder.lease.Valid(token, time.Now()) {
				t.Fatal("the lease is lost")
			}
			time.Sleep(time.Second)
		}
		if hold, _, held := holder.lease.Current(); !held || hold.Token != token {
			t.Errorf("held %v, token %d, want %d", held, hold.Token, token)
		}
	})
}

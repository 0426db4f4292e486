package rowlease

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// callMost is what the callers of these tests allow a call: more than the lease does.
const callMost = time.Minute

// holding returns a system whose lease is held, and the holder with its token.
func holding(t *testing.T) (s *system, holder *node, token int64) {
	t.Helper()
	s = newSystem(t, 2)
	time.Sleep(8 * time.Second)
	holder = s.holder()
	if holder == nil {
		t.Fatal("nobody holds the lease")
	}
	hold, _, _ := holder.lease.Current()
	return s, holder, hold.Token
}

// untilEnd is a call that goes on until its context ends.
func untilEnd(ctx context.Context, _ Permit) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestCallEndsWithTheValidity: a holder that is cut off from the store ends a call under
// way, and may begin none, before another node may take the lease.
func TestCallEndsWithTheValidity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, holder, token := holding(t)
		holder.way.Set(rowstoretest.Silenced)
		var permit Permit
		err := holder.lease.Act(t.Context(), token, callMost, func(ctx context.Context, given Permit) error {
			permit = given
			return untilEnd(ctx, given)
		})
		if ended := time.Now(); !errors.Is(err, context.DeadlineExceeded) || ended.After(permit.Until) {
			t.Errorf("%v at %s, %s after its limit", err, ended, ended.Sub(permit.Until))
		}
		if err := permit.Admit(); !errors.Is(err, ErrLapsed) {
			t.Errorf("a call may begin after the validity: %v", err)
		}
		if err := holder.lease.Act(t.Context(), token, callMost, untilEnd); !errors.Is(err, ErrLapsed) {
			t.Errorf("a call was made after the validity: %v", err)
		}
	})
}

// TestPermitIsNotExtended: a renewal while a process stood still between the permit and
// the sending makes the lease valid again, and not the permit.
func TestPermitIsNotExtended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, holder, token := holding(t)
		err := holder.lease.Act(t.Context(), token, callMost, func(_ context.Context, permit Permit) error {
			time.Sleep(2 * holder.lease.config.Timing.Validity())
			if !holder.lease.Valid(token, time.Now()) {
				t.Error("the lease is not valid: the test shows nothing")
			}
			return permit.Admit()
		})
		if !errors.Is(err, ErrLapsed) {
			t.Errorf("the call may begin late: %v", err)
		}
	})
}

// TestCallEndsWithTheLease: a call under way ends at once when another node is seen to
// hold the lease.
func TestCallEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder, token := holding(t)
		time.AfterFunc(100*time.Millisecond, func() {
			s.store.Put(Table, "", "work", encode(State{Holder: "other", Term: token + 1}))
		})
		started := time.Now()
		err := holder.lease.Act(t.Context(), token, callMost, untilEnd)
		if took := time.Since(started); !errors.Is(err, context.Canceled) || took > holder.lease.config.Timing.Validity() {
			t.Errorf("%v after %s", err, took)
		}
	})
}

// TestReleaseWaitsForCalls: a release is written once no call is under way, and tells of
// the call's end.
func TestReleaseWaitsForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder, token := holding(t)
		var ended time.Time
		go func() {
			_ = holder.lease.Act(t.Context(), token, callMost, func(ctx context.Context, permit Permit) error {
				defer func() { ended = time.Now() }()
				return untilEnd(ctx, permit)
			})
		}()
		synctest.Wait()
		holder.lease.Release(func() time.Duration { return time.Hour })
		if ended.IsZero() {
			t.Fatal("released while a call was under way")
		}
		for _, row := range s.store.Rows(Table) {
			if row.RowID != (rowstore.RowID{Table: Table, Key: "work"}) {
				continue
			}
			var released State
			if err := json.Unmarshal(row.Value, &released); err != nil {
				t.Fatal(err)
			}
			if quiet := time.Duration(released.QuietMillis) * time.Millisecond; !released.Released || quiet > time.Since(ended) {
				t.Errorf("%+v, %s after the call's end", released, time.Since(ended))
			}
		}
	})
}

// TestReleaseLeavesTheNextHoldersRow: a node that stands still in a call while it stops
// does not release the lease of the node that took it meanwhile.
func TestReleaseLeavesTheNextHoldersRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, holder, token := holding(t)
		go func() {
			_ = holder.lease.Act(t.Context(), token, callMost, func(context.Context, Permit) error {
				time.Sleep(callMost)
				return nil
			})
		}()
		synctest.Wait()
		time.AfterFunc(time.Second, func() {
			s.store.Put(Table, "", "work", encode(State{Holder: "other", Term: token + 1}))
		})
		holder.lease.Release(func() time.Duration { return time.Hour })
		for _, row := range s.store.Rows(Table) {
			var now State
			if err := json.Unmarshal(row.Value, &now); err != nil {
				t.Fatal(err)
			}
			if row.Key == "work" && (now.Released || now.Term == token) {
				t.Errorf("the row of a later term is %+v", now)
			}
		}
	})
}

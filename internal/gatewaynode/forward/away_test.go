package forward

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// TestRequestsTimeGoesOnWhileTheMachineIsAway: what is left of a request's time, and whether
// it may be sent at all, by how long the machine was away since it came.
func TestRequestsTimeGoesOnWhileTheMachineIsAway(t *testing.T) {
	var away atomic.Int64
	defer clock.SetAway(func() time.Duration { return time.Duration(away.Load()) })()
	for _, test := range []struct {
		away, left time.Duration
		may        bool
	}{
		{0, 3 * time.Second, true}, {time.Second, 2 * time.Second, true}, {3 * time.Second, 0, false}, {time.Minute, -57 * time.Second, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			away.Store(0)
			o := newOverload(t, 1, allowed)
			defer o.close()
			limit := time.Now().Add(3 * time.Second)
			tr := &try{
				ctx: t.Context(), forwarder: o.forwarders[0], route: &routetable.Route{Name: "r", Kind: routetable.KindSafe}, service: "s",
				request: &Request{ID: "r", Deadline: limit}, limit: limit, began: clock.NewMark(), tried: map[string]int{},
			}
			away.Store(int64(test.away))
			backend, found := tr.choose(time.Now())
			if !found {
				t.Fatal("no back end")
			}
			if left := time.Until(tr.call(backend).Deadline); left != test.left || tr.maySend() != test.may {
				t.Errorf("away for %s: %s left, may be sent: %v; want %s, %v", test.away, left, tr.maySend(), test.left, test.may)
			}
			if test.may {
				return
			}
			w := httptest.NewRecorder()
			if report := tr.whole(t.Context(), w); report.Outcome != OutcomeRefused || w.Code != http.StatusServiceUnavailable {
				t.Errorf("away for %s: %s, status %d", test.away, report.Outcome, w.Code)
			}
		})
	}
}

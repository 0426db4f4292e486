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

// TestDeadlineIncludesSuspension checks that time for which the machine was suspended is
// subtracted from a request's deadline, and that no attempt is sent after it.
func TestDeadlineIncludesSuspension(t *testing.T) {
	var suspended atomic.Int64
	defer clock.SetAway(func() time.Duration { return time.Duration(suspended.Load()) })()
	for _, test := range []struct {
		suspended, left time.Duration
		maySend         bool
	}{
		{0, 3 * time.Second, true}, {time.Second, 2 * time.Second, true}, {3 * time.Second, 0, false}, {time.Minute, -57 * time.Second, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			suspended.Store(0)
			o := newTestCluster(t, 1, latencyBudget)
			defer o.close()
			limit := time.Now().Add(3 * time.Second)
			tr := &try{
				ctx: t.Context(), forwarder: o.forwarders[0], route: &routetable.Route{Name: "r", Kind: routetable.KindSafe}, service: "s",
				request: &Request{ID: "r", Deadline: limit}, limit: limit, began: clock.NewMark(), tried: map[string]int{},
			}
			suspended.Store(int64(test.suspended))
			backend, found := tr.choose(time.Now())
			if !found {
				t.Fatal("no backend chosen")
			}
			if left := time.Until(tr.call(backend).Deadline); left != test.left || tr.maySend() != test.maySend {
				t.Errorf("suspended for %s: %s left, maySend = %v; want %s, %v", test.suspended, left, tr.maySend(), test.left, test.maySend)
			}
			if test.maySend {
				return
			}
			w := httptest.NewRecorder()
			if report := tr.serveBuffered(t.Context(), w); report.Outcome != OutcomeRefused || w.Code != http.StatusServiceUnavailable {
				t.Errorf("suspended for %s: outcome %s, status %d", test.suspended, report.Outcome, w.Code)
			}
		})
	}
}

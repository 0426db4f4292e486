package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// TestQueuedStreamIsNoFailure checks that a stream without events counts as a failure of its
// backend only if the backend has a free slot. A full backend is suspended briefly instead.
func TestQueuedStreamIsNoFailure(t *testing.T) {
	for _, test := range []struct {
		name                       string
		running, waiting, failures int
		pause                      time.Duration
	}{
		{"slots are free", 0, 0, 1, 250 * time.Millisecond},
		{"stream takes the last slot", queueSlots - 1, 0, 1, 250 * time.Millisecond},
		{"all slots are taken", queueSlots, 0, 0, refusalPause},
		{"other requests wait", queueSlots - 1, 2, 0, refusalPause},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newTestCluster(t, 1, latencyBudget)
			defer o.close()
			backends := o.forwarders[0].config.Fleet
			for i, q := range o.queues {
				for range queueSlots {
					q.slots <- struct{}{}
				}
				backends.ObserveLoad([]string{"b0", "b1"}[i], fleet.Load{Running: test.running, Waiting: test.waiting}, time.Now())
			}
			route := &routetable.Route{
				Name: "stream", Kind: routetable.KindStream, Resumable: true, MaxAttempts: 1, Timeout: 5 * time.Second,
				Splits: []routetable.Split{{Service: "s", Weight: 1}},
			}
			began := time.Now()
			report := o.forwarders[0].Serve(t.Context(), httptest.NewRecorder(), &Request{
				ID: "r", Method: http.MethodPost, Target: "/", Received: began, Deadline: began.Add(5 * time.Second),
			}, route, 1)
			if took := time.Since(began); took != maxStreamSilence {
				t.Errorf("%s: ended after %s, want %s", test.name, took, maxStreamSilence)
			}
			b, _ := backends.Get(report.Backend, time.Now())
			if pause := time.Until(b.SuspendedUntil); b.Failures != test.failures || pause != test.pause {
				t.Errorf("%s: %d failures, suspended for %s, want %d for %s", test.name, b.Failures, pause, test.failures, test.pause)
			}
		})
	}
}

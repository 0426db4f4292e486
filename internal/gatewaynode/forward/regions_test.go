package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
)

// TestStreamFollowsChangedRegions checks that a stream whose backend is silent moves to
// another one, unless a new configuration restricts the route or tenant to other regions.
func TestStreamFollowsChangedRegions(t *testing.T) {
	for _, test := range []struct {
		name     string
		now      place.Regions
		attempts int
	}{
		{"restricted to another region", place.NewRegions("south"), 1},
		{"route and tenant share no region", place.NewRegions("south").Intersect(place.NewRegions("north")), 1},
		{"not restricted", place.Regions{}, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newTestCluster(t, 1, latencyBudget)
			defer o.close()
			for _, q := range o.queues {
				for range queueSlots {
					q.slots <- struct{}{}
				}
			}
			route := &routetable.Route{
				Name: "stream", Kind: routetable.KindStream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second,
				Splits: []routetable.Split{{Service: "s", Weight: 1}},
			}
			began := time.Now()
			o.forwarders[0].config.Regions = func(route, tenant string) place.Regions {
				if route != "stream" || tenant != "lab" {
					t.Errorf("Regions called with route %q, tenant %q", route, tenant)
				}
				if time.Since(began) < maxStreamSilence/2 {
					return place.Regions{}
				}
				return test.now
			}
			report := o.forwarders[0].Serve(t.Context(), httptest.NewRecorder(), &Request{
				ID: "r", Method: http.MethodPost, Target: "/", Tenant: "lab", Received: began, Deadline: began.Add(5 * time.Second),
			}, route, 1)
			if report.Attempts != test.attempts {
				t.Errorf("%s: %d attempts, want %d", test.name, report.Attempts, test.attempts)
			}
		})
	}
}

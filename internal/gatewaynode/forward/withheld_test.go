package forward

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// TestWithheldAttemptIsTheCause checks that a refusal names the reason for which the attempts
// were withheld, even if a backend has become eligible since.
func TestWithheldAttemptIsTheCause(t *testing.T) {
	withheld := &upstream.Error{Fate: upstream.NotSent, Cause: &eligibility.Error{Reason: eligibility.Draining{}}, Withheld: true}
	for kind, end := range map[routetable.Kind]func(*try) Report{
		routetable.KindStream: func(tr *try) Report { return tr.endStream(&streamState{writer: httptest.NewRecorder()}, nil) },
		routetable.KindSafe:   func(tr *try) Report { return tr.giveUp(httptest.NewRecorder(), nil) },
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newTestCluster(t, 1, latencyBudget)
			defer o.close()
			tr := &try{
				ctx: t.Context(), forwarder: o.forwarders[0], route: &routetable.Route{Name: "r", Kind: kind}, service: "s",
				request: &Request{ID: "r", Deadline: time.Now().Add(time.Second)}, tried: map[string]int{"b0": 1}, sends: 1,
			}
			tr.recordFailure(fleet.Backend{Instance: fleet.Instance{ID: "b0"}}, withheld)
			if report := end(tr); report.Outcome != OutcomeRefused || report.Cause != withheld.Error() {
				t.Errorf("%s: outcome %s, cause %q", kind, report.Outcome, report.Cause)
			}
		})
	}
}

package forward

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// eligibilityRequest returns the properties of the request that determine which backends are
// eligible now.
func (t *try) wants() eligibility.Request {
	wants := eligibility.Request{Regions: t.regions(), Model: t.request.Model}
	if !t.trial {
		wants.Work = t.work
	}
	return wants
}

// regions returns the regions that may serve the request: those allowed when it arrived and
// also by the configuration in force, which may change during a stream.
func (t *try) regions() place.Regions {
	if t.forwarder.config.Regions == nil {
		return t.request.Regions
	}
	return t.request.Regions.Intersect(t.forwarder.config.Regions(t.route.Name, t.request.Tenant))
}

// recordWithheld records an attempt that this node did not send after all. It says nothing
// about the backend and does not count as an attempt.
func (t *try) noteWithheld(backend fleet.Backend, err error) {
	t.sends--
	t.withheld++
	t.cause = err.Error()
	t.tried[backend.ID]--
	t.forwarder.config.Log.Info(eventlog.AttemptWithheld, eventlog.Fields{
		eventlog.Request: t.request.ID, eventlog.Backend: backend.ID, eventlog.Reason: eligibility.LabelOf(err), eventlog.Cause: t.cause,
	})
}

// survey counts the service's backends by eligibility for the request.
func (t *try) survey(now time.Time) eligibility.Survey {
	return t.forwarder.config.Gate.World(now).Survey(t.forwarder.config.Fleet.Service(t.service, now), t.wants())
}

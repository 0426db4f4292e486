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
func (x *try) eligibilityRequest() eligibility.Request {
	wants := eligibility.Request{Regions: x.regions(), Model: x.request.Model}
	if !x.trial {
		wants.Fingerprint = x.fingerprint
	}
	return wants
}

// regions returns the regions that may serve the request: those allowed when it arrived and
// also by the configuration in force, which may change during a stream.
func (x *try) regions() place.Regions {
	if x.forwarder.config.Regions == nil {
		return x.request.Regions
	}
	return x.request.Regions.Intersect(x.forwarder.config.Regions(x.route.Name, x.request.Tenant))
}

// recordWithheld records an attempt that this node did not send after all. It says nothing
// about the backend and does not count as an attempt.
func (x *try) recordWithheld(backend fleet.Backend, err error) {
	x.sends--
	x.withheld++
	x.cause = err.Error()
	x.tried[backend.ID]--
	x.forwarder.config.Log.Info(eventlog.AttemptWithheld, eventlog.Fields{
		eventlog.Request: x.request.ID, eventlog.Backend: backend.ID, eventlog.Reason: eligibility.LabelOf(err), eventlog.Cause: x.cause,
	})
}

// survey counts the service's backends by eligibility for the request.
func (x *try) survey(now time.Time) eligibility.Survey {
	return x.forwarder.config.Gate.Snapshot(now).Survey(x.forwarder.config.Fleet.Service(x.service, now), x.eligibilityRequest())
}

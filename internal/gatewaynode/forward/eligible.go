package forward

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// wants returns what decides which back ends may get the request now.
func (t *try) wants() eligibility.Request {
	wants := eligibility.Request{Regions: t.regions(), Model: t.request.Model}
	if !t.trial {
		wants.Work = t.work
	}
	return wants
}

// regions returns where the request may be served: where it might when it came, and may by
// the configuration in force. A stream can outlive several of these.
func (t *try) regions() place.Regions {
	if t.forwarder.config.Regions == nil {
		return t.request.Regions
	}
	return t.request.Regions.Intersect(t.forwarder.config.Regions(t.route.Name, t.request.Tenant))
}

// noteWithheld takes note of an attempt that this node kept back: that says nothing of
// the back end, and is no attempt.
func (t *try) noteWithheld(backend fleet.Backend, err error) {
	t.sends--
	t.withheld++
	t.cause = err.Error()
	t.tried[backend.ID]--
	t.forwarder.config.Log.Info(eventlog.AttemptWithheld, eventlog.Fields{
		eventlog.Request: t.request.ID, eventlog.Backend: backend.ID, eventlog.Reason: eligibility.LabelOf(err), eventlog.Cause: t.cause,
	})
}

// survey says how the back ends stand to the request.
func (t *try) survey(now time.Time) eligibility.Survey {
	return t.forwarder.config.Gate.World(now).Survey(t.forwarder.config.Fleet.Service(t.service, now), t.wants())
}

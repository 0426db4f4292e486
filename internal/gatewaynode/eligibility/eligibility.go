// Package eligibility decides which backends may get a request. All calls to backends use
// it: live requests, retries, resumed streams, items of batch jobs, calls to scoring services
// and commands to backends. Callers check when they choose a backend and again when they
// send.
//
// # Invariants
//
//   - The decision is a pure function of a backend, a request and a Snapshot of the
//     node's state.
//   - This package only excludes backends. Callers rank the eligible ones.
//   - A call is sent only after Gate.Admit has admitted it on an established connection,
//     because the process may have been suspended, or have waited for a connection, since
//     the backend was chosen.
package eligibility

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/evacuation"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// Request holds the properties of a request that affect eligibility.
type Request struct {
	// Fingerprint identifies the request. The zero value exempts it from quarantine.
	Fingerprint fingerprint.Fingerprint
	// Regions is the set of regions allowed by both its route and its tenant.
	Regions place.Regions
	// Model is the required model, empty for any.
	Model string
	// MinVersion is the oldest allowed version of the model's weights.
	MinVersion int64
	// Version is the only allowed version if it is above 0.
	Version int64
	// Weights enables the checks of MinVersion and Version. The backend must then be known
	// to hold the model and must not be loading weights of it.
	Weights bool
	// Durable is set for requests of jobs. They survive the loss of this node, and so wait
	// if the node's list of evacuations is out of date.
	Durable bool
	// AvoidCold is set for requests that wait until no backend is cold and leave the
	// capacity of cold ones to others.
	AvoidCold bool
}

// Snapshot is a snapshot of the node's state on which eligibility depends.
type Snapshot struct {
	Now time.Time
	// Zones maps zones to regions.
	Zones place.Map
	// Failures returns how many backends terminated while they ran a quarantined request,
	// 0 if the request is not quarantined. If Failures is nil, none is.
	Failures func(f fingerprint.Fingerprint) int
	// Evacuations is the set of evacuations in force.
	Evacuations evacuation.Set
	// EvacuationsAge is the time since the store last confirmed Evacuations.
	EvacuationsAge time.Duration
	// MaxEvacuationsAge is the maximum EvacuationsAge at which Durable requests are sent,
	// 0 for no limit.
	MaxEvacuationsAge time.Duration
	// ColdRequestsLeft returns how many requests this node may send to a cold backend now,
	// or coldstart.Unbounded. If it is nil, the number is unbounded for all backends.
	ColdRequestsLeft func(backend *fleet.Backend) int
	// ColdRetryDelay returns the time until this node may send another request to a cold
	// backend, 0 if unknown. If it is nil, the time is unknown for all backends.
	ColdRetryDelay func(backend *fleet.Backend) time.Duration
}

// Decide returns the reason why a backend may not get a request, nil if it may. It is a
// pure function.
func (s *Snapshot) Decide(b *fleet.Backend, r Request) Reason {
	if failures := s.QuarantineFailures(r.Fingerprint); failures > 0 {
		return Quarantined{Failures: failures}
	}
	if reason := s.checkBackend(b, r); reason != nil {
		return reason
	}
	if reason := checkModel(b, r); reason != nil {
		return reason
	}
	return s.checkCold(b, r)
}

// QuarantineFailures returns how many backends terminated while they ran a quarantined
// request, 0 if the request is not quarantined.
func (s *Snapshot) QuarantineFailures(f fingerprint.Fingerprint) int {
	if f.IsZero() || s.Failures == nil {
		return 0
	}
	return s.Failures(f)
}

// Eligible reports whether a backend may get a request.
func (s *Snapshot) Eligible(b *fleet.Backend, r Request) bool { return s.Decide(b, r) == nil }

// checkCold checks the rate limit of a cold backend. Requests with AvoidCold are refused even
// below the limit.
func (s *Snapshot) checkCold(b *fleet.Backend, r Request) Reason {
	left := b.ColdUntil.Sub(s.Now)
	if left <= 0 || s.ColdRequestsLeft == nil {
		return nil
	}
	remaining := s.ColdRequestsLeft(b)
	if remaining == coldstart.Unbounded || remaining > 0 && !r.AvoidCold {
		return nil
	}
	return Cold{Left: left}
}

// checkBackend checks everything that does not depend on the models of a backend.
func (s *Snapshot) checkBackend(b *fleet.Backend, r Request) Reason {
	if b.Draining {
		return Draining{}
	}
	if e, evacuated := s.Evacuations[b.Zone]; evacuated {
		return Evacuated{Zone: b.Zone, Elapsed: s.Now.Sub(e.Since)}
	}
	if region := s.Zones.Region(b.Zone); !r.Regions.Has(region) {
		return OtherRegion{Region: region, Allowed: r.Regions.String()}
	}
	if r.Durable && s.MaxEvacuationsAge > 0 && s.EvacuationsAge > s.MaxEvacuationsAge {
		return EvacuationsOutdated{Age: s.EvacuationsAge}
	}
	return nil
}

// checkModel checks the model and its version. A backend without known models passes unless
// Weights is set.
func checkModel(b *fleet.Backend, r Request) Reason {
	if r.Model == "" {
		return nil
	}
	version, known := b.Models[r.Model]
	switch {
	case !known && (r.Weights || len(b.Models) > 0):
		return NoModel{}
	case !r.Weights:
		return nil
	case version < r.MinVersion, r.Version != 0 && version != r.Version:
		return OtherWeights{Version: version}
	case b.LoadingModel == r.Model:
		return Loading{}
	}
	return nil
}

// Survey is a summary of the eligibility of backends for a request.
type Survey struct {
	// Eligible counts the eligible backends.
	Eligible int
	// Reasons counts the other backends by the label of the reason.
	Reasons map[string]int
	// ColdWait is the shortest time until one of the cold backends may get a request; 0 if
	// none is excluded as cold.
	ColdWait time.Duration
}

// Survey summarizes the eligibility of backends for a request. It is a pure function.
func (s *Snapshot) Survey(backends []fleet.Backend, r Request) Survey {
	survey := Survey{Reasons: make(map[string]int)}
	for i := range backends {
		reason := s.Decide(&backends[i], r)
		if reason == nil {
			survey.Eligible++
			continue
		}
		survey.Reasons[reason.Label()]++
		if cold, is := reason.(Cold); is {
			survey.noteColdWait(s.coldWait(&backends[i], cold))
		}
	}
	return survey
}

// coldWait returns the time until a cold backend is warm or may get another request.
func (s *Snapshot) coldWait(b *fleet.Backend, cold Cold) time.Duration {
	if s.ColdRetryDelay == nil {
		return cold.Left
	}
	if next := s.ColdRetryDelay(b); next > 0 {
		return min(next, cold.Left)
	}
	return cold.Left
}

// noteColdWait lowers ColdWait to after.
func (s *Survey) noteColdWait(after time.Duration) {
	if s.ColdWait == 0 || after < s.ColdWait {
		s.ColdWait = after
	}
}

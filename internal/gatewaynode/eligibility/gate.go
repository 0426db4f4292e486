package eligibility

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/evacuation"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// Config configures a Gate.
type Config struct {
	Fleet       *fleet.Fleet
	Evacuations *evacuation.Book
	Zones       place.Map
	// QuarantineFailures is used as Snapshot.Failures.
	QuarantineFailures func(f fingerprint.Fingerprint) int
	// EvacuationsAge returns the time since the store last confirmed the evacuations.
	EvacuationsAge func(now time.Time) time.Duration
	// MaxEvacuationsAge is used as Snapshot.MaxEvacuationsAge.
	MaxEvacuationsAge time.Duration
	// Share returns this node's share of the limit of a cold backend, as coldstart.Share
	// does, or coldstart.Unbounded.
	Share func(backend *fleet.Backend, now time.Time) int
	// Observe is called with the label of the reason for each call that Admit refuses. It
	// may be nil.
	Observe func(label string)
	// ObserveColdCall is called for each call that Admit admits to a cold backend. It may
	// be nil.
	ObserveColdCall func(service string)
}

// Gate checks calls to backends immediately before they are sent. It is safe for concurrent
// use.
type Gate struct {
	config      Config
	coldLimiter *coldstart.Limiter
}

// NewGate returns a Gate for a configuration.
func NewGate(config Config) *Gate { return &Gate{config: config, coldLimiter: coldstart.NewLimiter()} }

// Snapshot returns a snapshot of the node's state.
func (g *Gate) Snapshot(now time.Time) *Snapshot {
	return &Snapshot{
		Now: now, Failures: g.config.QuarantineFailures, Zones: g.config.Zones, Evacuations: g.config.Evacuations.InForce(),
		EvacuationsAge: g.config.EvacuationsAge(now), MaxEvacuationsAge: g.config.MaxEvacuationsAge,
		ColdRequestsLeft: func(b *fleet.Backend) int { return g.coldLimiter.Remaining(b.ID, g.config.Share(b, now), now) },
		ColdRetryDelay:   func(b *fleet.Backend) time.Duration { return g.coldRetryDelay(b, now) },
	}
}

// coldRetryDelay returns the time until this node may send another request to a cold
// backend, 0 if its share is 0.
func (g *Gate) coldRetryDelay(b *fleet.Backend, now time.Time) time.Duration {
	next := g.coldLimiter.NextAllowed(b.ID, g.config.Share(b, now), now)
	if next.IsZero() {
		return 0
	}
	return next.Sub(now)
}

// Admit returns nil if a call may be sent to a backend now, otherwise an *Error. A call to
// a cold backend is counted against the node's share. Call it immediately before sending.
func (g *Gate) Admit(backend string, r Request) error {
	now := time.Now()
	reason := g.decide(backend, r, now)
	if reason == nil {
		return nil
	}
	if g.config.Observe != nil {
		g.config.Observe(reason.Label())
	}
	return &Error{Reason: reason}
}

// decide returns the reason to refuse a call, nil if it is admitted.
func (g *Gate) decide(backend string, r Request, now time.Time) Reason {
	b, found := g.config.Fleet.Get(backend, now)
	if !found {
		return Gone{}
	}
	snapshot := g.Snapshot(now)
	if reason := snapshot.Decide(&b, r); reason != nil {
		return reason
	}
	if left := b.ColdUntil.Sub(now); left > 0 {
		return g.admitCold(&b, left, now)
	}
	return nil
}

// admitCold counts a call to a cold backend, or returns Cold if the node's share is used
// up: a concurrent call may have taken the rest of it since Snapshot.Decide.
func (g *Gate) admitCold(b *fleet.Backend, left time.Duration, now time.Time) Reason {
	if !g.coldLimiter.Allow(b.ID, g.config.Share(b, now), now) {
		return Cold{Left: left}
	}
	if g.config.ObserveColdCall != nil {
		g.config.ObserveColdCall(b.Service)
	}
	return nil
}

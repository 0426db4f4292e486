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
	// Held is World.Held.
	Held func(work fingerprint.Fingerprint) int
	// Age returns how long ago the store confirmed the evacuations last, and AgeMost the
	// age up to which patient requests may rely on them, 0 for any.
	Age     func(now time.Time) time.Duration
	AgeMost time.Duration
	// Share returns how many requests in a second this node may send to a cold back end,
	// coldstart.Unbounded where nothing bounds them.
	Share func(backend *fleet.Backend, now time.Time) int
	// Observe is told of each call that was withheld at the moment of sending, by label
	// of the reason; ObserveTurn of each that went to a cold back end of a service. Both
	// may be nil.
	Observe     func(label string)
	ObserveTurn func(service string)
}

// Gate holds what eligibility is decided from, and lets calls through to back ends. It
// is safe for concurrent use.
type Gate struct {
	config Config
	turns  *coldstart.Turns
}

// NewGate returns a gate.
func NewGate(config Config) *Gate { return &Gate{config: config, turns: coldstart.NewTurns()} }

// World returns what the node believes now.
func (g *Gate) World(now time.Time) *World {
	return &World{
		Now: now, Held: g.config.Held, Zones: g.config.Zones, Evacuations: g.config.Evacuations.InForce(),
		Age: g.config.Age(now), AgeMost: g.config.AgeMost,
		Turns:    func(b *fleet.Backend) int { return g.turns.Room(b.ID, g.config.Share(b, now), now) },
		NextTurn: func(b *fleet.Backend) time.Duration { return g.nextTurn(b, now) },
	}
}

// nextTurn returns after which time this node may send one more to a cold back end, 0 if
// it has no share.
func (g *Gate) nextTurn(b *fleet.Backend, now time.Time) time.Duration {
	next := g.turns.Next(b.ID, g.config.Share(b, now), now)
	if next.IsZero() {
		return 0
	}
	return next.Sub(now)
}

// Admit lets a call through to a back end, whose turn it takes if that is cold, or
// returns an *Error. It is asked at the moment of sending.
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

func (g *Gate) decide(backend string, r Request, now time.Time) Reason {
	b, found := g.config.Fleet.Get(backend, now)
	if !found {
		return Gone{}
	}
	world := g.World(now)
	if reason := world.Decide(&b, r); reason != nil {
		return reason
	}
	if left := b.ColdUntil.Sub(now); left > 0 {
		return g.takeTurn(&b, left, now)
	}
	return nil
}

// takeTurn takes a turn at a cold back end.
func (g *Gate) takeTurn(b *fleet.Backend, left time.Duration, now time.Time) Reason {
	if !g.turns.Take(b.ID, g.config.Share(b, now), now) {
		return Cold{Left: left}
	}
	if g.config.ObserveTurn != nil {
		g.config.ObserveTurn(b.Service)
	}
	return nil
}

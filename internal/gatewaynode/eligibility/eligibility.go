// Package eligibility decides which back ends may get a request. It is the one place
// that does: live requests, second attempts, streams that go on elsewhere, items of batch
// jobs, calls to scoring services and orders to back ends all ask it, when a back end is
// chosen and once more at the moment of sending.
//
// # Invariants
//
//   - The decision is a pure function of a back end, a request and a World, which is what
//     the node believes as of one moment.
//   - What may not be sent is a matter of this package; which of the back ends that may get
//     a request is the best is a matter of who chooses.
//   - A call leaves the process only after Gate.Admit let it through, on a connection that
//     stands: between the choice and the sending a process may have been frozen, or have
//     waited for a connection.
package eligibility

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/coldstart"
	"github.com/sliplift/sliplift/internal/gatewaynode/evacuation"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// Request is what decides on the side of a request.
type Request struct {
	// Work is what it asks for, zero if it may run whatever ended under its like.
	Work fingerprint.Fingerprint
	// Regions are those that may serve it: of its route and its tenant, both bind.
	Regions place.Regions
	// Model is the model that has to answer, empty if any; MinVersion, the oldest version
	// of its weights that may; Version, if above 0, the only one.
	Model               string
	MinVersion, Version int64
	// Weights tells that the versions count: the back end must be known to hold them, and
	// to be at rest.
	Weights bool
	// Patient requests rather wait than go where it is not known whether they may: they
	// belong to jobs, which are kept whatever becomes of this node.
	Patient bool
	// Warm requests can wait until a back end that is cold no longer is, and leave what
	// it bears to others.
	Warm bool
}

// World is what a node believes, as of one moment.
type World struct {
	Now time.Time
	// Zones tells the region of each zone.
	Zones place.Map
	// Held returns how many back ends ended under a quarantined work, 0 for others; nil
	// stands for that everywhere.
	Held func(work fingerprint.Fingerprint) int
	// Evacuations are those in force. Age is how long ago the store confirmed them last;
	// up to AgeMost patient requests may rely on them, 0 sets no limit.
	Evacuations  evacuation.Set
	Age, AgeMost time.Duration
	// Turns returns how many requests this node may send to a cold back end now,
	// coldstart.Unbounded where nothing bounds them; nil stands for that everywhere.
	Turns func(backend *fleet.Backend) int
	// NextTurn returns after which time this node may send one more to a cold back end, 0
	// if it cannot tell; nil stands for that everywhere.
	NextTurn func(backend *fleet.Backend) time.Duration
}

// Decide returns why a back end may not get a request, nil if it may. It is pure.
func (w *World) Decide(b *fleet.Backend, r Request) Reason {
	if ends := w.HeldEnds(r.Work); ends > 0 {
		return Quarantined{Ends: ends}
	}
	if reason := w.standing(b, r); reason != nil {
		return reason
	}
	if reason := holds(b, r); reason != nil {
		return reason
	}
	return w.cold(b, r)
}

// HeldEnds returns how many back ends ended under a quarantined work, 0 for others.
func (w *World) HeldEnds(work fingerprint.Fingerprint) int {
	if work.IsZero() || w.Held == nil {
		return 0
	}
	return w.Held(work)
}

// May tells whether a back end may get a request.
func (w *World) May(b *fleet.Backend, r Request) bool { return w.Decide(b, r) == nil }

// cold judges whether a cold back end may get the request besides what it gets.
func (w *World) cold(b *fleet.Backend, r Request) Reason {
	left := b.ColdUntil.Sub(w.Now)
	if left <= 0 || w.Turns == nil {
		return nil
	}
	turns := w.Turns(b)
	if turns == coldstart.Unbounded || turns > 0 && !r.Warm {
		return nil
	}
	return Cold{Left: left}
}

// standing judges what holds for a back end whatever it has loaded.
func (w *World) standing(b *fleet.Backend, r Request) Reason {
	if b.Draining {
		return Draining{}
	}
	if e, evacuated := w.Evacuations[b.Zone]; evacuated {
		return Evacuated{Zone: b.Zone, For: w.Now.Sub(e.Since)}
	}
	if region := w.Zones.Region(b.Zone); !r.Regions.Has(region) {
		return OtherRegion{Region: region, Allowed: r.Regions.String()}
	}
	if r.Patient && w.AgeMost > 0 && w.Age > w.AgeMost {
		return BeliefsOld{Age: w.Age}
	}
	return nil
}

// holds judges the back end's weights.
func holds(b *fleet.Backend, r Request) Reason {
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

// Survey says how the back ends of a service stand to a request.
type Survey struct {
	Eligible int
	// Reasons counts the others by the label of the reason.
	Reasons map[string]int
	// Warm is the least time after which one that is cold no longer is, or may get one
	// more; 0 if none is cold.
	Warm time.Duration
}

// Survey counts how back ends stand to a request. It is pure.
func (w *World) Survey(backends []fleet.Backend, r Request) Survey {
	survey := Survey{Reasons: make(map[string]int)}
	for i := range backends {
		reason := w.Decide(&backends[i], r)
		if reason == nil {
			survey.Eligible++
			continue
		}
		survey.Reasons[reason.Label()]++
		if cold, is := reason.(Cold); is {
			survey.noteRoom(w.roomAfter(&backends[i], cold))
		}
	}
	return survey
}

// roomAfter returns after which time a cold back end may get a request.
func (w *World) roomAfter(b *fleet.Backend, cold Cold) time.Duration {
	if w.NextTurn == nil {
		return cold.Left
	}
	if next := w.NextTurn(b); next > 0 {
		return min(next, cold.Left)
	}
	return cold.Left
}

func (s *Survey) noteRoom(after time.Duration) {
	if s.Warm == 0 || after < s.Warm {
		s.Warm = after
	}
}

package presence

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// noteEcho records that a beat of the node's own came back. The lock is held.
func (r *Registry) noteEcho(now time.Time) {
	if now.Sub(r.echoed) > 2*r.beat(len(r.nodes)) {
		r.echoSince = now
	}
	r.echoed = now
}

// The time in which the view brings a beat of some node if the store takes them, in beats
// and beside the view's own pace: hearSpacing times the even spacing of all beats, which is
// hearMost where nodes are few and may beat at the same moments, and hearLeast where they
// are many.
const (
	hearSpacing = 10
	hearMost    = 1.25
	hearLeast   = 0.25
)

// noteHeard records that the view, which follows the rows at a pace, brought a beat. The
// lock is held.
func (r *Registry) noteHeard(now time.Time, pace time.Duration) {
	beats := min(max(hearSpacing/float64(len(r.nodes)), hearLeast), hearMost)
	due := time.Duration(beats*float64(r.beat(len(r.nodes)))) + pace
	if gap := now.Sub(r.heard); !r.heard.IsZero() && gap > due {
		r.stalled += gap - due
	}
	r.heard = now
}

// quiet returns how long a node has been silent as far as this node can tell by the
// status of its view. The lock is held.
func (r *Registry) quiet(held *seen, status rowstore.Status, now time.Time) time.Duration {
	if !status.Healthy || now.Sub(r.echoed) > 2*r.beat(len(r.nodes)) {
		return 0
	}
	since := held.at
	for _, moment := range []time.Time{status.HealthySince, r.echoSince} {
		if moment.After(since) {
			since = moment
		}
	}
	if !held.proven {
		return r.echoed.Sub(since)
	}
	return r.heard.Sub(since) - (r.stalled - held.stalled)
}

// Liveness is what a node believes of another's process.
type Liveness int

// The beliefs about a process.
const (
	Unknown Liveness = iota
	Alive
	Gone
)

// Liveness tells whether an incarnation of a node is alive. A row that is
// missing from a view that was read whole counts as gone once the view has been
// healthy for as long as a lapse takes.
func (r *Registry) Liveness(name string, incarnation int64, now time.Time) Liveness {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.Name {
		if incarnation == r.self.Incarnation {
			return Alive
		}
		return Gone
	}
	status := r.view.Status()
	if !status.Healthy {
		return Unknown
	}
	held := r.nodes[name]
	switch {
	case held == nil:
		if now.Sub(status.HealthySince) > r.lapse(len(r.nodes)) {
			return Gone
		}
		return Unknown
	case held.node.Incarnation > incarnation:
		return Gone
	case held.node.Incarnation < incarnation:
		return Unknown
	case r.isLapsed(held, status, now):
		return Gone
	}
	return Alive
}

// isLapsed tells whether a node is lapsed; it stays so until its row changes,
// also while the view does not follow the store. The lock is held.
func (r *Registry) isLapsed(held *seen, status rowstore.Status, now time.Time) bool {
	most := r.lapse(len(r.nodes))
	if !held.proven {
		most = time.Duration(unprovenBeats * float64(r.beat(len(r.nodes))))
	}
	if held.lapsed || r.quiet(held, status, now) <= most {
		return held.lapsed
	}
	held.lapsed, r.moved = true, true
	r.log.Warn(eventlog.NodeLapsed, eventlog.Fields{
		eventlog.Node: held.node.Name, "incarnation": held.node.Incarnation,
		"silent_ms": now.Sub(held.at).Milliseconds(),
	})
	return true
}

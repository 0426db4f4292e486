// Package coldstart bounds what a cold back end gets: one that has just started, or that
// turned cold again, is slow for some seconds and falls over if all nodes send to it as
// they do to a warm one.
//
// # Shares
//
// The bound holds for all nodes together, whether they reach the store or each other. So
// it is handed out beforehand: the nodes are ranked for each back end, the owners of its
// service's jobs first, and each of the first ones has a share of its own; all others
// leave the back end alone while it is cold. With fewer nodes than shares each has several.
// Nodes agree on the rank wherever they know the same nodes. Where they do not, for the
// time of a change of membership, two sets of senders may use their shares: so all shares
// together are half of the bound. A node that cannot be sure to be still counted by the
// others has no share.
//
// A share counts requests in the last second up to the moment of sending, so that a
// process that was frozen sends no more than its share when it wakes.
package coldstart

import (
	"math"
	"sync"
	"time"
)

// Unbounded is the share of a back end that nothing is bounded of.
const Unbounded = math.MaxInt

// Limits are what a cold back end of a service may get. The zero Limits bound nothing.
type Limits struct {
	// PerSecond is how many requests a second it bears, from the configuration; 0 sets
	// no bound.
	PerSecond float64
	// Overage and Slack make the bound of the deployment: PerSecond times Overage, and
	// Slack more, in any second.
	Overage, Slack float64
}

// Bound returns the most requests in any second, from all nodes.
func (l Limits) Bound() int { return int(l.PerSecond*l.Overage + l.Slack) }

// Bounds tells whether there is a bound.
func (l Limits) Bounds() bool { return l.PerSecond > 0 }

const (
	// setsMost is how many sets of senders may act at the same time: those of the
	// membership before a change, and of the one after it.
	setsMost = 2
	// ownersPart is the part of all shares, one in so many, that goes to the owners of
	// jobs: they start many requests at once, others few.
	ownersPart = 2
	// window is the time that a share is counted over: the bound's second, and what the
	// way to the back end may vary by.
	window = 1100 * time.Millisecond
)

// Share returns how many requests in a window the node at a place of the rank may send to
// a back end, where so many nodes are ranked and the first owners places are those of
// owners of jobs. The shares of all places are half of the bound together; of a bound of 1
// that is nothing, since two sets of senders would exceed it. It is pure.
func Share(l Limits, place, owners, nodes int) int {
	all := l.Bound() / setsMost
	if place < 0 || place >= nodes || all <= 0 {
		return 0
	}
	if owners == 0 || owners >= nodes {
		return portion(all, place, nodes)
	}
	forOwners := max(all/ownersPart, 1)
	if place < owners {
		return portion(forOwners, place, owners)
	}
	return portion(all-forOwners, place-owners, nodes-owners)
}

// portion returns what the one at a place gets of an amount that so many divide as evenly
// as whole numbers allow.
func portion(amount, place, count int) int {
	if place < amount%count {
		return amount/count + 1
	}
	return amount / count
}

// Turns counts what this node sends to cold back ends. It is safe for concurrent use.
type Turns struct {
	mu   sync.Mutex
	sent map[string][]time.Time
}

// NewTurns returns counts of nothing.
func NewTurns() *Turns { return &Turns{sent: make(map[string][]time.Time)} }

// Room returns how many requests of a share may still be sent to a back end now.
func (t *Turns) Room(backend string, share int, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if share == Unbounded {
		return Unbounded
	}
	return max(share-len(t.recent(backend, now)), 0)
}

// Take counts a request that is sent to a back end now, and tells whether the share
// allows it.
func (t *Turns) Take(backend string, share int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if share == Unbounded {
		return true
	}
	recent := t.recent(backend, now)
	if len(recent) >= share {
		return false
	}
	t.sent[backend] = append(recent, now)
	return true
}

// Next returns when a share that is used up allows one more request, the zero time if it
// never does.
func (t *Turns) Next(backend string, share int, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	recent := t.recent(backend, now)
	switch {
	case share == Unbounded:
		return now
	case share <= 0:
		return time.Time{}
	case len(recent) < share:
		return now
	}
	return recent[len(recent)-share].Add(window)
}

// recent returns what was sent in the last window. The lock is held.
func (t *Turns) recent(backend string, now time.Time) []time.Time {
	list := t.sent[backend]
	for len(list) > 0 && now.Sub(list[0]) >= window {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(t.sent, backend)
		return nil
	}
	t.sent[backend] = list
	return list
}

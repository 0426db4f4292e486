// Package coldstart limits the requests to cold backends. A backend that has just started or
// turned cold again is slow for some seconds, and may fail if all nodes send to it as much as
// they do to a warm one.
//
// # Shares
//
// The limit applies to all nodes together, even while they reach neither the store nor each
// other, so it is divided among them in advance. Nodes are ranked for each backend, with the
// owners of jobs of its service first. The first ones have a share each, and all others send
// nothing to the backend while it is cold. With fewer nodes than shares, each has several.
//
// Nodes with the same view of the membership agree on the ranks. While a membership change
// spreads, nodes with the old and with the new view may both use their shares, so all shares
// together are half of the limit. A node that may have been dropped by the others' views has no
// share.
//
// Requests are counted against a share at the moment of sending, over a sliding window, so that
// a process that resumes after a pause sends no more than its share.
package coldstart

import (
	"math"
	"sync"
	"time"
)

// Unbounded is the share for a backend without a limit.
const Unbounded = math.MaxInt

// Limits limit the requests to a cold backend of a service. The zero value sets no limit.
type Limits struct {
	// PerSecond is the configured rate in requests per second that a cold backend can handle;
	// 0 sets no limit.
	PerSecond float64
	// Overage and Slack widen the limit for the whole deployment: it allows PerSecond*Overage
	// + Slack requests in any second.
	Overage, Slack float64
}

// Bound returns the maximum number of requests in any second from all nodes together. It is
// meaningful only if Enabled reports true.
func (l Limits) Bound() int { return int(l.PerSecond*l.Overage + l.Slack) }

// Enabled reports whether there is a limit.
func (l Limits) Enabled() bool { return l.PerSecond > 0 }

const (
	// maxViews is how many views of the membership may be in use at the same time: the one
	// before a change and the one after it.
	maxViews = 2
	// ownersDivisor is the divisor of the shares that gives the part of the job owners, which
	// start many requests at once.
	ownersDivisor = 2
	// window is the length of the sliding window of a share: the limit's second plus an
	// allowance for varying delays on the way to the backend.
	window = 1100 * time.Millisecond
)

// Share returns how many requests per window the node with the given rank, from 0, may send to a
// backend. nodes is the number of ranked nodes, of which the first owners own jobs. The shares of
// all ranks add up to half of the limit, rounded down; for a limit of 1 that is 0, since two
// views of the membership would exceed it.
func Share(l Limits, rank, owners, nodes int) int {
	all := l.Bound() / maxViews
	if rank < 0 || rank >= nodes || all <= 0 {
		return 0
	}
	if owners == 0 || owners >= nodes {
		return portion(all, rank, nodes)
	}
	forOwners := max(all/ownersDivisor, 1)
	if rank < owners {
		return portion(forOwners, rank, owners)
	}
	return portion(all-forOwners, rank-owners, nodes-owners)
}

// portion returns the part at an index when amount is divided among count as evenly as integers
// allow.
func portion(amount, index, count int) int {
	if index < amount%count {
		return amount/count + 1
	}
	return amount / count
}

// Limiter counts the requests of this node to cold backends. It is safe for concurrent use.
type Limiter struct {
	mu   sync.Mutex
	sent map[string][]time.Time
}

// NewLimiter returns a Limiter without any requests counted.
func NewLimiter() *Limiter { return &Limiter{sent: make(map[string][]time.Time)} }

// Remaining returns how many more requests of a share may be sent to a backend now.
func (l *Limiter) Remaining(backend string, share int, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share == Unbounded {
		return Unbounded
	}
	return max(share-len(l.recent(backend, now)), 0)
}

// Allow counts a request to a backend at the moment of sending and reports whether the share
// allows it. A request that is not allowed is not counted.
func (l *Limiter) Allow(backend string, share int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share == Unbounded {
		return true
	}
	recent := l.recent(backend, now)
	if len(recent) >= share {
		return false
	}
	l.sent[backend] = append(recent, now)
	return true
}

// NextAllowed returns when the share allows the next request, the zero time if it never does.
func (l *Limiter) NextAllowed(backend string, share int, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent(backend, now)
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

// recent returns the send times within the last window. The lock must be held.
func (l *Limiter) recent(backend string, now time.Time) []time.Time {
	list := l.sent[backend]
	for len(list) > 0 && now.Sub(list[0]) >= window {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(l.sent, backend)
		return nil
	}
	l.sent[backend] = list
	return list
}

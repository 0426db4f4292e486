package backend

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// Failure says how a request to a back end ended, as far as the back end's
// health goes.
type Failure string

const (
	// FailureNone means that the back end did its part.
	FailureNone Failure = ""
	// FailureUnreachable means that no connection was had.
	FailureUnreachable Failure = "unreachable"
	// FailureBroken means that the answer broke off or was wrong.
	FailureBroken Failure = "broken"
	// FailureIgnored means that the end says nothing about the back end, for
	// example because the caller gave up or the engine was busy.
	FailureIgnored Failure = "ignored"
)

// Ticket stands for one request in flight to a back end.
type Ticket struct {
	set *Set
	t   *tracked
}

// Acquire counts a request to the named back end of the pool. It returns false
// if the back end takes no new work or is at its limit, which may have come
// about since the snapshot that led to the choice.
func (s *Set) Acquire(poolName, name string) (Ticket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[poolName]
	if !ok {
		return Ticket{}, false
	}
	t, ok := s.backends[name]
	if !ok || s.drainReason(t) != "" {
		return Ticket{}, false
	}
	if limit := p.configured.MaxInFlight; limit > 0 && t.inFlight >= limit {
		return Ticket{}, false
	}
	t.inFlight++
	return Ticket{set: s, t: t}, true
}

// Release ends the request. load is the report that the answer carried and may
// be nil.
func (k Ticket) Release(failure Failure, load *api.LoadReport) {
	now := time.Now()
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	k.t.inFlight--
	if load != nil {
		k.t.take(*load, now)
	}
	switch failure {
	case FailureNone:
		k.t.requests.succeeded()
	case FailureUnreachable:
		k.t.requests.failed(k.set.cfg.Health, true, now)
	case FailureBroken:
		k.t.requests.failed(k.set.cfg.Health, false, now)
	}
}

// Suspect tells whether the back end is suspect now.
func (k Ticket) Suspect() bool {
	now := time.Now()
	k.set.mu.Lock()
	defer k.set.mu.Unlock()
	return k.set.suspect(k.t, now)
}

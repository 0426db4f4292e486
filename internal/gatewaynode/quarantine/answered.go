package quarantine

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
)

const (
	// maxAnswered bounds the successful works that a node remembers, to about 150 kB. At
	// 300 requests per second it covers seven seconds.
	maxAnswered = 2048
	// answeredKeep is how long a success overrules evidence against a work. It is short
	// because a work that was harmless before a release may be deadly after it.
	answeredKeep = 10 * time.Second
)

// success holds when a work last succeeded.
type success struct {
	// any is the time of the last success, live that of the last one of a live request, zero if
	// there is none.
	any, live time.Time
}

// answered holds the works that succeeded last.
type answered struct {
	at map[fingerprint.Fingerprint]success
	// ring holds the keys of at in the order of their insertion, the oldest at next once
	// it is full.
	ring []fingerprint.Fingerprint
	next int
}

func newAnswered() *answered {
	return &answered{at: make(map[fingerprint.Fingerprint]success)}
}

// add records a success; durable means that it is one of a request of a job.
func (a *answered) add(work fingerprint.Fingerprint, durable bool, now time.Time) {
	last, known := a.at[work]
	last.any = now
	if !durable {
		last.live = now
	}
	a.at[work] = last
	if known {
		return
	}
	if len(a.ring) < maxAnswered {
		a.ring = append(a.ring, work)
		return
	}
	delete(a.at, a.ring[a.next])
	a.ring[a.next] = work
	a.next = (a.next + 1) % maxAnswered
}

// overrules reports whether a success of its work within answeredKeep before now speaks against
// a failure. Only that of a live request speaks against the failure of a live request.
func (a *answered) overrules(failure Failure, now time.Time) bool {
	last := a.at[failure.Work]
	at := last.live
	if failure.Durable {
		at = last.any
	}
	return !at.IsZero() && now.Sub(at) < answeredKeep
}

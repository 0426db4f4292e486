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

// answered holds the works that succeeded last.
type answered struct {
	at map[fingerprint.Fingerprint]time.Time
	// ring holds the keys of at in the order of their insertion, the oldest at next once
	// it is full.
	ring []fingerprint.Fingerprint
	next int
}

func newAnswered() *answered {
	return &answered{at: make(map[fingerprint.Fingerprint]time.Time)}
}

// add records a success.
func (a *answered) add(work fingerprint.Fingerprint, now time.Time) {
	_, known := a.at[work]
	a.at[work] = now
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

// lately reports whether a work succeeded within answeredKeep before now.
func (a *answered) lately(work fingerprint.Fingerprint, now time.Time) bool {
	at, known := a.at[work]
	return known && now.Sub(at) < answeredKeep
}

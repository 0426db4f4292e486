package quarantine

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
)

const (
	// answeredMost is how many works a node remembers that were answered with success: at
	// 300 requests in a second, as many as the last seven seconds brought. It takes 150 kB.
	answeredMost = 2048
	// answeredKeep is for how long a success speaks for a work. After a release, back ends
	// may end under what others still run.
	answeredKeep = 10 * time.Second
)

// answered remembers the works that were answered with success last.
type answered struct {
	at   map[fingerprint.Fingerprint]time.Time
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
	if len(a.ring) < answeredMost {
		a.ring = append(a.ring, work)
		return
	}
	delete(a.at, a.ring[a.next])
	a.ring[a.next] = work
	a.next = (a.next + 1) % answeredMost
}

// lately tells whether a work was answered with success a short time before now.
func (a *answered) lately(work fingerprint.Fingerprint, now time.Time) bool {
	at, known := a.at[work]
	return known && now.Sub(at) < answeredKeep
}

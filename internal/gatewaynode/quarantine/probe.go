package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	// probeLimit is the timeout of a probe. A connection takes 12 ms at most on a sound link.
	probeLimit = 300 * time.Millisecond
	// probeAgain is the delay before a second probe of an address that accepted the first
	// one, since an exiting process may close its listener after its connections.
	probeAgain = 100 * time.Millisecond
	// probesMost bounds the concurrent probes of a node. When many connections are reset at
	// once, hundreds of nodes would otherwise probe hundreds of back ends. Back ends that are
	// not probed are left to the registry.
	probesMost = 16
	// silentProbeRest is the minimum time between two probes of a back end whose connections
	// are silent but not lost, as each probe opens a connection.
	silentProbeRest = time.Second
)

// standing is the result of a probe.
type standing int

const (
	// standingThere means that the address accepted a connection.
	standingThere standing = iota
	// standingEnded means that the address refused a connection.
	standingEnded
	// standingSilent means that the probe timed out or failed otherwise.
	standingSilent
)

// probe starts a probe of a back end unless one is in progress or there are too many. The
// caller holds b.mu.
func (b *Tracker) probe(held *backend) {
	if held.probing || b.probes >= probesMost {
		return
	}
	held.probing = true
	b.probes++
	go func() {
		began := time.Now()
		found := b.try(held.address)
		if found == standingThere {
			time.Sleep(probeAgain)
			began = time.Now()
			found = b.try(held.address)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		held.probing, held.probed = false, time.Now()
		b.probes--
		b.found(held, found, began, held.probed)
	}()
}

// try opens a connection to an address and closes it.
func (b *Tracker) try(address string) standing {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	conn, err := b.config.Dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return standingThere
	case errors.Is(err, syscall.ECONNREFUSED):
		return standingEnded
	default:
		return standingSilent
	}
}

// found handles the result of a probe that started at began. If the back end is there, the
// calls lost before the probe are dropped, and ones lost since cause another probe. The
// caller holds b.mu.
func (b *Tracker) found(held *backend, as standing, began, now time.Time) {
	switch as {
	case standingEnded:
		b.endedUnder(held, FailureRefused, now)
	case standingSilent:
		b.presume(held, now)
	case standingThere:
		later := false
		for r := range held.runs {
			if r.lost && r.ended.Before(began) {
				b.drop(r)
			}
			later = later || r.lost && r.followed()
		}
		if later {
			b.probe(held)
			return
		}
	}
	if len(held.runs) == 0 {
		delete(b.backends, held.id)
	}
}

// presume records a provisional failure of a back end that does not respond, for its calls
// that were lost or were given up without a recent response. The caller holds b.mu.
func (b *Tracker) presume(held *backend, now time.Time) {
	if held.leaving {
		return
	}
	for r := range held.runs {
		if r.lost || !r.ended.IsZero() && r.silent(now) {
			b.record(Failure{Work: r.work, Backend: held.id, Service: held.service, Kind: FailureUnresponsive, Node: b.config.Node}, now)
		}
	}
}

// endedUnder records the failure of a back end for the calls that may have been running
// there, unless it was draining, and follows its calls no longer. The caller holds b.mu.
func (b *Tracker) endedUnder(held *backend, how FailureKind, now time.Time) {
	works, count := make(map[string]bool), 0
	// The registry may report the draining only after the last call was sent.
	held.leaving = held.leaving || b.config.Backend(held.id).Leaving
	for r := range held.runs {
		if r.suspected(now) && (how == FailureRefused || r.silent(now)) {
			count++
			if !held.leaving {
				works[r.work.String()] = true
				b.record(Failure{Work: r.work, Backend: held.id, Service: held.service, Kind: how, Node: b.config.Node}, now)
			}
		}
		b.drop(r)
	}
	b.sayEnded(held, how, count, works)
}

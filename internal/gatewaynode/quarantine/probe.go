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
	// maxProbes bounds the concurrent probes of a node. When many connections are reset at
	// once, hundreds of nodes would otherwise probe hundreds of backends. Backends that are
	// not probed are left to the registry.
	maxProbes = 16
	// silentProbeRest is the minimum time between two probes of a backend whose connections
	// are silent but not lost, as each probe opens a connection.
	silentProbeRest = time.Second
)

// probeResult is the result of a probe.
type probeResult int

const (
	// probeAccepted means that the address accepted a connection.
	probeAccepted probeResult = iota
	// probeRefused means that the address refused a connection.
	probeRefused
	// probeUnresponsive means that the probe timed out or failed otherwise.
	probeUnresponsive
)

// probe starts a probe of a backend unless one is in progress or there are too many. The
// caller holds t.mu.
func (t *Tracker) probe(held *backend) {
	if held.probing || t.probes >= maxProbes {
		return
	}
	held.probing = true
	t.probes++
	go func() {
		began := time.Now()
		found := t.try(held.address)
		if found == probeAccepted {
			time.Sleep(probeAgain)
			began = time.Now()
			found = t.try(held.address)
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		held.probing, held.probed = false, time.Now()
		t.probes--
		t.found(held, found, began, held.probed)
	}()
}

// try opens a connection to an address and closes it.
func (t *Tracker) try(address string) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	conn, err := t.config.Dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return probeAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	default:
		return probeUnresponsive
	}
}

// found handles the result of a probe that started at began. If the backend is there, the
// calls lost before the probe are dropped, and ones lost since cause another probe. The
// caller holds t.mu.
func (t *Tracker) found(held *backend, as probeResult, began, now time.Time) {
	switch as {
	case probeRefused:
		t.endedUnder(held, FailureRefused, now)
	case probeUnresponsive:
		t.recordUnresponsive(held, now)
	case probeAccepted:
		later := false
		for r := range held.runs {
			if r.lost && r.ended.Before(began) {
				t.drop(r)
			}
			later = later || r.lost && r.followed()
		}
		if later {
			t.probe(held)
			return
		}
	}
	if len(held.runs) == 0 {
		delete(t.backends, held.id)
	}
}

// recordUnresponsive records a provisional failure of a backend that does not respond, for
// its calls that were lost or were cancelled without a recent response. The caller holds t.mu.
func (t *Tracker) recordUnresponsive(held *backend, now time.Time) {
	if held.leaving {
		return
	}
	for r := range held.runs {
		if r.lost || !r.ended.IsZero() && r.silent(now) {
			t.record(t.failureOf(r, held, FailureUnresponsive), now)
		}
	}
}

// failureOf returns the failure of a backend for one of its calls.
func (t *Tracker) failureOf(r *run, held *backend, how FailureKind) Failure {
	return Failure{Work: r.work, Backend: held.id, Service: held.service, Kind: how, Node: t.config.Node, Durable: r.durable}
}

// endedUnder records the failure of a backend for the calls that may have been running
// there, unless it was draining, and follows its calls no longer. The caller holds t.mu.
func (t *Tracker) endedUnder(held *backend, how FailureKind, now time.Time) {
	works, count := make(map[string]bool), 0
	// The registry may report the draining only after the last call was sent.
	held.leaving = held.leaving || t.config.Backend(held.id).Leaving
	for r := range held.runs {
		if r.suspected(now) && (how == FailureRefused || r.silent(now)) {
			count++
			if !held.leaving {
				works[r.work.String()] = true
				t.record(t.failureOf(r, held, how), now)
			}
		}
		t.drop(r)
	}
	t.sayEnded(held, how, count, works)
}

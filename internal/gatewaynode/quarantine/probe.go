package quarantine

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	// probeLimit bounds a new connection by which it is found out whether a back end is
	// there: links take 12 ms at most.
	probeLimit = 300 * time.Millisecond
	// probeAgain is after what time an address is tried once more that took a connection:
	// a process that ends closes its sockets one after the other.
	probeAgain = 100 * time.Millisecond
	// probesMost bounds the probes of a node at a time: resets of all connections are no
	// ends, and hundreds of nodes would probe hundreds of back ends. What is not probed is
	// left to the registry.
	probesMost = 16
	// silentProbeRest is the least time between two probes of a back end that only was
	// silent: each is a connection.
	silentProbeRest = time.Second
)

// standing is how a back end was found.
type standing int

const (
	standingThere standing = iota
	standingEnded
	standingSilent
)

// probe finds out whether a back end has ended that a call was lost at. The lock is held.
func (b *Book) probe(held *backend) {
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

// try makes a connection to an address and closes it.
func (b *Book) try(address string) standing {
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

// found takes how a back end was found by a probe that began at a time. The lock is held.
func (b *Book) found(held *backend, as standing, began, now time.Time) {
	switch as {
	case standingEnded:
		b.endedUnder(held, HowRefused, now)
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

// presume takes a back end that gives no answer to have ended under the calls that were
// lost or are silent, until the registry tells. The lock is held.
func (b *Book) presume(held *backend, now time.Time) {
	if held.leaving {
		return
	}
	for r := range held.runs {
		if r.lost || !r.ended.IsZero() && r.silent(now) {
			b.record(End{Work: r.work, Backend: held.id, Service: held.service, How: HowSilent, Node: b.config.Node}, now)
		}
	}
}

// endedUnder takes a back end to have ended under the calls that may have been at work
// there. The lock is held.
func (b *Book) endedUnder(held *backend, how How, now time.Time) {
	works, count := make(map[string]bool), 0
	// A call may have gone there before this node knew that it was leaving.
	held.leaving = held.leaving || b.config.Backend(held.id).Leaving
	for r := range held.runs {
		if r.suspected(now) && (how == HowRefused || r.silent(now)) {
			count++
			if !held.leaving {
				works[r.work.String()] = true
				b.record(End{Work: r.work, Backend: held.id, Service: held.service, How: how, Node: b.config.Node}, now)
			}
		}
		b.drop(r)
	}
	b.sayEnded(held, how, count, works)
}

package quarantine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
)

const (
	// QuarantineThreshold is the number of backend failures that quarantines a work. With fewer, a
	// harmless request that ran beside a deadly one in two attempts would be quarantined.
	QuarantineThreshold = 3
	// FailureTTL is how long after the last change to a work its oldest failure is forgotten.
	FailureTTL = 10 * time.Minute
	// keepSpread is the random addition to FailureTTL on each node, so that usually one node
	// deletes the row and the others see it deleted.
	keepSpread = FailureTTL / 10
	// silentKeep is how long an unconfirmed FailureUnresponsive counts. It exceeds the 3.5 s
	// within which the registry drops a backend that stopped reporting.
	silentKeep = 5 * time.Second
)

// FailureKind is how the failure of a backend was detected.
type FailureKind string

const (
	// FailureRefused means that the address refused a new connection.
	FailureRefused FailureKind = "refused"
	// FailureUnregistered means that the registry no longer lists the backend.
	FailureUnregistered FailureKind = "gone"
	// FailureUnresponsive means that a new connection failed otherwise, usually by a timeout. It is
	// provisional and is never stored.
	FailureUnresponsive FailureKind = "silent"
)

// Failure is the failure of a backend while it was running a work.
type Failure struct {
	Work    fingerprint.Fingerprint
	Backend string
	// Sequence numbers the failures of one backend from 0, since a backend may restart under
	// the same name.
	Sequence int
	Service  string
	Kind     FailureKind
	// Node is the name of the node that detected the failure.
	Node string
	// Durable reports whether the backend ran the work for a job, not for a live request.
	Durable bool
}

// endID identifies a Failure among those of its work.
type endID string

func (e Failure) id() endID { return endID(e.Backend + "/" + strconv.Itoa(e.Sequence)) }

// known is a Failure with this node's state of it.
type known struct {
	Failure
	// at is when this node learned of the failure.
	at time.Time
	// stored reports whether the row is in the store.
	stored bool
}

// counts reports whether the failure counts as evidence at time now: an unresponsive one expires.
func (k known) counts(now time.Time) bool {
	return k.Kind != FailureUnresponsive || now.Sub(k.at) < silentKeep
}

// suspect is a work with at least one failure.
type suspect struct {
	work     fingerprint.Fingerprint
	failures map[endID]known
	// changed is when a failure was last added or removed. At forget the oldest failure expires,
	// unless there is another change before.
	changed, forget time.Time
	// held reports whether the work is quarantined; heldSince is when that last
	// changed on this node.
	held      bool
	heldSince time.Time
	// lost is when this node last lost the connection of a request of a job. The failure of the
	// backend is known only later, after the next run would have begun.
	lost time.Time
	// trial is the state of the work's trial; it is not requested before askAgain.
	trial    trial
	askAgain time.Time
}

// touch records that a failure was added or removed, and restarts the expiry.
func (s *suspect) touch(now time.Time) {
	s.changed, s.forget = now, now.Add(FailureTTL+rand.N(keepSpread))
}

// count returns the number of failures that count as evidence at time now.
func (s *suspect) count(now time.Time) int {
	count := 0
	for _, k := range s.failures {
		if k.counts(now) {
			count++
		}
	}
	return count
}

// durable returns the number of failures under requests of jobs that count as evidence at time
// now, and when this node learned of the last of them or last lost such a request.
func (s *suspect) durable(now time.Time) (count int, last time.Time) {
	last = s.lost
	for _, k := range s.failures {
		if !k.Durable || !k.counts(now) {
			continue
		}
		count++
		if k.at.After(last) {
			last = k.at
		}
	}
	return count, last
}

// oldest returns the failure that expires first. It orders by id rather than by time, since
// nodes learn of failures in different orders and must all choose the same one.
func (s *suspect) oldest() known {
	return s.failures[slices.Min(slices.Collect(maps.Keys(s.failures)))]
}

const (
	// restartsAfter is the minimum time between two failures of one backend. A refused
	// connection sooner after a failure belongs to the same failure.
	restartsAfter = time.Second
	// lapsesWithin is how long after a failure the registry may still report it.
	lapsesWithin = 5 * time.Second
)

// sequenceOf returns the number of the failure of a backend that is detected now: that of a
// known failure if this is another sign of it, otherwise the next one.
func (s *suspect) sequenceOf(backend string, how FailureKind, now time.Time) int {
	same := restartsAfter
	if how != FailureRefused {
		same = lapsesWithin
	}
	sequence := 0
	for _, k := range s.failures {
		if k.Backend != backend {
			continue
		}
		if now.Sub(k.at) < same || k.Kind == FailureUnresponsive {
			return k.Sequence
		}
		sequence = max(sequence, k.Sequence+1)
	}
	return sequence
}

// Suspect describes a suspected work to operators.
type Suspect struct {
	Work     fingerprint.Fingerprint
	Failures []Failure
	// Held reports whether the work is quarantined.
	Held bool
	// Changed is the time since the last change.
	Changed time.Duration
}

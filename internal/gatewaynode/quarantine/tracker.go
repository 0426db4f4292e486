package quarantine

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Config configures a Tracker.
type Config struct {
	// Node is the name of this node.
	Node string
	Log  *eventlog.Log
	// Dial opens the connections that probe backends.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Backend returns the registry's entry for a backend.
	Backend func(id string) Registered
	// Store holds the rows of Table.
	Store rowstore.Store
	// OnHeld, if not nil, is called in a new goroutine after the set of quarantined works or
	// their number of failures changed.
	OnHeld func()
}

// Registered is the registry's entry for a backend; Present is false if there is none.
type Registered struct {
	Present, Leaving bool
	Service          string
}

// maxSuspects bounds the suspected works that a node remembers, to about 2 MB.
const maxSuspects = 4096

// Tracker attributes failures of backends to the works that they were running and decides
// which works are quarantined. It is safe for concurrent use.
type Tracker struct {
	config Config
	// key is the fingerprint key, nil until it has been read from the store or written to it.
	key atomic.Pointer[fingerprint.Key]

	mu       sync.Mutex
	backends map[string]*backend
	// runs is the number of runs in backends; unfollowed counts the calls that were not
	// followed since there were too many.
	runs, unfollowed int
	// probes is the number of probes in progress.
	probes   int
	suspects map[fingerprint.Fingerprint]*suspect
	answered *answered
	outbox   outbox
	// failedWrites is the number of consecutive failed writes. Only Run uses it.
	failedWrites int
	// telling reports whether a Writer.Tell is in progress.
	telling atomic.Bool
	// held maps quarantined works to their number of failures. It is copied on write, so that
	// Held needs no lock.
	held atomic.Pointer[map[fingerprint.Fingerprint]int]
	// backoffs maps works to their backoff. It is copied on write like held.
	backoffs atomic.Pointer[map[fingerprint.Fingerprint]Backoff]
}

// New returns an empty Tracker.
func New(config Config) *Tracker {
	t := &Tracker{
		config: config, backends: make(map[string]*backend), suspects: make(map[fingerprint.Fingerprint]*suspect),
		answered: newAnswered(), outbox: newOutbox(),
	}
	t.held.Store(&map[fingerprint.Fingerprint]int{})
	t.backoffs.Store(&map[fingerprint.Fingerprint]Backoff{})
	return t
}

// Held returns the number of backends that failed while running a quarantined work, or 0 if
// the work is not quarantined.
func (t *Tracker) Held(work fingerprint.Fingerprint) int { return (*t.held.Load())[work] }

// HeldCount returns the number of quarantined works and of all suspected works, the
// quarantined ones included.
func (t *Tracker) HeldCount() (held, suspected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(*t.held.Load()), len(t.suspects)
}

// record adds a failure that this node detected, unless a recent success speaks against it.
// The caller holds t.mu.
func (t *Tracker) record(failure Failure, now time.Time) {
	if t.answered.overrules(failure, now) {
		t.config.Log.Info(eventlog.SuspicionDropped, eventlog.Fields{
			eventlog.Work: failure.Work.String(), eventlog.Backend: failure.Backend, "how": string(failure.Kind), eventlog.Cause: causeAnswered,
		})
		return
	}
	if s := t.suspects[failure.Work]; s != nil {
		failure.Sequence = s.sequenceOf(failure.Backend, failure.Kind, now)
	}
	if !t.add(known{Failure: failure, at: now}) {
		return
	}
	t.publish(t.suspects[failure.Work])
}

// publish queues the failures of a work for writing. A single FailureUnregistered stays
// local: while the store is unavailable, all registry entries expire together and every
// unanswered call would become evidence. The caller holds t.mu.
func (t *Tracker) publish(s *suspect) {
	for _, k := range s.failures {
		alone := len(s.failures) == 1
		if k.stored || k.Kind == FailureUnresponsive || k.Kind == FailureUnregistered && alone {
			continue
		}
		t.outbox.put(k.Failure, !alone)
	}
}

// learn adds a failure that comes from another node or from the store. If this node recently
// received a success for the work, it deletes the row instead. The caller holds t.mu.
func (t *Tracker) learn(k known) {
	if t.answered.overrules(k.Failure, k.at) {
		t.config.Log.Info(eventlog.SuspicionDropped, eventlog.Fields{
			eventlog.Work: k.Work.String(), eventlog.Backend: k.Backend, "seen_by": k.Node, eventlog.Cause: causeAnswered,
		})
		t.outbox.remove(keyOf(k.Failure))
		return
	}
	t.add(k)
}

// causeAnswered is the logged cause when a recent success overrules a failure.
const causeAnswered = "answered with success recently"

// add adds a failure and reports whether it is new, confirms an unresponsive one, or was so far
// known under requests of jobs only. The caller holds t.mu.
func (t *Tracker) add(k known) bool {
	s := t.suspects[k.Work]
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			t.evict()
		}
		s = &suspect{work: k.Work, failures: make(map[endID]known)}
		t.suspects[k.Work] = s
	}
	before, had := s.failures[k.id()]
	if had && (before.Kind != FailureUnresponsive || k.Kind == FailureUnresponsive) {
		live := before.Durable && !k.Durable
		if live {
			// Its row would hide that the backend failed under a live request as well.
			delete(t.outbox.puts, keyOf(before.Failure))
			before.Durable, before.stored = false, false
		}
		before.stored = before.stored || k.stored
		s.failures[k.id()] = before
		return live
	}
	s.failures[k.id()] = k
	s.touch(k.at)
	t.saySuspected(s, k)
	t.judge(s, k.at)
	return true
}

// saySuspected logs a failure of a work from the second on. The first failures are covered by the
// event for the backend, since its failure makes all of its unanswered requests suspects.
// The caller holds t.mu.
func (t *Tracker) saySuspected(s *suspect, k known) {
	count := s.count(k.at)
	if count < 2 {
		return
	}
	t.config.Log.Warn(eventlog.RequestSuspected, eventlog.Fields{
		eventlog.Work: k.Work.String(), eventlog.Backend: k.Backend, eventlog.Service: k.Service, "how": string(k.Kind),
		"seen_by": k.Node, "ends": count, "durable": k.Durable,
	})
}

// evict forgets the work with the fewest failures, and among equals the one that has not changed
// for longest. The caller holds t.mu.
func (t *Tracker) evict() {
	var least *suspect
	for _, s := range t.suspects {
		if least == nil || len(s.failures) < len(least.failures) || len(s.failures) == len(least.failures) && s.changed.Before(least.changed) {
			least = s
		}
	}
	t.config.Log.Warn(eventlog.SuspicionDropped, eventlog.Fields{
		eventlog.Work: least.work.String(), "ends": len(least.failures), eventlog.Cause: "too many suspected works",
	})
	t.forget(least, true)
}

// judge quarantines or releases a work by its number of failures, and sets its backoff. The caller
// holds t.mu.
func (t *Tracker) judge(s *suspect, now time.Time) {
	t.setBackoff(s.work, backoffOf(s.durable(now)))
	count := s.count(now)
	held := count >= QuarantineThreshold
	if held == s.held {
		if held && (*t.held.Load())[s.work] != count {
			t.setHeld(s.work, count)
		}
		return
	}
	s.held, s.heldSince = held, now
	durable, _ := s.durable(now)
	fields := eventlog.Fields{
		eventlog.Work: s.work.String(), "ends": count, "durable": durable, "backends": slices.Sorted(maps.Keys(s.failures)),
	}
	if !held {
		t.setHeld(s.work, 0)
		t.config.Log.Warn(eventlog.QuarantineEnded, fields)
		return
	}
	t.setHeld(s.work, count)
	fields["cut"] = t.cutRuns(s.work)
	t.config.Log.Warn(eventlog.Quarantined, fields)
}

// setHeld sets the number of failures of a quarantined work, or removes the work from the
// quarantine if count is 0. The caller holds t.mu.
func (t *Tracker) setHeld(work fingerprint.Fingerprint, count int) {
	next := maps.Clone(*t.held.Load())
	if count == 0 {
		delete(next, work)
	} else {
		next[work] = count
	}
	t.held.Store(&next)
	if t.config.OnHeld != nil {
		go t.config.OnHeld()
	}
}

// cutRuns cancels the live calls of a work that are in progress, as they may still be queued at
// their backends. It returns their number. The caller holds t.mu.
func (t *Tracker) cutRuns(work fingerprint.Fingerprint) int {
	count := 0
	for _, held := range t.backends {
		for r := range held.runs {
			if r.work == work && !r.durable && r.ended.IsZero() {
				count++
				go r.cut()
			}
		}
	}
	return count
}

// succeeded clears a work after a complete 2xx response. The success of a request of a job
// clears the failures under requests of jobs only. The caller holds t.mu.
func (t *Tracker) succeeded(r *run, now time.Time) {
	work := r.work
	t.answered.add(work, r.durable, now)
	s := t.suspects[work]
	if s == nil {
		return
	}
	var cleared []known
	for _, k := range s.failures {
		if k.Durable || !r.durable {
			cleared = append(cleared, k)
		}
	}
	if len(cleared) == 0 {
		return
	}
	t.config.Log.Warn(eventlog.RequestCleared, eventlog.Fields{
		eventlog.Work: work.String(), eventlog.Request: r.request, eventlog.Backend: r.at, "ends": len(cleared),
		"left": len(s.failures) - len(cleared), eventlog.Cause: "answered with success",
	})
	if len(cleared) == len(s.failures) {
		t.forget(s, true)
		return
	}
	t.clear(s, cleared, now)
}

// clear removes some of the failures of a work on all nodes, and ends its trial if that ends its
// quarantine. The caller holds t.mu.
func (t *Tracker) clear(s *suspect, cleared []known, now time.Time) {
	for _, k := range cleared {
		t.outbox.remove(keyOf(k.Failure))
		t.withdraw(s, k.id(), now)
	}
	if !s.held {
		t.endTrial(s)
	}
}

// Clear removes all failures of a work on all nodes at an operator's request and
// reports whether it was suspected.
func (t *Tracker) Clear(work fingerprint.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[work]
	if s == nil {
		return false
	}
	t.config.Log.Warn(eventlog.RequestCleared, eventlog.Fields{
		eventlog.Work: work.String(), "ends": len(s.failures), eventlog.Cause: "lifted by an operator",
	})
	t.forget(s, true)
	return true
}

// forget removes a work from this node and, if everywhere is set, its rows from the store.
// The caller holds t.mu.
func (t *Tracker) forget(s *suspect, everywhere bool) {
	if everywhere {
		for _, k := range s.failures {
			t.outbox.remove(keyOf(k.Failure))
		}
		t.endTrial(s)
	}
	delete(t.suspects, s.work)
	t.setBackoff(s.work, Backoff{})
	if s.held {
		t.setHeld(s.work, 0)
	}
}

// withdraw removes a failure from this node. The caller holds t.mu.
func (t *Tracker) withdraw(s *suspect, id endID, now time.Time) {
	delete(s.failures, id)
	s.touch(now)
	if len(s.failures) == 0 {
		t.forget(s, false)
		return
	}
	t.judge(s, now)
}

// Suspects returns all suspected works, those with the most failures first.
func (t *Tracker) Suspects() []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Suspect, 0, len(t.suspects))
	now := time.Now()
	for _, s := range t.suspects {
		told := Suspect{Work: s.work, Held: s.held, Changed: now.Sub(s.changed)}
		for _, id := range slices.Sorted(maps.Keys(s.failures)) {
			told.Failures = append(told.Failures, s.failures[id].Failure)
		}
		list = append(list, told)
	}
	slices.SortFunc(list, func(x, y Suspect) int {
		return cmp.Or(cmp.Compare(len(y.Failures), len(x.Failures)), bytes.Compare(x.Work[:], y.Work[:]))
	})
	return list
}

// RegistryChanged compares the followed backends with the registry and must be called after
// each change of it. Calls to a backend without an entry count as evidence, and a
// FailureUnregistered of this node is withdrawn if the entry is back.
func (t *Tracker) RegistryChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, held := range t.backends {
		entry := t.config.Backend(held.id)
		if entry.Present {
			held.leaving, held.service = held.leaving || entry.Leaving, entry.Service
			continue
		}
		t.endedUnder(held, FailureUnregistered, now)
	}
	for _, s := range t.suspects {
		for id, k := range s.failures {
			if k.Kind == FailureUnregistered && k.Node == t.config.Node && t.config.Backend(k.Backend).Present {
				t.config.Log.Info(eventlog.SuspicionDropped, eventlog.Fields{
					eventlog.Work: s.work.String(), eventlog.Backend: k.Backend, eventlog.Cause: "registry lists the back end again",
				})
				t.outbox.remove(keyOf(k.Failure))
				t.withdraw(s, id, now)
			}
		}
	}
}

// age removes expired runs and failures.
func (t *Tracker) age(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, s := range t.suspects {
		t.dropPresumed(s, now)
		if t.suspects[s.work] == nil {
			continue
		}
		if now.Before(s.forget) {
			continue
		}
		old := s.oldest()
		t.config.Log.Info(eventlog.SuspicionDropped, eventlog.Fields{
			eventlog.Work: s.work.String(), eventlog.Backend: old.Backend, "age_ms": now.Sub(s.changed).Milliseconds(), eventlog.Cause: "expired",
		})
		t.outbox.remove(keyOf(old.Failure))
		t.endTrial(s)
		t.withdraw(s, old.id(), now)
	}
}

// dropPresumed withdraws the unresponsive failures that expired without a confirmation. The
// caller holds t.mu.
func (t *Tracker) dropPresumed(s *suspect, now time.Time) {
	for id, k := range s.failures {
		if !k.counts(now) {
			t.withdraw(s, id, now)
		}
	}
}

// Dropped returns the number of calls that were not followed and of row changes that were
// not queued since a bound was reached.
func (t *Tracker) Dropped() (calls, rows int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unfollowed, t.outbox.dropped
}

// sayEnded logs the failure of a backend that had unanswered calls. The caller holds t.mu.
func (t *Tracker) sayEnded(held *backend, how FailureKind, count int, works map[string]bool) {
	if count == 0 {
		return
	}
	list := slices.Sorted(maps.Keys(works))
	t.config.Log.Warn(eventlog.BackendEnded, eventlog.Fields{
		eventlog.Backend: held.id, eventlog.Service: held.service, "how": string(how), "unanswered": count,
		"works": list[:min(len(list), worksSaid)], "leaving": held.leaving,
	})
}

// worksSaid bounds the works listed in one log event.
const worksSaid = 16

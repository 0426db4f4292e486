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

// Config configures a Book.
type Config struct {
	// Node is the name of this node.
	Node string
	Log  *eventlog.Log
	// Dial makes a connection to a back end.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Backend returns what the registry says of a back end.
	Backend func(id string) Registered
	// Store takes the evidence.
	Store rowstore.Store
	// OnHeld is called when a work was quarantined or cleared; it may be nil.
	OnHeld func()
}

// Registered is what the registry says of a back end.
type Registered struct {
	Present, Leaving bool
	Service          string
}

// suspectsMost bounds the works that a node remembers: some 2 MB.
const suspectsMost = 4096

// Book is what a node knows of requests that end their back ends. It is safe for
// concurrent use.
type Book struct {
	config Config
	// key is what fingerprints are made with, nil until the store has told.
	key atomic.Pointer[fingerprint.Key]

	mu       sync.Mutex
	backends map[string]*backend
	// runs counts the runs of all backends; unfollowed, the calls that were not followed.
	runs, unfollowed int
	// probes counts the probes under way.
	probes   int
	suspects map[fingerprint.Fingerprint]*suspect
	answered *answered
	outbox   outbox
	// failures counts the writes that failed in a row, for Run alone; telling tells that
	// other nodes are being told.
	failures int
	telling  atomic.Bool
	// held is what Held reads; it is replaced, never changed.
	held atomic.Pointer[map[fingerprint.Fingerprint]int]
}

// New returns a book that knows nothing.
func New(config Config) *Book {
	b := &Book{
		config: config, backends: make(map[string]*backend), suspects: make(map[fingerprint.Fingerprint]*suspect),
		answered: newAnswered(), outbox: newOutbox(),
	}
	b.held.Store(&map[fingerprint.Fingerprint]int{})
	return b
}

// Held returns how many back ends ended under a work that is quarantined, 0 if it is not.
func (b *Book) Held(work fingerprint.Fingerprint) int { return (*b.held.Load())[work] }

// HeldCount returns how many works are quarantined, and how many are suspected.
func (b *Book) HeldCount() (held, suspected int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(*b.held.Load()), len(b.suspects)
}

// record takes an end that this node saw. The lock is held.
func (b *Book) record(end End, now time.Time) {
	if b.answered.lately(end.Work, now) {
		b.config.Log.Info(eventlog.SuspicionDropped, eventlog.Fields{
			eventlog.Work: end.Work.String(), eventlog.Backend: end.Backend, "how": string(end.How), eventlog.Cause: causeAnswered,
		})
		return
	}
	if s := b.suspects[end.Work]; s != nil {
		end.Life = s.lifeOf(end.Backend, end.How, now)
	}
	if !b.add(known{End: end, at: now}) {
		return
	}
	b.publish(b.suspects[end.Work])
}

// publish asks for the ends of a work to be written. A single end that only the registry
// tells of stays with this node: entries lapse together while the store is away, and with
// them all that each node has at its back ends. The lock is held.
func (b *Book) publish(s *suspect) {
	for _, k := range s.ends {
		alone := len(s.ends) == 1
		if k.stored || k.How == HowSilent || k.How == HowGone && alone {
			continue
		}
		b.outbox.put(k.End, !alone)
	}
}

// learn takes an end that another node saw, or that is in the store. A node that knows
// better objects. The lock is held.
func (b *Book) learn(k known) {
	if b.answered.lately(k.Work, k.at) {
		b.config.Log.Info(eventlog.SuspicionDropped, eventlog.Fields{
			eventlog.Work: k.Work.String(), eventlog.Backend: k.Backend, "seen_by": k.Node, eventlog.Cause: causeAnswered,
		})
		b.outbox.remove(keyOf(k.End))
		return
	}
	b.add(k)
}

// causeAnswered is why evidence is dropped that a success speaks against.
const causeAnswered = "answered with success a moment ago"

// add takes an end and tells whether it is new. The lock is held.
func (b *Book) add(k known) bool {
	s := b.suspects[k.Work]
	if s == nil {
		if len(b.suspects) >= suspectsMost {
			b.evict()
		}
		s = &suspect{work: k.Work, ends: make(map[endID]known)}
		b.suspects[k.Work] = s
	}
	before, had := s.ends[k.id()]
	if had && (before.How != HowSilent || k.How == HowSilent) {
		before.stored = before.stored || k.stored
		s.ends[k.id()] = before
		return false
	}
	s.ends[k.id()] = k
	s.touch(k.at)
	b.saySuspected(s, k)
	b.judge(s, k.at)
	return true
}

// saySuspected tells of an end under a work. First ends are told of by the line of the back
// end: under one that has a hundred requests, all are suspected. The lock is held.
func (b *Book) saySuspected(s *suspect, k known) {
	count := s.count(k.at)
	if count < 2 {
		return
	}
	b.config.Log.Warn(eventlog.RequestSuspected, eventlog.Fields{
		eventlog.Work: k.Work.String(), eventlog.Backend: k.Backend, eventlog.Service: k.Service, "how": string(k.How),
		"seen_by": k.Node, "ends": count,
	})
}

// evict forgets the work with the fewest ends, of those the one that changed first. The
// lock is held.
func (b *Book) evict() {
	var least *suspect
	for _, s := range b.suspects {
		if least == nil || len(s.ends) < len(least.ends) || len(s.ends) == len(least.ends) && s.changed.Before(least.changed) {
			least = s
		}
	}
	b.config.Log.Warn(eventlog.SuspicionDropped, eventlog.Fields{
		eventlog.Work: least.work.String(), "ends": len(least.ends), eventlog.Cause: "too many works are suspected",
	})
	b.forget(least, true)
}

// judge quarantines a work or clears it, by the ends that are known. The lock is held.
func (b *Book) judge(s *suspect, now time.Time) {
	count := s.count(now)
	held := count >= DeadlyEnds
	if held == s.held {
		if held && (*b.held.Load())[s.work] != count {
			b.setHeld(s.work, count)
		}
		return
	}
	s.held, s.heldSince = held, now
	fields := eventlog.Fields{eventlog.Work: s.work.String(), "ends": count, "backends": slices.Sorted(maps.Keys(s.ends))}
	if !held {
		b.setHeld(s.work, 0)
		b.config.Log.Warn(eventlog.QuarantineEnded, fields)
		return
	}
	b.setHeld(s.work, count)
	fields["cut"] = b.cutRuns(s.work)
	b.config.Log.Warn(eventlog.Quarantined, fields)
}

// setHeld records the ends of a quarantined work, 0 for one that is no longer. The lock is
// held.
func (b *Book) setHeld(work fingerprint.Fingerprint, ends int) {
	next := maps.Clone(*b.held.Load())
	if ends == 0 {
		delete(next, work)
	} else {
		next[work] = ends
	}
	b.held.Store(&next)
	if b.config.OnHeld != nil {
		go b.config.OnHeld()
	}
}

// cutRuns ends the calls of a work that are under way: they may still wait for a place at
// their back ends. It returns their number. The lock is held.
func (b *Book) cutRuns(work fingerprint.Fingerprint) int {
	count := 0
	for _, held := range b.backends {
		for r := range held.runs {
			if r.work == work && r.ended.IsZero() {
				count++
				go r.cut()
			}
		}
	}
	return count
}

// succeeded takes a whole answer with success: the work does not end what runs it. The
// lock is held.
func (b *Book) succeeded(r *run, now time.Time) {
	work := r.work
	b.answered.add(work, now)
	s := b.suspects[work]
	if s == nil {
		return
	}
	b.config.Log.Warn(eventlog.RequestCleared, eventlog.Fields{
		eventlog.Work: work.String(), eventlog.Request: r.request, eventlog.Backend: r.at, "ends": len(s.ends),
		eventlog.Cause: "answered with success",
	})
	b.forget(s, true)
}

// Lift clears a work by an operator's word, and tells whether it was suspected.
func (b *Book) Lift(work fingerprint.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[work]
	if s == nil {
		return false
	}
	b.config.Log.Warn(eventlog.RequestCleared, eventlog.Fields{eventlog.Work: work.String(), "ends": len(s.ends), eventlog.Cause: "lifted by an operator"})
	b.forget(s, true)
	return true
}

// forget clears a work; everywhere takes its rows away too. The lock is held.
func (b *Book) forget(s *suspect, everywhere bool) {
	if everywhere {
		for _, k := range s.ends {
			b.outbox.remove(keyOf(k.End))
		}
		b.endTrial(s)
	}
	delete(b.suspects, s.work)
	if s.held {
		b.setHeld(s.work, 0)
	}
}

// withdraw takes an end back. The lock is held.
func (b *Book) withdraw(s *suspect, id endID, now time.Time) {
	delete(s.ends, id)
	s.touch(now)
	if len(s.ends) == 0 {
		b.forget(s, false)
		return
	}
	b.judge(s, now)
}

// Suspects returns what is known of all works, those with the most ends first.
func (b *Book) Suspects() []Suspect {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Suspect, 0, len(b.suspects))
	now := time.Now()
	for _, s := range b.suspects {
		told := Suspect{Work: s.work, Held: s.held, Changed: now.Sub(s.changed)}
		for _, id := range slices.Sorted(maps.Keys(s.ends)) {
			told.Ends = append(told.Ends, s.ends[id].End)
		}
		list = append(list, told)
	}
	slices.SortFunc(list, func(x, y Suspect) int {
		return cmp.Or(cmp.Compare(len(y.Ends), len(x.Ends)), bytes.Compare(x.Work[:], y.Work[:]))
	})
	return list
}

// RegistryChanged takes that the registry of back ends changed.
func (b *Book) RegistryChanged() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, held := range b.backends {
		entry := b.config.Backend(held.id)
		if entry.Present {
			held.leaving, held.service = held.leaving || entry.Leaving, entry.Service
			continue
		}
		b.endedUnder(held, HowGone, now)
	}
	for _, s := range b.suspects {
		for id, k := range s.ends {
			if k.How == HowGone && k.Node == b.config.Node && b.config.Backend(k.Backend).Present {
				b.config.Log.Info(eventlog.SuspicionDropped, eventlog.Fields{
					eventlog.Work: s.work.String(), eventlog.Backend: k.Backend, eventlog.Cause: "the back end is in the registry again",
				})
				b.outbox.remove(keyOf(k.End))
				b.withdraw(s, id, now)
			}
		}
	}
}

// age forgets what is old.
func (b *Book) age(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	for _, s := range b.suspects {
		b.dropPresumed(s, now)
		if b.suspects[s.work] == nil {
			continue
		}
		if now.Before(s.forget) {
			continue
		}
		old := s.oldest()
		b.config.Log.Info(eventlog.SuspicionDropped, eventlog.Fields{
			eventlog.Work: s.work.String(), eventlog.Backend: old.Backend, "age_ms": now.Sub(s.changed).Milliseconds(), eventlog.Cause: "old",
		})
		b.outbox.remove(keyOf(old.End))
		b.endTrial(s)
		b.withdraw(s, old.id(), now)
	}
}

// dropPresumed takes back the ends that nothing has confirmed. The lock is held.
func (b *Book) dropPresumed(s *suspect, now time.Time) {
	for id, k := range s.ends {
		if !k.counts(now) {
			b.withdraw(s, id, now)
		}
	}
}

// Dropped returns how many calls were not followed, and how many rows not written, since
// there was no room.
func (b *Book) Dropped() (calls, rows int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unfollowed, b.outbox.dropped
}

// sayEnded tells of a back end that ended. The lock is held.
func (b *Book) sayEnded(held *backend, how How, count int, works map[string]bool) {
	if count == 0 {
		return
	}
	list := slices.Sorted(maps.Keys(works))
	b.config.Log.Warn(eventlog.BackendEnded, eventlog.Fields{
		eventlog.Backend: held.id, eventlog.Service: held.service, "how": string(how), "unanswered": count,
		"works": list[:min(len(list), worksSaid)], "leaving": held.leaving,
	})
}

// worksSaid bounds the works that a line names.
const worksSaid = 16

package digest

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Apply takes rows of a source: their keys, what matters of them as values, the revisions
// of the rows that this was made from. complete marks all that there are.
type Apply func(rows []rowstore.Row, complete bool)

// Follower follows the digest. It is safe for concurrent use.
type Follower struct {
	log    *eventlog.Log
	view   *rowstore.View
	store  rowstore.Store
	timing Timing
	// wait returns how long a watch stays open.
	wait func() time.Duration
	// peeked is closed once it is known whether the digest was fresh at the start, which
	// fresh tells.
	peeked chan struct{}
	fresh  bool

	// applying is held while rows are handed on, so that none comes between an Attach and
	// what it stands on.
	applying sync.Mutex
	attached map[string]Apply
	// passed holds, by source, the highest revision of the rows that were passed over, and
	// passedAll that of a digest that was read whole.
	passed    map[string]int64
	passedAll int64

	mu sync.Mutex
	// handed tells, by source, that rows were handed on since Attach, handedWhole, that all of
	// the digest was.
	handed, handedWhole map[string]bool
	// following tells that the view runs.
	following bool
	// peekedTaken is the store's clock in the last answer to a look at the proof alone,
	// peekedAsked is when that was asked for.
	peekedTaken int64
	peekedAsked clock.Mark
	standing    Standing
	known       bool
	// unusable tells that the proof is of a format that this build does not know.
	unusable bool
}

// Standing is what is published.
type Standing struct {
	Proof Proof
	// Revision is that of the proof's row, 0 if there is none.
	Revision int64
	// FirstTaken is the store's clock when this node first looked.
	FirstTaken int64
	// WrittenTaken is the store's clock in the answer that brought Proof.
	WrittenTaken int64
	// BusyTaken is the store's clock when the publisher was last seen to take over, or to
	// write a part of its changes.
	BusyTaken int64
}

// NewFollower returns a follower that asks the store at the paces given.
func NewFollower(log *eventlog.Log, store rowstore.Store, timing Timing, wait, pace func() time.Duration) *Follower {
	f := &Follower{log: log, store: store, timing: timing, wait: wait, attached: make(map[string]Apply), passed: make(map[string]int64), handed: make(map[string]bool), handedWhole: make(map[string]bool), peeked: make(chan struct{})}
	f.view = rowstore.NewView(log, store, rowstore.ViewConfig{
		Name: Table, Table: Table, Partitions: []string{Partition}, Wait: wait, Pace: pace, Apply: f.apply,
	})
	return f
}

const (
	// peekRetryFirst and peekRetryMost bound the pause after a look at the proof that failed:
	// where hundreds of nodes start at once the store refuses most of them.
	peekRetryFirst = 50 * time.Millisecond
	peekRetryMost  = 800 * time.Millisecond
)

// Run follows the digest until ctx ends: from the start if early tells to look for it and it
// is kept by somebody, or else once it is and from wants it: changes are wanted from a
// revision on. A digest is not followed while it is first written: all nodes would be sent
// what they have read already.
func (f *Follower) Run(ctx context.Context, early bool, from func() (revision int64, wanted bool)) {
	f.fresh = early && f.peek(ctx)
	close(f.peeked)
	if f.fresh {
		f.noteFollowing()
		f.view.Run(ctx)
		return
	}
	for pause.For(ctx, f.timing.peekEvery()) {
		if _, wanted := from(); !wanted || !f.peek(ctx) {
			continue
		}
		if revision, wanted := from(); wanted {
			f.noteFollowing()
			f.view.RunFrom(ctx, revision)
			return
		}
	}
}

func (f *Follower) noteFollowing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.following = true
}

// peek reads the proof alone and tells whether it is fresh.
func (f *Follower) peek(ctx context.Context) bool {
	for retry := peekRetryFirst; ; retry = min(2*retry, peekRetryMost) {
		began := clock.NewMark()
		snapshot, err := f.store.List(ctx, Table, Partition, keyProof, keyProof+"\x00", 1)
		if err == nil {
			f.note(snapshot.Rows, snapshot.Taken)
			return f.peekedAt(snapshot.Taken, began)
		}
		if !pause.For(ctx, retry/2+rand.N(retry)) {
			return false
		}
	}
}

// peekedAt tells whether the proof is fresh by an answer of the store that was asked for at
// a time.
func (f *Follower) peekedAt(taken int64, asked clock.Mark) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peekedTaken, f.peekedAsked = taken, asked
	if !f.known {
		f.known, f.standing.FirstTaken = true, taken
	}
	fresh := false
	for source := range f.standing.Proof.Reached {
		age, known := f.age(source, rowstore.Moment{Taken: taken}, asked.Earlier(), time.Now())
		fresh = known && age <= f.timing.usableMost()
	}
	return fresh
}

// Peeked waits until it is known whether the digest was fresh when this node started, and
// tells so.
func (f *Follower) Peeked(ctx context.Context) bool {
	select {
	case <-f.peeked:
		return f.fresh
	case <-ctx.Done():
		return false
	}
}

// Standing returns what is published, and whether that is known.
func (f *Follower) Standing() (Standing, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.standing, f.known && !f.unusable
}

// Usable tells whether this build can read the digest, as far as is known.
func (f *Follower) Usable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unusable
}

// Reached returns the moment up to which the digest of a source is whole.
func (f *Follower) Reached(source string) rowstore.Moment {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.standing.Proof.Reached[source]
}

// Age returns how long ago the digest of a source was certain to hold all that was written,
// and whether that is known.
func (f *Follower) Age(source string, now time.Time) (time.Duration, bool) {
	status := f.view.Status()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !status.Loaded {
		return 0, false
	}
	return f.age(source, status.Reached, status.Proven, now)
}

// age is Age by the moment of an answer of the store that was asked for at a time. The lock
// is held.
func (f *Follower) age(source string, answered rowstore.Moment, asked, now time.Time) (time.Duration, bool) {
	reached := f.standing.Proof.Reached[source]
	if f.unusable || reached.Taken == 0 || answered.Taken == 0 {
		return 0, false
	}
	// The store's clock stands now at what it showed and the time since the question at most.
	age := time.Duration(answered.Taken-reached.Taken)*time.Millisecond + clockGrain + now.Sub(asked)
	return age, age >= 0
}

// Kept tells whether the digest is worth waiting for, for a node that has waited for it or
// followed it since a time. It is if its publisher wrote within most of the store's last answer
// to this node, or if answers have come for so short a time that it cannot have written yet.
//
// A publisher that writes and is behind is followed on: whoever of the others that read the
// table is ahead of it takes its place, and if none is, reading the table takes longer still.
// While no answers come, the table cannot be read either.
func (f *Follower) Kept(most time.Duration, since, now time.Time) bool {
	status := f.view.Status()
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.unusable:
		return false
	case !f.following:
		return now.Sub(since) <= most || f.firstWritten(now) <= most
	case !status.Loaded || !status.Healthy || now.Sub(status.HealthySince) <= f.timing.usableMost():
		return true
	}
	// An answer that takes longer than a watch stays open is a large one that is arriving.
	open := min(status.ProvenAge(now), f.wait())
	silent := time.Duration(status.Reached.Taken-f.standing.WrittenTaken) * time.Millisecond
	// What was written may tell of the table as of the beginning of a watch of it.
	return silent+open+f.timing.WatchWait() <= most
}

// firstWritten returns how long ago more was written of a digest that is not whole yet, by the last
// look at its proof, math.MaxInt64 if none is written. One that is whole and behind is not waited
// for: nobody knows for how long. The lock is held.
func (f *Follower) firstWritten(now time.Time) time.Duration {
	proof := f.standing.Proof
	if f.standing.Revision == 0 || len(proof.Reached) > 0 && !proof.Unfinished {
		return math.MaxInt64
	}
	return time.Duration(f.peekedTaken-f.standing.WrittenTaken)*time.Millisecond + now.Sub(f.peekedAsked.Earlier())
}

// HandedOn tells whether rows of a source were handed on since Attach.
func (f *Follower) HandedOn(source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handed[source]
}

// HandedWhole tells whether all of the digest of a source was handed on since Attach.
func (f *Follower) HandedWhole(source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.handedWhole[source]
}

func (f *Follower) setHanded(source string, handed, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handed[source], f.handedWhole[source] = handed, whole
}

// Compare tells whether an owner of a source holds what the digest does, and whether that is
// known. The owner held the table as of a revision at Attach; sum returns the sum of what it holds.
func (f *Follower) Compare(source string, revision int64, sum func() uint64) (same, known bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	if f.HandedWhole(source) {
		return true, true
	}
	loaded := f.view.Status().Loaded
	standing, usable := f.Standing()
	proof := standing.Proof
	if !loaded || !usable || proof.Unfinished || proof.Reached[source].Revision < revision {
		return false, false
	}
	return proof.Sum == nil || sum() == *proof.Sum, true
}

// Reload lets the digest be read whole.
func (f *Follower) Reload() { f.view.Reload() }

// clockGrain is how much later the store's clock may stand than it shows.
const clockGrain = time.Millisecond

// Attach hands the rows of a source on from now on, for an owner that holds the source as of
// a revision. It is false, and does nothing, if rows were passed over that the owner may not
// have.
func (f *Follower) Attach(source string, revision int64, apply Apply) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	if revision < max(f.passed[source], f.passedAll) {
		return false
	}
	f.attached[source] = apply
	f.setHanded(source, false, false)
	return true
}

// Detach ends what Attach began. It returns the moment up to which the source was handed on
// whole.
func (f *Follower) Detach(source string) rowstore.Moment {
	f.applying.Lock()
	defer f.applying.Unlock()
	delete(f.attached, source)
	return f.Reached(source)
}

func (f *Follower) apply(rows []rowstore.Row, complete bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	bySource := make(map[string][]rowstore.Row)
	for _, row := range rows {
		if complete {
			f.passedAll = max(f.passedAll, row.Revision)
		}
		source, key, ok := splitKey(row.Key)
		if !ok {
			continue
		}
		if f.attached[source] == nil {
			f.passed[source] = max(f.passed[source], row.Revision)
			continue
		}
		if read, ok := f.read(row, key); ok {
			bySource[source] = append(bySource[source], read)
		}
	}
	for source, apply := range f.attached {
		if complete || len(bySource[source]) > 0 {
			f.setHanded(source, true, complete || f.HandedWhole(source))
			apply(bySource[source], complete)
		}
	}
	// The proof comes last: what it covers has been handed on.
	f.note(covered(rows, complete, f.view.Status().Revision), f.view.Status().Answered.Taken)
}

// covered returns rows without those of a whole reading that are newer than its beginning, a
// revision: a proof on its last page may cover changes to what was read on the first. The next
// watch brings them again.
func covered(rows []rowstore.Row, complete bool, began int64) []rowstore.Row {
	if !complete {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(row rowstore.Row) bool { return row.Revision > began })
}

// read returns what a row of the digest says of a row of a source.
func (f *Follower) read(row rowstore.Row, key string) (rowstore.Row, bool) {
	source := rowstore.Row{RowID: rowstore.RowID{Key: key}, Revision: row.Revision, Deleted: row.Deleted}
	if row.Deleted {
		return source, true
	}
	var held entry
	if err := json.Unmarshal(row.Value, &held); err != nil {
		f.log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: row.Key, eventlog.Cause: err.Error()})
		return rowstore.Row{}, false
	}
	source.Value, source.Revision = held.Content, held.Revision
	return source, true
}

// note takes the proof if it is among rows of an answer that the store gave at a moment.
func (f *Follower) note(rows []rowstore.Row, taken int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range rows {
		if row.Key != keyProof || row.Revision <= f.standing.Revision {
			continue
		}
		f.standing.Revision, f.standing.WrittenTaken = row.Revision, taken
		proof, err := decodeProof(row.Value)
		f.unusable = err != nil && !row.Deleted
		if f.unusable {
			f.log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: row.Key, eventlog.Cause: err.Error()})
			continue
		}
		if row.Deleted {
			proof = Proof{}
		}
		replaced := proof.Publisher != f.standing.Proof.Publisher || proof.Incarnation != f.standing.Proof.Incarnation
		if replaced || proof.Unfinished {
			f.standing.BusyTaken = taken
		}
		if replaced {
			f.log.Info(eventlog.DigestFollowed, eventlog.Fields{
				"publisher": proof.Publisher, "before": f.standing.Proof.Publisher, eventlog.Revision: row.Revision,
			})
		}
		f.standing.Proof = proof
	}
}

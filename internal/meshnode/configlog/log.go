package configlog

import (
	"slices"

	"github.com/zeebo/errs/v2"
)

const (
	// recentLimit is how many accepted ids a log remembers.
	recentLimit = 512
	// entryLimit is how many entries a node keeps for peers that lag; one that
	// lags further gets a snapshot.
	entryLimit = 128
)

// ErrGap says that entries do not follow on the log that they should extend.
const ErrGap = errs.Tag("configlog: gap between revisions")

// Entry is an accepted change: row Revision of the log.
type Entry struct {
	Revision int64  `json:"revision"`
	Change   Change `json:"change"`
}

// Accepted tells which revision an id was accepted with.
type Accepted struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
}

// Snapshot is a state together with the ids accepted last, oldest first.
type Snapshot struct {
	State  *State     `json:"state"`
	Recent []Accepted `json:"recent"`
}

// Log is a state with the recent history that made it. A Log is a value: it is
// never changed once made.
type Log struct {
	snapshot Snapshot
	entries  []Entry
}

// NewLog returns the log before the first change.
func NewLog() *Log { return &Log{snapshot: Snapshot{State: EmptyState()}} }

// LogFromSnapshot returns a log that begins at the snapshot.
func LogFromSnapshot(snapshot Snapshot) (*Log, error) {
	if snapshot.State == nil {
		return nil, ErrInvalid.Errorf("the snapshot has no state")
	}
	snapshot.State = snapshot.State.clone() // no nil maps
	return &Log{snapshot: snapshot}, nil
}

// State returns the configuration at the log's end.
func (l *Log) State() *State { return l.snapshot.State }

// Revision returns the revision at the log's end.
func (l *Log) Revision() int64 { return l.snapshot.State.Revision }

// Snapshot returns the log without its entries.
func (l *Log) Snapshot() Snapshot { return l.snapshot }

// Find returns the revision that the change with that id was accepted with.
func (l *Log) Find(id string) (int64, bool) {
	for _, accepted := range slices.Backward(l.snapshot.Recent) {
		if accepted.ID == id {
			return accepted.Revision, true
		}
	}
	return 0, false
}

// idAt returns the id of the change that made a recent revision.
func (l *Log) idAt(revision int64) (string, bool) {
	for _, accepted := range slices.Backward(l.snapshot.Recent) {
		if accepted.Revision == revision {
			return accepted.ID, true
		}
	}
	return "", false
}

// entry returns the entry of a recent revision.
func (l *Log) entry(revision int64) (Entry, bool) {
	for _, entry := range slices.Backward(l.entries) {
		if entry.Revision == revision {
			return entry, true
		}
	}
	return Entry{}, false
}

// Extend returns the log with one more entry. Entries that the log has already
// change nothing.
func (l *Log) Extend(entry Entry) (*Log, error) {
	if entry.Revision <= l.Revision() {
		return l, nil
	}
	if entry.Revision != l.Revision()+1 {
		return nil, ErrGap.Errorf("entry %d does not follow on revision %d", entry.Revision, l.Revision())
	}
	state, err := Apply(l.State(), entry.Change)
	if err != nil {
		return nil, err
	}
	accepted := Accepted{ID: entry.Change.ID, Revision: entry.Revision}
	return &Log{
		snapshot: Snapshot{State: state, Recent: appendBounded(l.snapshot.Recent, accepted, recentLimit)},
		entries:  appendBounded(l.entries, entry, entryLimit),
	}, nil
}

// ExtendAll extends the log with entries in ascending order.
func (l *Log) ExtendAll(entries []Entry) (*Log, error) {
	log := l
	for _, entry := range entries {
		next, err := log.Extend(entry)
		if err != nil {
			return log, err
		}
		log = next
	}
	return log, nil
}

// EntriesAfter returns the entries that follow on revision, and false where the
// log no longer holds them all.
func (l *Log) EntriesAfter(revision int64) ([]Entry, bool) {
	missing := l.Revision() - revision
	if missing <= 0 {
		return nil, true
	}
	if missing > int64(len(l.entries)) {
		return nil, false
	}
	return l.entries[int64(len(l.entries))-missing:], true
}

// newest returns at most count of the newest entries.
func (l *Log) newest(count int) []Entry { return l.entries[max(0, len(l.entries)-count):] }

// firstConflict returns the first revision after base on which the change does
// not apply, or the log's own where the entries since base are gone.
func (l *Log) firstConflict(base *Log, change Change) int64 {
	entries, _ := l.EntriesAfter(base.Revision())
	for _, entry := range entries {
		next, err := base.Extend(entry)
		if err != nil {
			break
		}
		if _, err := Apply(next.State(), change); err != nil {
			return entry.Revision
		}
		base = next
	}
	return l.Revision()
}

// appendBounded returns a new slice, so that logs never share a backing array
// that one of them appends to.
func appendBounded[T any](items []T, item T, limit int) []T {
	keep := items[max(0, len(items)-limit+1):]
	return append(slices.Clone(keep), item)
}

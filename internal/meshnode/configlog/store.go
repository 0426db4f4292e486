package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

const (
	logPrefix   = "config/log/"
	snapshotKey = "config/snapshot"

	scanLimit       = 200
	maxReadAttempts = 4

	// compactEvery is the number of revisions between two compactions.
	compactEvery = 64
	// keepRows is how many of the newest rows a compaction leaves. It must be at
	// least one: the proof that a revision is the newest needs its row.
	keepRows = 128
	// compactLimit bounds the rows that one compaction deletes.
	compactLimit = 200
)

var (
	// ErrTableBehind says that the table holds an older log than this node has
	// applied, or a different one. The node keeps what it has.
	ErrTableBehind = errs.Tag("configlog: table behind this node")
	// ErrCorrupt says that a row of the table could not be understood.
	ErrCorrupt = errs.Tag("configlog: corrupt row")
)

// Table is what the store needs of the platform's table service. An *api.Error
// with code condition_failed, not_found or rate_limited is definite; any other
// error of Commit leaves open whether the transaction took effect.
type Table interface {
	Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error)
	Get(ctx context.Context, key string) (api.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error)
}

// Faults switches mechanisms off, so that tests can show that a check fails
// without them. The zero value leaves all on.
type Faults struct {
	// ApplyLowerRevisions lets a node follow a peer back to a lower revision.
	ApplyLowerRevisions bool
	// NoCondition writes log rows without conditions.
	NoCondition bool
}

// Store reads and writes the log in the table service. It holds no copy of it.
type Store struct {
	table  Table
	faults Faults
	jitter *jitter
}

// NewStore returns a store on the table. The seed decides the jitter between
// attempts.
func NewStore(table Table, seed uint64, faults Faults) *Store {
	return &Store{table: table, faults: faults, jitter: newJitter(seed)}
}

// view is a log that was the newest at one moment, and the table revision of
// the row that holds its last entry (zero at revision zero).
type view struct {
	log         *Log
	rowRevision int64
}

// Read returns the newest log, which extends or replaces known.
func (s *Store) Read(ctx context.Context, known *Log) (*Log, error) {
	v, err := s.read(ctx, known)
	return v.log, err
}

func (s *Store) read(ctx context.Context, known *Log) (view, error) {
	log := known
	for range maxReadAttempts {
		v, err := s.scan(ctx, log)
		if !errors.Is(err, ErrGap) {
			return v, err
		}
		// The rows that follow were compacted: the snapshot has them.
		if log, err = s.readSnapshot(ctx, log); err != nil {
			return view{}, err
		}
	}
	return view{}, ErrGap.Errorf("the log was compacted during each of %d reads", maxReadAttempts)
}

// scan reads the row of log's own revision and all rows after it. Seeing the
// first in the same step as the rest proves that none in between is missing.
func (s *Store) scan(ctx context.Context, log *Log) (view, error) {
	v := view{log: log}
	expected := max(log.Revision(), 1)
	after := rowKey(expected - 1)
	for {
		page, err := s.table.Scan(ctx, logPrefix, after, scanLimit)
		if err != nil {
			return view{}, errs.Wrap(err)
		}
		for _, row := range page.Rows {
			if v, err = v.extend(row, expected); err != nil {
				return view{}, err
			}
			expected++
			after = row.Key
		}
		if !page.More {
			break
		}
	}
	if v.log.Revision() > 0 && v.rowRevision == 0 {
		return view{}, ErrGap.Errorf("row %d is missing", v.log.Revision())
	}
	return v, nil
}

func (v view) extend(row api.Row, expected int64) (view, error) {
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return view{}, ErrCorrupt.Errorf("row %s: %v", row.Key, err)
	}
	if entry.Revision != expected {
		return view{}, ErrGap.Errorf("found revision %d where %d was expected", entry.Revision, expected)
	}
	if id, ok := v.log.idAt(entry.Revision); ok && id != entry.Change.ID {
		return view{}, ErrTableBehind.Errorf("revision %d is change %s in the table and %s here", entry.Revision, entry.Change.ID, id)
	}
	log, err := v.log.Extend(entry)
	if err != nil {
		return view{}, ErrCorrupt.Errorf("row %s does not apply: %v", row.Key, err)
	}
	return view{log: log, rowRevision: row.Revision}, nil
}

// readSnapshot returns the log at the snapshot, which must be newer than known.
func (s *Store) readSnapshot(ctx context.Context, known *Log) (*Log, error) {
	snapshot, _, err := s.getSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	if snapshot.State == nil || snapshot.State.Revision <= known.Revision() {
		return nil, ErrTableBehind.Errorf("the table does not hold revision %d", known.Revision())
	}
	return LogFromSnapshot(snapshot)
}

// getSnapshot returns the snapshot and its row's table revision; both are zero
// where there is none.
func (s *Store) getSnapshot(ctx context.Context) (Snapshot, int64, error) {
	row, err := s.table.Get(ctx, snapshotKey)
	if definiteCode(err) == api.CodeNotFound {
		return Snapshot{}, 0, nil
	}
	if err != nil {
		return Snapshot{}, 0, errs.Wrap(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(row.Value, &snapshot); err != nil {
		return Snapshot{}, 0, ErrCorrupt.Errorf("row %s: %v", snapshotKey, err)
	}
	return snapshot, row.Revision, nil
}

// commit writes the entry that follows on v.
func (s *Store) commit(ctx context.Context, v view, entry Entry) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return errs.Wrap(err)
	}
	transaction := api.Transaction{
		ID:   fmt.Sprintf("%s/%d", entry.Change.ID, entry.Revision),
		Puts: []api.Put{{Key: rowKey(entry.Revision), Value: value}},
	}
	if !s.faults.NoCondition {
		transaction.Conditions = []api.Condition{{Key: rowKey(entry.Revision)}, v.predecessor()}
	}
	_, err = s.table.Commit(ctx, transaction)
	return err
}

// predecessor is the condition that no compaction has passed the view.
func (v view) predecessor() api.Condition {
	if v.log.Revision() == 0 {
		return api.Condition{Key: snapshotKey}
	}
	return api.Condition{Key: rowKey(v.log.Revision()), Revision: v.rowRevision}
}

// Compact writes a snapshot of log and deletes the oldest rows that it covers.
// Losing a race against another compaction is no error.
func (s *Store) Compact(ctx context.Context, log *Log) error {
	stored, rowRevision, err := s.getSnapshot(ctx)
	if err != nil {
		return err
	}
	if stored.State != nil && stored.State.Revision >= log.Revision() {
		return nil
	}
	value, err := json.Marshal(log.Snapshot())
	if err != nil {
		return errs.Wrap(err)
	}
	oldest, err := s.table.Scan(ctx, logPrefix, rowKey(0), compactLimit)
	if err != nil {
		return errs.Wrap(err)
	}
	_, err = s.table.Commit(ctx, api.Transaction{
		ID:         fmt.Sprintf("compact/%d", log.Revision()),
		Conditions: []api.Condition{{Key: snapshotKey, Revision: rowRevision}},
		Puts:       []api.Put{{Key: snapshotKey, Value: value}},
		Deletes:    compactable(oldest.Rows, log.Revision()),
	})
	if definiteCode(err) == api.CodeConditionFailed {
		return nil
	}
	return err
}

// compactable returns the keys of the rows that a snapshot at revision makes
// unnecessary.
func compactable(rows []api.Row, revision int64) []string {
	firstKept := rowKey(max(revision-keepRows+1, 1))
	var keys []string
	for _, row := range rows {
		if row.Key < firstKept {
			keys = append(keys, row.Key)
		}
	}
	return keys
}

// rowKey is zero-padded, so that key order is revision order.
func rowKey(revision int64) string { return fmt.Sprintf("%s%016d", logPrefix, revision) }

// definiteCode returns the code of an answer that says that nothing was done,
// and an empty one for any other error.
func definiteCode(err error) api.Code {
	var answer *api.Error
	if !errors.As(err, &answer) {
		return ""
	}
	switch answer.Code {
	case api.CodeConditionFailed, api.CodeNotFound, api.CodeRateLimited:
		return answer.Code
	}
	return ""
}

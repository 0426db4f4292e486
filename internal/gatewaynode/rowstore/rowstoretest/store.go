// Package rowstoretest is a row store in memory for tests, with the faults of a
// real one: refusals, silence, lost answers, late effects, dropped history and
// reads that are behind.
package rowstoretest

import (
	"context"
	"encoding/base64"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Faults are what goes wrong at present.
type Faults struct {
	// Refuse answers every call with ErrRefused.
	Refuse bool
	// Silent leaves every call without an answer or an effect.
	Silent bool
	// LoseAnswers does commits and does not say so.
	LoseAnswers bool
	// Late does commits after this time, if their conditions hold then, and does
	// not answer.
	Late time.Duration
	// Behind makes reads see the store as it was so many revisions ago.
	Behind int64
	// Slow makes every call take so much longer.
	Slow time.Duration
	// Partition, if it is set, is the one that the faults are of; watches go on.
	Partition string
	// Limit is how long a call without an answer takes to fail.
	Limit time.Duration
}

// defaultLimit is how long a silent call takes to fail.
const defaultLimit = time.Second

// Store implements rowstore.Store in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	// history holds the versions of each row, by table.
	history   map[string]map[rowstore.RowID][]rowstore.Row
	compacted int64
	// changed holds, by table, what is closed once the table changes.
	changed map[string]chan struct{}
	faults  Faults
	commits int
}

// New returns an empty store.
func New() *Store {
	return &Store{history: make(map[string]map[rowstore.RowID][]rowstore.Row), changed: make(map[string]chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Compact drops the history: watches from before now fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	for table := range s.changed {
		s.wake(table)
	}
}

// Commits returns the number of commits that took effect.
func (s *Store) Commits() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits
}

// Put writes a row without conditions and faults, as others than the system do.
func (s *Store) Put(table, partition, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := rowstore.RowID{Table: table, Partition: partition, Key: key}
	return s.apply(rowstore.Transaction{Puts: []rowstore.Row{{RowID: id, Value: value}}})
}

// PutAll writes rows as Put does, each with a revision of its own.
func (s *Store) PutAll(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.revision++
		s.record(row.RowID, rowstore.Row{RowID: row.RowID, Value: row.Value, Revision: s.revision})
	}
	for _, row := range rows {
		s.wake(row.Table)
	}
}

// Delete removes a row without conditions and faults.
func (s *Store) Delete(table, partition, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(rowstore.Transaction{Deletes: []rowstore.RowID{{Table: table, Partition: partition, Key: key}}})
}

// Rows returns the rows of a table, ordered by partition and key.
func (s *Store) Rows(table string) []rowstore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []rowstore.Row
	for id := range s.history[table] {
		if row := s.at(id, s.revision); row.Revision > 0 {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		return rows[i].Partition+"\x00"+rows[i].Key < rows[j].Partition+"\x00"+rows[j].Key
	})
	return rows
}

// snapshotFaults returns the faults of a call to a partition.
func (s *Store) snapshotFaults(partition string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if faults.Partition != "" && faults.Partition != partition {
		faults = Faults{}
	}
	if faults.Limit == 0 {
		faults.Limit = defaultLimit
	}
	return faults
}

// silence waits for the limit of a call that gets no answer.
func silence(ctx context.Context, faults Faults) error {
	timer := time.NewTimer(faults.Limit)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return fmt.Errorf("%w: silence", rowstore.ErrUnknown)
}

// Commit implements rowstore.Store.
func (s *Store) Commit(ctx context.Context, transaction rowstore.Transaction) (int64, error) {
	faults := s.snapshotFaults(transaction.Partition())
	switch {
	case ctx.Err() != nil:
		return 0, fmt.Errorf("%w: %w", rowstore.ErrUnknown, ctx.Err())
	case faults.Refuse:
		return 0, rowstore.ErrRefused
	case faults.Silent:
		return 0, silence(ctx, faults)
	case faults.Slow > 0 && !pause.For(ctx, faults.Slow):
		return 0, fmt.Errorf("%w: %w", rowstore.ErrUnknown, ctx.Err())
	case faults.Late > 0:
		time.AfterFunc(faults.Late, func() { _, _ = s.commit(transaction) })
		return 0, silence(ctx, faults)
	}
	revision, err := s.commit(transaction)
	if faults.LoseAnswers {
		return 0, silence(ctx, faults)
	}
	return revision, err
}

func (s *Store) commit(transaction rowstore.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := valid(transaction); err != nil {
		return 0, err
	}
	conflict := &rowstore.ConflictError{}
	for _, condition := range transaction.Conditions {
		row := s.at(condition.RowID, s.revision)
		if row.Revision != condition.Revision {
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	s.commits++
	return s.apply(transaction), nil
}

// What the store takes in one call, as the platform's does.
const (
	entriesMost     = 100
	transactionMost = 1 << 20
	rowMost         = 64 << 10
)

// valid tells why the store never takes a transaction, nil if it may.
func valid(transaction rowstore.Transaction) error {
	if transaction.Entries() > entriesMost {
		return fmt.Errorf("%w: over %d entries", rowstore.ErrInvalid, entriesMost)
	}
	size := 0
	for _, put := range transaction.Puts {
		if len(put.Value) > rowMost {
			return fmt.Errorf("%w: row over %d bytes", rowstore.ErrInvalid, rowMost)
		}
		size += base64.StdEncoding.EncodedLen(len(put.Value))
	}
	if size > transactionMost {
		return fmt.Errorf("%w: over %d bytes", rowstore.ErrInvalid, transactionMost)
	}
	return onePartition(transaction)
}

func onePartition(transaction rowstore.Transaction) error {
	seen := make(map[string]bool)
	for _, condition := range transaction.Conditions {
		seen[condition.Partition] = true
	}
	for _, put := range transaction.Puts {
		seen[put.Partition] = true
	}
	for _, id := range transaction.Deletes {
		seen[id.Partition] = true
	}
	if len(seen) > 1 {
		return fmt.Errorf("%w: several partitions", rowstore.ErrInvalid)
	}
	return nil
}

func (s *Store) apply(transaction rowstore.Transaction) int64 {
	s.revision++
	for _, put := range transaction.Puts {
		s.record(put.RowID, rowstore.Row{RowID: put.RowID, Value: append([]byte(nil), put.Value...), Revision: s.revision})
	}
	for _, id := range transaction.Deletes {
		s.record(id, rowstore.Row{RowID: id, Revision: s.revision, Deleted: true})
	}
	for _, put := range transaction.Puts {
		s.wake(put.Table)
	}
	for _, id := range transaction.Deletes {
		s.wake(id.Table)
	}
	return s.revision
}

// record adds a version of a row. The lock is held.
func (s *Store) record(id rowstore.RowID, row rowstore.Row) {
	rows := s.history[id.Table]
	if rows == nil {
		rows = make(map[rowstore.RowID][]rowstore.Row)
		s.history[id.Table] = rows
	}
	rows[id] = append(rows[id], row)
}

// wake ends the waiting of watches of a table. The lock is held.
func (s *Store) wake(table string) {
	if changed := s.changed[table]; changed != nil {
		close(changed)
		delete(s.changed, table)
	}
}

// changes returns what is closed once a table changes. The lock is held.
func (s *Store) changes(table string) <-chan struct{} {
	if s.changed[table] == nil {
		s.changed[table] = make(chan struct{})
	}
	return s.changed[table]
}

// at returns a row as of a revision; one that is not there has revision 0.
func (s *Store) at(id rowstore.RowID, revision int64) rowstore.Row {
	found := rowstore.Row{RowID: id}
	for _, row := range s.history[id.Table][id] {
		if row.Revision > revision {
			break
		}
		found = row
	}
	if found.Deleted {
		return rowstore.Row{RowID: id}
	}
	return found
}

// List implements rowstore.Store.
func (s *Store) List(ctx context.Context, table, partition, from, to string, limit int) (rowstore.Snapshot, error) {
	faults := s.snapshotFaults(partition)
	if faults.Refuse {
		return rowstore.Snapshot{}, rowstore.ErrRefused
	}
	if faults.Silent || ctx.Err() != nil {
		return rowstore.Snapshot{}, silence(ctx, faults)
	}
	if faults.Slow > 0 && !pause.For(ctx, faults.Slow) {
		return rowstore.Snapshot{}, fmt.Errorf("%w: %w", rowstore.ErrUnknown, ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	as := s.revision - faults.Behind
	snapshot := rowstore.Snapshot{Revision: as, Taken: time.Now().UnixMilli()}
	for id := range s.history[table] {
		if id.Partition != partition || id.Key < from || to != "" && id.Key >= to {
			continue
		}
		if row := s.at(id, as); row.Revision > 0 {
			snapshot.Rows = append(snapshot.Rows, row)
		}
	}
	sort.Slice(snapshot.Rows, func(i, j int) bool { return snapshot.Rows[i].Key < snapshot.Rows[j].Key })
	if limit > 0 && len(snapshot.Rows) > limit {
		snapshot.Rows, snapshot.More = snapshot.Rows[:limit], true
	}
	return snapshot, nil
}

// Watch implements rowstore.Store.
func (s *Store) Watch(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Snapshot, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		faults := s.snapshotFaults("")
		if faults.Refuse {
			return rowstore.Snapshot{}, rowstore.ErrRefused
		}
		if faults.Silent {
			return rowstore.Snapshot{}, silence(ctx, faults)
		}
		snapshot, changed, err := s.since(table, after)
		if err != nil || len(snapshot.Rows) > 0 {
			return snapshot, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return snapshot, nil
		case <-ctx.Done():
			return rowstore.Snapshot{}, fmt.Errorf("%w: %w", rowstore.ErrUnknown, ctx.Err())
		}
	}
}

func (s *Store) since(table string, after int64) (rowstore.Snapshot, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return rowstore.Snapshot{}, nil, rowstore.ErrCompacted
	}
	snapshot := rowstore.Snapshot{Revision: s.revision, Taken: time.Now().UnixMilli()}
	for _, versions := range s.history[table] {
		newest := versions[len(versions)-1]
		if newest.Revision > after {
			snapshot.Rows = append(snapshot.Rows, newest)
		}
	}
	sort.Slice(snapshot.Rows, func(i, j int) bool { return snapshot.Rows[i].Revision < snapshot.Rows[j].Revision })
	return snapshot, s.changes(table), nil
}

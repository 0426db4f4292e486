package rowstore

import (
	"context"
	"errors"
	"time"
)

// Observer is told of each call: what it was, how it ended and how long it took.
type Observer func(call, outcome string, took time.Duration)

// ReadObserver is told what the answer to a read brought of a table: how many rows, and how
// many bytes their keys and values are.
type ReadObserver func(table string, rows, bytes int)

// CutObserver is told of each answer that was given up before it was whole, by how many
// bytes of it had arrived.
type CutObserver func(bytes int)

// Meter is a Store that tells an observer of every call.
type Meter struct {
	store   Store
	observe Observer
	read    ReadObserver
	cut     CutObserver
}

// NewMeter returns a meter over store.
func NewMeter(store Store, observe Observer, read ReadObserver, cut CutObserver) *Meter {
	return &Meter{store: store, observe: observe, read: read, cut: cut}
}

// observeCall tells of a call that has ended.
func (m *Meter) observeCall(call string, err error, took time.Duration) {
	m.observe(call, Outcome(err), took)
	var cut *CutError
	if errors.As(err, &cut) {
		m.cut(cut.Received)
	}
}

// observeRead tells of the rows of an answer.
func (m *Meter) observeRead(table string, rows []Row) {
	bytes := 0
	for i := range rows {
		bytes += len(rows[i].Key) + len(rows[i].Value)
	}
	m.read(table, len(rows), bytes)
}

// Outcome names how a call ended, for logs and metrics.
func Outcome(err error) string {
	var conflict *ConflictError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrRefused):
		return "refused"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrStale):
		return "stale"
	case errors.Is(err, ErrInvalid):
		return "invalid"
	}
	return "unknown"
}

// Commit implements Store.
func (m *Meter) Commit(ctx context.Context, transaction Transaction) (int64, error) {
	started := time.Now()
	revision, err := m.store.Commit(ctx, transaction)
	m.observeCall("commit", err, time.Since(started))
	return revision, err
}

// List implements Store.
func (m *Meter) List(ctx context.Context, table, partition, from, to string, limit int) (Snapshot, error) {
	started := time.Now()
	snapshot, err := m.store.List(ctx, table, partition, from, to, limit)
	m.observeCall("list", err, time.Since(started))
	m.observeRead(table, snapshot.Rows)
	return snapshot, err
}

// Watch implements Store.
func (m *Meter) Watch(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error) {
	started := time.Now()
	snapshot, err := m.store.Watch(ctx, table, after, wait)
	m.observeCall("watch", err, time.Since(started))
	m.observeRead(table, snapshot.Rows)
	return snapshot, err
}

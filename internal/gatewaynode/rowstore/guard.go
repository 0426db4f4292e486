package rowstore

import (
	"context"
	"sync/atomic"
	"time"
)

// Guard is a Store that refuses answers older than what it has already seen:
// with it, a process never reads state from before its own last answer.
type Guard struct {
	store Store
	seen  atomic.Int64
}

// NewGuard returns a guard over store.
func NewGuard(store Store) *Guard { return &Guard{store: store} }

func (g *Guard) note(revision int64) {
	for {
		seen := g.seen.Load()
		if revision <= seen || g.seen.CompareAndSwap(seen, revision) {
			return
		}
	}
}

// Commit implements Store.
func (g *Guard) Commit(ctx context.Context, transaction Transaction) (int64, error) {
	revision, err := g.store.Commit(ctx, transaction)
	if err == nil {
		g.note(revision)
	}
	return revision, err
}

// List implements Store; an answer that is behind is ErrStale.
func (g *Guard) List(ctx context.Context, table, partition, from, to string, limit int) (Snapshot, error) {
	before := g.seen.Load()
	snapshot, err := g.store.List(ctx, table, partition, from, to, limit)
	if err != nil {
		return snapshot, err
	}
	if snapshot.Revision < before {
		return Snapshot{}, ErrStale
	}
	g.note(snapshot.Revision)
	return snapshot, nil
}

// Watch implements Store.
func (g *Guard) Watch(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error) {
	snapshot, err := g.store.Watch(ctx, table, after, wait)
	if err == nil {
		g.note(snapshot.Revision)
	}
	return snapshot, err
}

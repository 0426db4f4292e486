package rowstoretest

import (
	"context"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Manner is how a node's own way to the store fails.
type Manner int

// The manners.
const (
	// Open passes calls on.
	Open Manner = iota
	// Refused answers every call with ErrRefused.
	Refused
	// Reset ends every call at once without an answer.
	Reset
	// Silenced leaves every call without an effect, and without an answer until its
	// limit.
	Silenced
)

// Way is one node's own way to a store, with what goes wrong on it alone. It is safe
// for concurrent use.
type Way struct {
	store rowstore.Store
	limit time.Duration

	mu     sync.Mutex
	manner Manner
	calls  int
}

// NewWay returns a way to a store. A call that is left without an answer takes limit
// to fail.
func NewWay(store rowstore.Store, limit time.Duration) *Way {
	return &Way{store: store, limit: limit}
}

// Set says how calls fail from now on.
func (w *Way) Set(manner Manner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.manner = manner
}

// Calls returns the number of calls that were made.
func (w *Way) Calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

func (w *Way) fail(ctx context.Context) error {
	w.mu.Lock()
	w.calls++
	manner := w.manner
	w.mu.Unlock()
	switch manner {
	case Refused:
		return rowstore.ErrRefused
	case Reset:
		return rowstore.ErrUnknown
	case Silenced:
		bounded, cancel := context.WithTimeout(ctx, w.limit)
		defer cancel()
		<-bounded.Done()
		return rowstore.ErrUnknown
	default:
		return nil
	}
}

// Commit implements rowstore.Store.
func (w *Way) Commit(ctx context.Context, transaction rowstore.Transaction) (int64, error) {
	if err := w.fail(ctx); err != nil {
		return 0, err
	}
	return w.store.Commit(ctx, transaction)
}

// List implements rowstore.Store.
func (w *Way) List(ctx context.Context, table, partition, from, to string, limit int) (rowstore.Snapshot, error) {
	if err := w.fail(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return w.store.List(ctx, table, partition, from, to, limit)
}

// Watch implements rowstore.Store.
func (w *Way) Watch(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Snapshot, error) {
	if err := w.fail(ctx); err != nil {
		return rowstore.Snapshot{}, err
	}
	return w.store.Watch(ctx, table, after, wait)
}

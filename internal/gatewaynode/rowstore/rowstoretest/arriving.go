package rowstoretest

import (
	"context"
	"fmt"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Arriving is a store whose answers to watches take long and arrive all the while, as large
// ones do over a link that many share. Other calls take OtherCalls.
type Arriving struct {
	rowstore.Store
	// Takes is how long the answer to a watch takes, Every, the time between two parts of it.
	Takes, Every time.Duration
	// OtherCalls is how long other reads take.
	OtherCalls time.Duration
}

// List implements rowstore.Store.
func (s *Arriving) List(ctx context.Context, table, partition, from, to string, limit int) (rowstore.Snapshot, error) {
	if !pause.For(ctx, s.OtherCalls) {
		return rowstore.Snapshot{}, fmt.Errorf("%w: %w", rowstore.ErrUnknown, context.Cause(ctx))
	}
	return s.Store.List(ctx, table, partition, from, to, limit)
}

// Watch implements rowstore.Store.
func (s *Arriving) Watch(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Snapshot, error) {
	for took := time.Duration(0); took < s.Takes; took += s.Every {
		if !pause.For(ctx, s.Every) {
			return rowstore.Snapshot{}, fmt.Errorf("%w: %w", rowstore.ErrUnknown, context.Cause(ctx))
		}
		rowstore.NoteProgress(ctx)
	}
	return s.Store.Watch(ctx, table, after, wait)
}

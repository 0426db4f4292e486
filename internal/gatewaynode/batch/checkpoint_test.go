package batch

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// checkpointed returns a runner and an open job whose items have the given numbers of
// events. The store limits transactions to a few rows.
func checkpointed(rows *rowstoretest.Store, made ...int) (*runner, *ownedJob) {
	m := &Manager{config: Config{Store: rows, Limits: rowstore.Limits{RowBytes: 1 << 10, TransactionRows: 4}, Routes: func() *routetable.Table { return nil }}}
	r := newRunner(m)
	job := &ownedJob{id: "job", ready: true, unfinished: len(made), items: make([]itemState, len(made))}
	for i, events := range made {
		item := &job.items[i]
		item.phase, item.firstStart = phaseRunning, time.Now().Add(-time.Hour)
		for range events {
			item.text.events, item.text.versions = append(item.text.events, []byte("e")), append(item.text.versions, 1)
		}
	}
	r.jobs[job.id] = job
	return r, job
}

func TestCheckpointOrdersByUnsavedEvents(t *testing.T) {
	r, job := checkpointed(rowstoretest.New(), 1, 9, 3, 0, 7)
	var order []int
	for _, part := range r.unsavedSegments(job, 0) {
		order = append(order, part.item)
	}
	if want := []int{1, 4, 2}; !slices.Equal(order, want) {
		t.Errorf("segments of items %v, want %v", order, want)
	}
}

func TestCheckpointStoresAll(t *testing.T) {
	rows := rowstoretest.New()
	r, job := checkpointed(rows, 1, 9, 3, 0, 7, 2, 2, 5)
	r.storeCheckpoint(context.Background(), job, r.unsavedSegments(job, 0))
	for i := range job.items {
		if item := &job.items[i]; item.savedEvents != len(item.text.events) {
			t.Errorf("item %d: %d of %d events stored", i, item.savedEvents, len(item.text.events))
		}
	}
	stored := decodePartials(rows.Rows(TablePartials))
	if len(stored) != 7 || len(stored[1].events) != 9 {
		t.Errorf("decoded output of %d items, %d events of item 1; want 7 items, 9 events", len(stored), len(stored[1].events))
	}
}

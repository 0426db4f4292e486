package rowstore_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// TestCallsSentIntoASilenceEndWhenTheStoreIsBack lets calls begin shortly before
// a silent store answers again.
func TestCallsSentIntoASilenceEndWhenTheStoreIsBack(t *testing.T) {
	const limit = 10 * time.Second
	id := rowstore.RowID{Table: "t", Partition: "p", Key: "k"}
	cases := []struct {
		name string
		call func(ctx context.Context, store rowstore.Store) error
		want error
	}{
		{"commit", func(ctx context.Context, store rowstore.Store) error {
			_, err := store.Commit(ctx, rowstore.Transaction{Puts: []rowstore.Row{{RowID: id}}})
			return err
		}, rowstore.ErrUnknown},
		{"list is sent again", func(ctx context.Context, store rowstore.Store) error {
			_, err := store.List(ctx, "t", "p", "", "", 1)
			return err
		}, nil},
		{"watch", func(ctx context.Context, store rowstore.Store) error {
			_, err := store.Watch(ctx, "t", 0, time.Second)
			return err
		}, rowstore.ErrUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := rowstoretest.New()
				store := rowstore.NewRecall(rows)
				rows.SetFaults(rowstoretest.Faults{Silent: true, Limit: limit})
				began := time.Now()
				ended := make(chan error)
				go func() { ended <- test.call(context.Background(), store) }()
				time.Sleep(3 * time.Second)
				rows.SetFaults(rowstoretest.Faults{})
				err := <-ended
				if took := time.Since(began); took > 3500*time.Millisecond || !errors.Is(err, test.want) {
					t.Errorf("ended after %s with %v, want %v within 3.5 s", took, err, test.want)
				}
				synctest.Wait()
			})
		})
	}
}

// TestCallsToASilentPartitionEndWhenItIsBack lets one partition be silent while the
// others answer.
func TestCallsToASilentPartitionEndWhenItIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := rowstoretest.New()
		store := rowstore.NewRecall(rows)
		put := func(partition string) error {
			_, err := store.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Row{{RowID: rowstore.RowID{Table: "t", Partition: partition}}}})
			return err
		}
		rows.SetFaults(rowstoretest.Faults{Silent: true, Partition: "p", Limit: 10 * time.Second})
		began := time.Now()
		ended := make(chan error)
		go func() { ended <- put("p") }()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if err := put("q"); err != nil {
				t.Fatal(err)
			}
		}
		rows.SetFaults(rowstoretest.Faults{})
		err := <-ended
		if took := time.Since(began); took > 3500*time.Millisecond || !errors.Is(err, rowstore.ErrUnknown) {
			t.Errorf("ended after %s with %v, want an unknown outcome within 3.5 s", took, err)
		}
		synctest.Wait()
	})
}

// TestSlowCallsAreLeftAlone lets a call take long while others are answered.
func TestSlowCallsAreLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := rowstoretest.New()
		store := rowstore.NewRecall(rows)
		rows.SetFaults(rowstoretest.Faults{Slow: 2 * time.Second})
		ended := make(chan error)
		go func() {
			_, err := store.Commit(context.Background(), rowstore.Transaction{Puts: []rowstore.Row{{RowID: rowstore.RowID{Table: "t"}}}})
			ended <- err
		}()
		time.Sleep(100 * time.Millisecond)
		rows.SetFaults(rowstoretest.Faults{})
		for range 18 {
			time.Sleep(100 * time.Millisecond)
			if _, err := store.List(context.Background(), "t", "", "", "", 1); err != nil {
				t.Fatal(err)
			}
		}
		if err := <-ended; err != nil {
			t.Errorf("the slow commit ended with %v", err)
		}
	})
}

// TestProbesEndWithTheCalls checks that a store that stays silent is not probed
// for ever.
func TestProbesEndWithTheCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := rowstoretest.New()
		store := rowstore.NewRecall(rows)
		rows.SetFaults(rowstoretest.Faults{Silent: true, Limit: 2 * time.Second})
		if _, err := store.List(context.Background(), "t", "", "", "", 1); !errors.Is(err, rowstore.ErrUnknown) {
			t.Fatalf("list in a silence: %v", err)
		}
		// The bubble ends only if no goroutine goes on.
		time.Sleep(time.Second)
	})
}

// TestCallWhoseAnswerArrivesIsNotTakenForSilent guards against large answers that are ended as
// soon as a small one overtakes them.
func TestCallWhoseAnswerArrivesIsNotTakenForSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := rowstoretest.New()
		rows.Put("t", "", "k", []byte("v"))
		store := rowstore.NewRecall(&rowstoretest.Arriving{Store: rows, Takes: 5 * time.Second, Every: 100 * time.Millisecond})
		if snapshot, err := store.Watch(t.Context(), "t", 0, 0); err != nil || len(snapshot.Rows) != 1 {
			t.Errorf("%d rows, %v", len(snapshot.Rows), err)
		}
	})
}

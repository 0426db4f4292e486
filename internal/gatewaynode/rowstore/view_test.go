package rowstore_test

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// mirror is what a view's Apply makes of a table.
type mirror struct {
	mu   sync.Mutex
	rows map[string]string
}

func (m *mirror) apply(rows []rowstore.Row, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if complete {
		m.rows = make(map[string]string)
	}
	for _, row := range rows {
		if row.Deleted {
			delete(m.rows, row.Key)
			continue
		}
		m.rows[row.Key] = string(row.Value)
	}
}

func (m *mirror) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		parts = append(parts, key+"="+m.rows[key])
	}
	return strings.Join(parts, " ")
}

// viewTest runs a view of table t in virtual time.
func viewTest(t *testing.T, check func(store *countingStore, view *rowstore.View, seen *mirror)) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Store: rowstoretest.New()}
		seen := &mirror{rows: make(map[string]string)}
		view := rowstore.NewView(nil, rowstore.NewGuard(store), rowstore.ViewConfig{
			Name: "t", Table: "t", Partitions: []string{"", "p"}, Wait: func() time.Duration { return time.Second }, Apply: seen.apply,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			view.Run(ctx)
		}()
		check(store, view, seen)
		cancel()
		<-done
	})
}

// countingStore counts the reads of whole tables.
type countingStore struct {
	*rowstoretest.Store
	lists atomic.Int64
}

// listsMost is after how many reads a store refuses the rest: a view that reads without
// a pause would never let time pass in a test.
const listsMost = 2000

func (s *countingStore) List(ctx context.Context, table, partition, from, to string, limit int) (rowstore.Snapshot, error) {
	if s.lists.Add(1) > listsMost {
		return rowstore.Snapshot{}, rowstore.ErrRefused
	}
	return s.Store.List(ctx, table, partition, from, to, limit)
}

func expect(t *testing.T, seen *mirror, want string) {
	t.Helper()
	if got := seen.String(); got != want {
		t.Fatalf("view holds %q, want %q", got, want)
	}
}

func TestViewFollowsChanges(t *testing.T) {
	viewTest(t, func(store *countingStore, view *rowstore.View, seen *mirror) {
		store.Put("t", "", "a", []byte("1"))
		store.Put("t", "p", "b", []byte("2"))
		store.Put("other", "", "c", []byte("3"))
		time.Sleep(100 * time.Millisecond)
		expect(t, seen, "a=1 b=2")
		store.Put("t", "", "a", []byte("4"))
		store.Delete("t", "p", "b")
		time.Sleep(10 * time.Millisecond)
		expect(t, seen, "a=4")
		if age := view.Status().Age(time.Now()); age > time.Second {
			t.Fatalf("age %s of a view that follows the store", age)
		}
	})
}

func TestViewIsFreshWhileNothingChanges(t *testing.T) {
	viewTest(t, func(store *countingStore, view *rowstore.View, _ *mirror) {
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if age := view.Status().Age(time.Now()); age > 1100*time.Millisecond {
				t.Fatalf("age %s", age)
			}
		}
	})
}

func TestViewKnowsThatItIsOld(t *testing.T) {
	viewTest(t, func(store *countingStore, view *rowstore.View, _ *mirror) {
		time.Sleep(time.Second)
		store.SetFaults(rowstoretest.Faults{Silent: true})
		time.Sleep(10 * time.Second)
		status := view.Status()
		if status.Healthy || status.Age(time.Now()) < 8*time.Second {
			t.Fatalf("status %+v of a view without a store", status)
		}
		store.SetFaults(rowstoretest.Faults{})
		time.Sleep(2 * time.Second)
		if status := view.Status(); !status.Healthy || time.Since(status.HealthySince) > 2*time.Second {
			t.Fatalf("status %+v after the store came back", status)
		}
	})
}

// TestViewThatStaysLostSaysSoAgain guards against failures of which only the first is told.
func TestViewThatStaysLostSaysSoAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		logger := logrus.New()
		logger.SetFormatter(&logrus.JSONFormatter{})
		log := eventlog.New(logger, &output)
		store := rowstoretest.New()
		view := rowstore.NewView(log, store, rowstore.ViewConfig{
			Name: "t", Table: "t", Partitions: []string{""}, Wait: func() time.Duration { return time.Second }, Apply: func([]rowstore.Row, bool) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			view.Run(ctx)
		}()
		time.Sleep(time.Second)
		store.SetFaults(rowstoretest.Faults{Silent: true})
		time.Sleep(9 * time.Second)
		cancel()
		<-done
		log.Close()
		if lost, again := strings.Count(output.String(), `"view_lost"`), strings.Count(output.String(), `"view_still_lost"`); lost != 1 || again < 2 || again > 4 {
			t.Errorf("%d lines about the loss, %d about its lasting", lost, again)
		}
	})
}

// TestViewIsAsOldAsTimeAwayMakesIt: the machine is suspended; by its steady clock the view
// was confirmed a moment ago.
func TestViewIsAsOldAsTimeAwayMakesIt(t *testing.T) {
	var away atomic.Int64
	defer clock.SetAway(func() time.Duration { return time.Duration(away.Load()) })()
	viewTest(t, func(_ *countingStore, view *rowstore.View, _ *mirror) {
		time.Sleep(time.Second)
		away.Store(int64(5 * time.Second))
		if status, now := view.Status(), time.Now(); status.Age(now) < 5*time.Second || status.ProvenAge(now) < 5*time.Second {
			t.Errorf("age %s, proven %s ago, after 5 s away", status.Age(now), status.ProvenAge(now))
		}
		time.Sleep(2 * time.Second)
		if age := view.Status().Age(time.Now()); age > 1100*time.Millisecond {
			t.Errorf("age %s once the store has answered", age)
		}
	})
}

func TestViewReadsWholeTableAfterCompaction(t *testing.T) {
	viewTest(t, func(store *countingStore, view *rowstore.View, seen *mirror) {
		store.Put("t", "", "a", []byte("1"))
		time.Sleep(100 * time.Millisecond)
		store.SetFaults(rowstoretest.Faults{Refuse: true})
		time.Sleep(100 * time.Millisecond)
		store.Delete("t", "", "a")
		store.Put("t", "", "b", []byte("2"))
		store.Compact()
		store.SetFaults(rowstoretest.Faults{})
		time.Sleep(time.Second)
		expect(t, seen, "b=2")
	})
}

// TestViewReadsAtAPaceWhileReadsAreBehindTheHistory: the history is gone up to now, and
// reads are behind that, so that each watch from what was read fails at once.
func TestViewReadsAtAPaceWhileReadsAreBehindTheHistory(t *testing.T) {
	viewTest(t, func(store *countingStore, view *rowstore.View, seen *mirror) {
		store.Put("t", "", "a", []byte("1"))
		store.Put("t", "", "a", []byte("2"))
		store.Compact()
		store.SetFaults(rowstoretest.Faults{Behind: 1})
		time.Sleep(3 * time.Second)
		if lists := store.lists.Load(); lists > 100 {
			t.Errorf("%d reads of partitions in 3 s", lists)
		}
		store.SetFaults(rowstoretest.Faults{})
		time.Sleep(time.Second)
		expect(t, seen, "a=2")
	})
}

// TestViewGoesOnWhereItWasAfterAFailure lets the store fail for a while: with many
// nodes, reading all tables anew is more than a store that has just come back takes.
func TestViewGoesOnWhereItWasAfterAFailure(t *testing.T) {
	for _, fault := range []rowstoretest.Faults{{Refuse: true}, {Silent: true, Limit: time.Second}} {
		viewTest(t, func(store *countingStore, view *rowstore.View, seen *mirror) {
			store.Put("t", "", "a", []byte("1"))
			time.Sleep(2 * time.Second)
			before := store.lists.Load()
			store.SetFaults(fault)
			time.Sleep(3 * time.Second)
			store.Delete("t", "", "a")
			store.Put("t", "p", "b", []byte("2"))
			store.SetFaults(rowstoretest.Faults{})
			time.Sleep(1500 * time.Millisecond)
			expect(t, seen, "b=2")
			if lists := store.lists.Load() - before; lists != 0 {
				t.Errorf("%d reads of whole partitions after a failure", lists)
			}
			if status := view.Status(); !status.Healthy {
				t.Error("the view is not confirmed")
			}
		})
	}
}

func TestViewNeverGoesBack(t *testing.T) {
	viewTest(t, func(store *countingStore, view *rowstore.View, seen *mirror) {
		store.Put("t", "", "a", []byte("1"))
		store.Put("t", "", "a", []byte("2"))
		time.Sleep(100 * time.Millisecond)
		expect(t, seen, "a=2")
		store.SetFaults(rowstoretest.Faults{Behind: 1})
		store.Compact()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			expect(t, seen, "a=2")
		}
	})
}

func TestGuardRefusesReadsThatAreBehind(t *testing.T) {
	store := rowstoretest.New()
	guard := rowstore.NewGuard(store)
	revision, err := guard.Commit(t.Context(), rowstore.Transaction{Puts: []rowstore.Row{{RowID: rowstore.RowID{Table: "t", Key: "a"}}}})
	if err != nil || revision != 1 {
		t.Fatalf("commit: %d, %v", revision, err)
	}
	store.SetFaults(rowstoretest.Faults{Behind: 1})
	if _, err := guard.List(t.Context(), "t", "", "", "", 0); !errors.Is(err, rowstore.ErrStale) {
		t.Fatalf("error %v, want ErrStale", err)
	}
}

func TestListAllReadsPageByPage(t *testing.T) {
	store := rowstoretest.New()
	const count = 1203
	for i := range count {
		store.Put("t", "", string(rune('a'+i%26))+strings.Repeat("x", i/26), nil)
	}
	rows, revision, err := rowstore.ListAll(t.Context(), store, "t", "", "", "")
	if err != nil || len(rows) != count || revision != count {
		t.Fatalf("%d rows at %d, %v", len(rows), revision, err)
	}
}

func TestShardsAreStable(t *testing.T) {
	// The stored layout depends on this.
	for id, want := range map[string]string{"a": "s4", "job-1": "s6", "": "s5"} {
		if got := rowstore.Shard(id); got != want {
			t.Errorf("shard of %q is %s, was %s", id, got, want)
		}
	}
}

// TestKickEndsThePause: a view that follows a table at a slow pace is up to date as soon
// as it is wanted.
func TestKickEndsThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, seen := rowstoretest.New(), &mirror{rows: make(map[string]string)}
		view := rowstore.NewView(nil, store, rowstore.ViewConfig{
			Name: "t", Table: "t", Partitions: []string{""}, Wait: func() time.Duration { return time.Second },
			Pace: func() time.Duration { return time.Minute }, Apply: seen.apply,
		})
		go view.Run(t.Context())
		time.Sleep(time.Second)
		store.Put("t", "", "a", []byte("1"))
		time.Sleep(10 * time.Second)
		expect(t, seen, "")
		view.Kick()
		time.Sleep(time.Millisecond)
		expect(t, seen, "a=1")
	})
}

func TestViewIsReadOnceItIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Store: rowstoretest.New()}
		view := rowstore.NewView(nil, store, rowstore.ViewConfig{
			Name: "t", Table: "t", Partitions: []string{""}, Wait: func() time.Duration { return time.Second },
			Apply: func([]rowstore.Row, bool) {},
		})
		var needed atomic.Bool
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			view.RunOnceNeeded(ctx, needed.Load)
		}()
		time.Sleep(time.Minute + time.Millisecond)
		view.Kick()
		synctest.Wait()
		if lists := store.lists.Load(); lists != 0 {
			t.Errorf("a view that nobody needs was read %d times", lists)
		}
		needed.Store(true)
		view.Kick()
		synctest.Wait()
		if lists := store.lists.Load(); lists != 1 {
			t.Errorf("the view was read %d times at once after it was needed, want 1", lists)
		}
		cancel()
		<-done
	})
}

package digest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// TestRowThatCameAndWentIsNotHeldForGood guards against nodes that read a row from the table which
// came and went while the publisher was behind, so that no change of the digest tells of it.
func TestRowThatCameAndWentIsNotHeldForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		w := newWorld(store, 20)
		reader := start(t, store, "reader", true, 0)
		defer reader.stop()
		time.Sleep(settled)
		reader.way.Set(rowstoretest.Refused)
		// The digest is too old to be followed from the start.
		time.Sleep(3 * time.Second)
		w.put("brief", thing{Matters: 1})
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		follower.crowded.Store(false)
		time.Sleep(time.Second)
		if held, _, _ := follower.believes(time.Now()); held["brief"] != 1 {
			t.Fatalf("follows by %s and has not read the row", follower.mirror.Way())
		}
		follower.crowded.Store(true)
		time.Sleep(2 * lookEvery)
		w.remove("brief")
		reader.way.Set(rowstoretest.Open)
		for range 40 {
			time.Sleep(testFresh / 20)
			now := time.Now()
			held, age, known := follower.believes(now)
			if wrong := w.heldSince(held, now.Add(-age)); known && wrong != "" {
				t.Fatalf("by %s, %s old: %s", follower.mirror.Way(), age, wrong)
			}
		}
		if held, _, _ := follower.believes(time.Now()); held["brief"] != 0 || follower.mirror.Way() != ByDigest {
			t.Errorf("the row that is gone is %d, by %s", held["brief"], follower.mirror.Way())
		}
	})
}

// TestManyNodesLeaveTheTableBeforeADigestIsThere guards against all nodes reading a table for
// whose digest that very reading leaves no room.
func TestManyNodesLeaveTheTableBeforeADigestIsThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		w := newWorld(store, 20)
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(3 * lookEvery)
		if way := follower.mirror.Way(); way != Waiting {
			t.Errorf("follows by %s with no digest there", way)
		}
		w.put("k001", thing{Matters: 5})
		time.Sleep(time.Second)
		if held, _, _ := follower.believes(time.Now()); held["k001"] == 5 {
			t.Error("the table is read while the digest is waited for")
		}
		time.Sleep(testFresh)
		if held, _, _ := follower.believes(time.Now()); held["k001"] != 5 {
			t.Errorf("k001 is %d by %s: nobody publishes, and the table is not read", held["k001"], follower.mirror.Way())
		}
	})
}

// TestTableIsLeftWhileMoreOfItArrives guards against nodes that learn how many they are while an
// answer is under way, and take all of it.
func TestTableIsLeftWhileMoreOfItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		newWorld(store, 20)
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		follower.crowded.Store(false)
		time.Sleep(2 * lookEvery)
		follower.way.Set(rowstoretest.Silenced)
		// Watches that were sent before are answered.
		time.Sleep(testFresh / 2)
		follower.crowded.Store(true)
		time.Sleep(2 * lookEvery)
		if way := follower.mirror.Way(); way != Waiting {
			t.Errorf("follows by %s", way)
		}
	})
}

// TestDigestIsWaitedForAsLongAsTheTableTook guards against nodes that read the table again before
// its publisher can have read it.
func TestDigestIsWaitedForAsLongAsTheTableTook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const took = 4 * testFresh
		store := rowstoretest.New()
		newWorld(store, 20)
		follower := start(t, store, "follower", false, -1)
		time.Sleep(2 * testFresh)
		// The mirror's own goroutine would go on between the two calls.
		follower.stop()
		m := follower.mirror
		m.wait(rowstore.Status{Proven: time.Now().Add(-took)}, false)
		if patience := m.patience(); patience < took {
			t.Errorf("waits for %s after a reading that took %s", patience, took)
		}
	})
}

// TestDigestInTheMakingIsWaitedFor guards against nodes that read the table again while its
// publisher writes the digest.
func TestDigestInTheMakingIsWaitedFor(t *testing.T) {
	const now = 100_000
	most := testFresh
	for _, test := range []struct {
		name string
		// written is the store's clock when a proof was written, 0 for never.
		written int64
		// reached is up to where the digest is whole, 0 if it never was.
		reached int64
		want    bool
	}{
		{"nobody has begun one", 0, 0, false},
		{"the publisher writes", now - 1000, 0, true},
		{"the publisher has stopped", now - 20_000, 0, false},
		{"the publisher writes and is far behind", now - 1000, now - 60_000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := NewFollower(nil, nil, Timing{Fresh: testFresh}, nil, nil)
			if test.written > 0 {
				proof := Proof{Format: Format, Publisher: "a", Round: 2, Unfinished: test.reached == 0}
				if test.reached > 0 {
					proof.Reached = map[string]rowstore.Moment{testSource: {Taken: test.reached}}
				}
				f.note([]rowstore.Row{{RowID: proofID(), Value: encode(proof), Revision: 1}}, test.written)
			}
			f.peekedAt(now, clock.NewMark())
			if got := f.Kept(most, time.Now().Add(-4*testFresh), time.Now()); got != test.want {
				t.Errorf("kept: %t, want %t", got, test.want)
			}
		})
	}
}

// TestTableThatArrivesTooLateIsLeftAgain guards against nodes that go on reading a table which
// their reading together makes old.
func TestTableThatArrivesTooLateIsLeftAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		newWorld(store, 20)
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(2 * testFresh)
		m := follower.mirror
		if way := m.Way(); way != Since {
			t.Fatalf("follows by %s", way)
		}
		now, first := time.Now(), m.patience()
		if m.mayWait(rowstore.Status{Proven: now.Add(-time.Second)}, true, now) {
			t.Error("a table that arrives in time is left")
		}
		late := rowstore.Status{Proven: now.Add(-testFresh - time.Second)}
		if m.mayWait(late, false, now) {
			t.Error("a table is left again before more of it has arrived")
		}
		if !m.mayWait(late, true, now) {
			t.Error("a table that arrives too late is not left")
		}
		m.wait(late, false)
		if again := m.patience(); again != 2*first {
			t.Errorf("waits for %s, %s at first", again, first)
		}
	})
}

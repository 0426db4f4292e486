package digest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

func TestFollowersKnowWhatMatters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		w := newWorld(store, 50)
		reader := start(t, store, "reader", true, 0)
		defer reader.stop()
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(settled)
		if way := follower.mirror.Way(); way != ByDigest || !reader.publisher.Active() {
			t.Errorf("follows by %s; published: %t", way, reader.publisher.Active())
		}
		before := store.Commits()
		for range 10 {
			w.beat()
			time.Sleep(500 * time.Millisecond)
		}
		if wrote := store.Commits() - before; wrote > 8 {
			t.Errorf("%d writes in 5 s in which nothing mattered", wrote)
		}
		w.put("k001", thing{Matters: 7})
		w.put("new", thing{Matters: 8})
		w.remove("k002")
		time.Sleep(time.Second)
		held, age, known := follower.believes(time.Now())
		if held["k001"] != 7 || held["new"] != 8 || len(held) != 50 || !known || age > 2*time.Second {
			t.Errorf("%d held, k001 %d, new %d, %s old (%t)", len(held), held["k001"], held["new"], age, known)
		}
	})
}

// pagedStore calls between after the first page of a table.
type pagedStore struct {
	rowstore.Store
	between func()
}

func (s *pagedStore) List(ctx context.Context, table, partition, from, to string, limit int) (rowstore.Snapshot, error) {
	snapshot, err := s.Store.List(ctx, table, partition, from, to, limit)
	if table == Table && snapshot.More {
		s.between()
	}
	return snapshot, err
}

// TestProofOfALaterPageCoversNoEarlierPage guards against a digest that is read in pages, and
// whose proof on the last page covers changes to rows on the first.
func TestProofOfALaterPageCoversNoEarlierPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const source, key = "backends", "k0000"
		store := rowstoretest.New()
		put := func(round int64) {
			store.Put(Table, Partition, source+"/"+key, encode(entry{Revision: round, Content: encode(round)}))
			proof := Proof{Format: Format, Publisher: "a", Round: round, Reached: map[string]rowstore.Moment{source: {Revision: round, Taken: time.Now().UnixMilli()}}}
			store.Put(Table, Partition, keyProof, encode(proof))
		}
		put(1)
		for i := range 600 {
			store.Put(Table, Partition, fmt.Sprintf("%s/m%04d", source, i), encode(entry{Revision: 1, Content: encode(0)}))
		}
		var held atomic.Int64
		late := false
		paged := &pagedStore{Store: store, between: func() {
			if !late {
				late = true
				put(2)
			}
		}}
		pace := func() time.Duration { return time.Second }
		f := NewFollower(nil, paged, Timing{Fresh: testFresh}, pace, pace)
		f.Attach(source, 0, func(rows []rowstore.Row, _ bool) {
			for _, row := range rows {
				if row.Key == key {
					held.Store(row.Revision)
				}
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.view.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if proven := f.Reached(source).Revision; proven > held.Load() {
				t.Fatalf("proven up to %d, held as of %d", proven, held.Load())
			}
		}
		if held.Load() != 2 || f.Reached(source).Revision != 2 {
			t.Errorf("proven up to %d, held as of %d", f.Reached(source).Revision, held.Load())
		}
	})
}

// TestNobodyPublishes: without a publisher, followers read the table itself.
func TestNobodyPublishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		w := newWorld(store, 20)
		only := start(t, store, "only", true, 0)
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(settled)
		only.stop()
		time.Sleep(testFresh)
		w.put("k001", thing{Matters: 5})
		time.Sleep(time.Second)
		if held, _, _ := follower.believes(time.Now()); held["k001"] != 5 || follower.mirror.Way() != Since {
			t.Errorf("k001 is %d by %s", held["k001"], follower.mirror.Way())
		}
		// Who needs all of the table has to read it whole then.
		follower.wants.Store(true)
		time.Sleep(time.Second)
		if way := follower.mirror.Way(); way != Whole {
			t.Errorf("reads %s", way)
		}
	})
}

// TestLaterFormatIsNotFollowed: the digest of a later build is neither read nor taken over.
func TestLaterFormatIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		newWorld(store, 20)
		proof := Proof{Format: Format + 1, Publisher: "later", Reached: map[string]rowstore.Moment{testSource: {Revision: 1 << 40, Taken: 1 << 60}}}
		store.Put(Table, Partition, keyProof, encode(proof))
		reader := start(t, store, "reader", true, 0)
		defer reader.stop()
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(20 * time.Second)
		if reader.publisher.Active() || follower.mirror.Way() != Whole {
			t.Errorf("published: %t, followed by %s", reader.publisher.Active(), follower.mirror.Way())
		}
	})
}

// TestNoBeliefIsOlderThanItClaims plays readers that are killed, frozen, cut off and
// silenced, a store that loses answers and its history, and rows that change: whatever a
// node claims the age of its belief to be, nothing in it is older.
func TestNoBeliefIsOlderThanItClaims(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func play(t *testing.T, random *rand.Rand) {
	store := rowstoretest.New()
	w := newWorld(store, 30)
	var players []*player
	join := func(name string, rank int) *player { return start(t, store, name, rank >= 0, rank) }
	for rank := range 3 {
		players = append(players, join(fmt.Sprint("reader", rank), rank))
	}
	for i := range 3 {
		players = append(players, join(fmt.Sprint("follower", i), -1))
	}
	defer func() {
		for _, p := range players {
			p.stop()
		}
		// Calls that are frozen end.
		time.Sleep(20 * time.Second)
	}()
	known, followed := 0, 0
	for range 1500 {
		time.Sleep(40 * time.Millisecond)
		disturb(random, store, w, players, join)
		for _, p := range players {
			now := time.Now()
			held, age, claims := p.believes(now)
			if !claims {
				continue
			}
			known++
			if p.mirror.Way() == ByDigest {
				followed++
			}
			if wrong := w.heldSince(held, now.Add(-age)); wrong != "" {
				t.Errorf("%s by %s claims %s: %s", p.name, p.mirror.Way(), age, wrong)
				return
			}
		}
	}
	if known == 0 || followed == 0 {
		t.Errorf("%d beliefs, %d of them by the digest: nothing was played", known, followed)
	}
}

// disturb does one thing of those that may happen.
func disturb(random *rand.Rand, store *rowstoretest.Store, w *world, players []*player, join func(string, int) *player) {
	i := random.IntN(len(players))
	p, key := players[i], fmt.Sprintf("k%03d", random.IntN(40))
	switch random.IntN(60) {
	case 0, 1, 2, 3, 4, 5:
		w.put(key, thing{Matters: random.IntN(1000)})
	case 6:
		if _, there := w.now[key]; there {
			w.remove(key)
		}
	case 7, 8:
		w.beat()
	case 9:
		p.late.freeze(time.Duration(random.IntN(6000)) * time.Millisecond)
	case 10:
		p.way.Set(rowstoretest.Manner(random.IntN(4)))
	case 11, 12, 13, 14:
		p.way.Set(rowstoretest.Open)
	case 15:
		p.stop()
		players[i] = join(p.name, int(p.rank.Load()))
	case 16:
		store.SetFaults(rowstoretest.Faults{LoseAnswers: true, Limit: 200 * time.Millisecond})
	case 17:
		store.SetFaults(rowstoretest.Faults{Slow: 300 * time.Millisecond})
	case 18, 19, 20, 21:
		store.SetFaults(rowstoretest.Faults{})
	case 22:
		store.Compact()
	}
}

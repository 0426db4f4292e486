package digest

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

const (
	testTable  = "source"
	testSource = "things"
	testFresh  = 5 * time.Second
	// settled is the time after which a digest is published and followed where nothing is
	// amiss: two fifths of Fresh until it is begun, a watch each of the table and the digest.
	settled = 10 * time.Second
)

// thing is a row of the table: what matters of it, and what does not.
type thing struct {
	Matters int `json:"matters"`
	Beat    int `json:"beat"`
}

// player is a node that follows the table.
type player struct {
	name string
	way  *rowstoretest.Way
	late *lateStore
	// rank is the node's place among those that could publish, wants, that it needs the table,
	// crowded, that nodes are known to be many.
	rank    atomic.Int64
	wants   atomic.Bool
	crowded atomic.Bool

	mu sync.Mutex
	// held is what the node believes: of each key what matters, and of which revision.
	held map[string]heldThing

	follower  *Follower
	mirror    *Mirror
	publisher *Publisher
	cancel    context.CancelFunc
	group     sync.WaitGroup
	t         *testing.T
}

type heldThing struct {
	matters  int
	revision int64
}

// lateStore is a store whose answers a process reads long after they were given, as one that
// is frozen does.
type lateStore struct {
	rowstore.Store
	mu   sync.Mutex
	thaw time.Time
	// slow is the table that is listed in a time of slowness, listed how often it was since.
	slow     string
	slowness time.Duration
	listed   int
}

// slowListing lets each reading of more than one row of a table take a time from now on.
func (s *lateStore) slowListing(table string, slowness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow, s.slowness, s.listed = table, slowness, 0
}

// listings returns how often the table of slowListing was read.
func (s *lateStore) listings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed
}

// slownessOf returns how long a reading of up to some rows of a table takes, and counts it.
func (s *lateStore) slownessOf(table string, limit int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table != s.slow || limit <= 1 {
		return 0
	}
	s.listed++
	return s.slowness
}

func (s *lateStore) freeze(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thaw = time.Now().Add(duration)
}

func (s *lateStore) wait() {
	s.mu.Lock()
	left := time.Until(s.thaw)
	s.mu.Unlock()
	time.Sleep(left)
}

func (s *lateStore) Commit(ctx context.Context, transaction rowstore.Transaction) (int64, error) {
	s.wait()
	defer s.wait()
	return s.Store.Commit(ctx, transaction)
}

func (s *lateStore) List(ctx context.Context, table, partition, from, to string, limit int) (rowstore.Snapshot, error) {
	s.wait()
	defer s.wait()
	time.Sleep(s.slownessOf(table, limit))
	return s.Store.List(ctx, table, partition, from, to, limit)
}

func (s *lateStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) (rowstore.Snapshot, error) {
	s.wait()
	defer s.wait()
	return s.Store.Watch(ctx, table, after, wait)
}

// start starts a node; one that wants the table reads it, and publishes by its rank.
func start(t *testing.T, store *rowstoretest.Store, name string, wants bool, rank int) *player {
	p := &player{name: name, held: make(map[string]heldThing), t: t}
	p.rank.Store(int64(rank))
	p.wants.Store(wants)
	p.crowded.Store(true)
	p.way = rowstoretest.NewWay(store, time.Second)
	p.late = &lateStore{Store: p.way}
	own := rowstore.NewGuard(p.late)
	timing := Timing{Fresh: testFresh}
	wait := timing.WatchWait
	pace := func() time.Duration { return 300 * time.Millisecond }
	view := rowstore.NewView(nil, own, rowstore.ViewConfig{
		Name: testTable, Table: testTable, Partitions: []string{""}, Wait: wait, Pace: pace, Apply: p.applyTable,
	})
	p.follower = NewFollower(nil, own, timing, wait, pace)
	p.mirror = NewMirror(MirrorConfig{
		Source: testSource, View: view, Apply: p.applyDigest, Sum: p.sum, Follower: p.follower, Timing: timing,
		Wanted: func(time.Time) bool { return p.wants.Load() }, Crowded: p.crowded.Load,
	})
	p.publisher = NewPublisher(PublisherConfig{
		Store: own, Self: name, Incarnation: time.Now().UnixNano(), Timing: timing, TransactionRows: 100, Follower: p.follower,
		Source: Source{Name: testSource, Reached: p.mirror.Reached, Outage: p.mirror.Outage, Keys: p.keys, Entry: p.entry, Sum: thingSum},
		Rank:   func(string, time.Time) int { return int(p.rank.Load()) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.group.Go(func() { p.mirror.Run(ctx) })
	p.group.Go(func() { p.publisher.Run(ctx) })
	p.group.Go(func() {
		p.follower.Run(ctx, true, p.mirror.FollowFrom)
	})
	return p
}

func (p *player) stop() {
	p.cancel()
	p.group.Wait()
}

func (p *player) applyTable(rows []rowstore.Row, complete bool) {
	p.apply(rows, complete, func(value []byte) int {
		var read thing
		if err := json.Unmarshal(value, &read); err != nil {
			p.t.Error(err)
		}
		return read.Matters
	})
	if complete {
		p.publisher.TouchAll()
	}
	for _, row := range rows {
		p.publisher.Touch(row.Key)
	}
}

func (p *player) applyDigest(rows []rowstore.Row, complete bool) {
	p.apply(rows, complete, func(value []byte) int {
		var matters int
		if err := json.Unmarshal(value, &matters); err != nil {
			p.t.Error(err)
		}
		return matters
	})
}

func (p *player) apply(rows []rowstore.Row, complete bool, read func([]byte) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		held := p.held[row.Key]
		switch {
		case row.Deleted:
			delete(p.held, row.Key)
		case row.Revision >= held.revision:
			p.held[row.Key] = heldThing{matters: read(row.Value), revision: row.Revision}
		}
	}
	for key := range p.held {
		if complete && !present[key] {
			delete(p.held, key)
		}
	}
}

func (p *player) keys() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key := range p.held {
		keys = append(keys, key)
	}
	return keys
}

func (p *player) entry(key string) (json.RawMessage, int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, present := p.held[key]
	if !present {
		return nil, 0, false
	}
	return encode(held.matters), held.revision, true
}

// thingSum is what a row adds to the sum of a digest.
func thingSum(key string, content json.RawMessage) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %s", key, content)
	return hash.Sum64()
}

func (p *player) sum() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := uint64(0)
	for key, held := range p.held {
		sum += thingSum(key, encode(held.matters))
	}
	return sum
}

// believes returns what a node holds and how old it claims that to be.
func (p *player) believes(now time.Time) (held map[string]int, age time.Duration, known bool) {
	// The age first: what is read after it is no older.
	age, known = p.mirror.Age(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	held = make(map[string]int, len(p.held))
	for key, h := range p.held {
		held[key] = h.matters
	}
	return held, age, known && p.mirror.Way() != Unread
}

// world writes the table and remembers what stood in it when.
type world struct {
	store *rowstoretest.Store
	now   map[string]thing
	// was holds what mattered, by the moment from which on.
	was []past
}

type past struct {
	from time.Time
	held map[string]int
}

func newWorld(store *rowstoretest.Store, things int) *world {
	w := &world{store: store, now: make(map[string]thing)}
	for i := range things {
		w.put(fmt.Sprintf("k%03d", i), thing{})
	}
	return w
}

func (w *world) put(key string, t thing) {
	w.now[key] = t
	w.store.Put(testTable, "", key, encode(t))
	w.remember()
}

func (w *world) remove(key string) {
	delete(w.now, key)
	w.store.Delete(testTable, "", key)
	w.remember()
}

func (w *world) remember() {
	held := make(map[string]int, len(w.now))
	for key, t := range w.now {
		held[key] = t.Matters
	}
	w.was = append(w.was, past{from: time.Now(), held: held})
}

// beat writes all rows again; nothing that matters changes.
func (w *world) beat() {
	for key, t := range w.now {
		t.Beat++
		w.put(key, t)
	}
}

// heldSince tells whether belief is nowhere older than a moment: each key is as it was then
// or at some time since.
func (w *world) heldSince(belief map[string]int, moment time.Time) string {
	from := 0
	for i := range w.was {
		// What is written at the moment itself may be missing.
		if w.was[i].from.Before(moment) {
			from = i
		}
	}
	keys := make(map[string]bool)
	for key := range belief {
		keys[key] = true
	}
	for key := range w.was[from].held {
		keys[key] = true
	}
	for key := range keys {
		value, present := belief[key]
		ever := false
		for _, p := range w.was[from:] {
			was, there := p.held[key]
			ever = ever || there == present && was == value
		}
		if !ever {
			return fmt.Sprintf("%s is believed to be %d (%t)", key, value, present)
		}
	}
	return ""
}

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

// TestPublisherIsReplaced: each row ends the publisher in another way; its followers hear of
// what changes then within Fresh.
func TestPublisherIsReplaced(t *testing.T) {
	for name, end := range map[string]func(p *player){
		"gone":       func(p *player) { p.stop() },
		"frozen":     func(p *player) { p.late.freeze(8 * time.Second) },
		"refused":    func(p *player) { p.way.Set(rowstoretest.Refused) },
		"silenced":   func(p *player) { p.way.Set(rowstoretest.Silenced) },
		"no keeper":  func(p *player) { p.rank.Store(-1) },
		"turns away": func(p *player) { p.wants.Store(false); p.rank.Store(-1) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := rowstoretest.New()
				w := newWorld(store, 150)
				first := start(t, store, "first", true, 0)
				second := start(t, store, "second", true, 1)
				for _, p := range []*player{first, second} {
					defer p.stop()
				}
				follower := start(t, store, "follower", false, -1)
				defer follower.stop()
				time.Sleep(settled)
				if second.publisher.Active() {
					first, second = second, first
				}
				if !first.publisher.Active() || follower.mirror.Way() != ByDigest {
					t.Errorf("published: %t, followed by %s", first.publisher.Active(), follower.mirror.Way())
				}
				end(first)
				w.put("k003", thing{Matters: 9})
				time.Sleep(testFresh)
				if held, _, _ := follower.believes(time.Now()); held["k003"] != 9 {
					t.Errorf("k003 is %d", held["k003"])
				}
				first.way.Set(rowstoretest.Open)
				time.Sleep(2 * testFresh)
				if !second.publisher.Active() || name != "gone" && first.publisher.Active() {
					t.Errorf("publishing: first %t, second %t", first.publisher.Active(), second.publisher.Active())
				}
				if way := follower.mirror.Way(); way != ByDigest {
					t.Errorf("followed by %s", way)
				}
			})
		})
	}
}

// TestSlowReadingOfTheDigestKeepsThePublishing guards against readers that take the publishing
// over from one which has taken it over and is still reading the digest.
func TestSlowReadingOfTheDigestKeepsThePublishing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		w := newWorld(store, 150)
		first := start(t, store, "first", true, 0)
		time.Sleep(settled)
		readers := []*player{start(t, store, "second", true, 1), start(t, store, "third", true, 2)}
		for _, p := range readers {
			defer p.stop()
		}
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(settled)
		for _, p := range readers {
			p.late.slowListing(Table, 4*testFresh/5)
		}
		first.stop()
		for began := time.Now(); time.Since(began) < 3*testFresh; {
			time.Sleep(testFresh / 50)
			if standing, _ := follower.follower.Standing(); standing.Proof.Round == 1 && !standing.Proof.Unfinished {
				t.Fatalf("%s has read nothing yet, and its proof is finished", standing.Proof.Publisher)
			}
		}
		w.put("k003", thing{Matters: 9})
		time.Sleep(testFresh)
		if held, age, _ := follower.believes(time.Now()); held["k003"] != 9 || follower.mirror.Way() != ByDigest {
			t.Errorf("k003 is %d, %s old, followed by %s", held["k003"], age, follower.mirror.Way())
		}
		if takeovers := readers[0].late.listings() + readers[1].late.listings(); takeovers != 1 {
			t.Errorf("the digest was read by %d readers to take it over", takeovers)
		}
	})
}

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

// TestLostAnswersOfThePublisher: a write whose answer is lost is settled by the next one, and
// what it was about is written once more.
func TestLostAnswersOfThePublisher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rowstoretest.New()
		w := newWorld(store, 20)
		reader := start(t, store, "reader", true, 0)
		defer reader.stop()
		follower := start(t, store, "follower", false, -1)
		defer follower.stop()
		time.Sleep(settled)
		store.SetFaults(rowstoretest.Faults{LoseAnswers: true, Limit: 300 * time.Millisecond})
		for i := range 10 {
			w.put("k001", thing{Matters: i % 2})
			time.Sleep(200 * time.Millisecond)
		}
		store.SetFaults(rowstoretest.Faults{})
		time.Sleep(time.Second)
		if held, age, _ := follower.believes(time.Now()); !reader.publisher.Active() || held["k001"] != 1 || age > 2*time.Second {
			t.Errorf("publishes: %t; k001 is %d, %s old", reader.publisher.Active(), held["k001"], age)
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
		defer follower.stop()
		time.Sleep(2 * testFresh)
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

// TestBusyPublisherIsNotReplaced guards against keepers that take the publishing over from each
// other in turn and never publish.
func TestBusyPublisherIsNotReplaced(t *testing.T) {
	const (
		now  = 100_000
		old  = now - 60_000
		late = now - 1000
	)
	proof := func(publisher string, round int64, unfinished bool) Proof {
		return Proof{Format: Format, Publisher: publisher, Round: round, Unfinished: unfinished, Reached: map[string]rowstore.Moment{testSource: {Taken: old}}}
	}
	for _, test := range []struct {
		name   string
		proofs []Proof
		// taken is the store's clock as each of the proofs is seen.
		taken []int64
		// outage is how long the table was lost until it was read again a while ago.
		outage, ago time.Duration
		want        bool
	}{
		{"nobody ever published", nil, nil, 0, 0, true},
		{"publisher is silent", []Proof{proof("a", 1, false)}, []int64{old}, 0, 0, true},
		{"publisher writes and is far behind", []Proof{proof("a", 1, false), proof("a", 2, false)}, []int64{old, late}, 0, 0, true},
		{"publisher has just taken over", []Proof{proof("a", 9, false), proof("b", 1, false)}, []int64{old, late}, 0, 0, false},
		{"publisher wrote a part of its changes", []Proof{proof("a", 1, false), proof("a", 2, true)}, []int64{old, late}, 0, 0, false},
		{"an outage is just over", []Proof{proof("a", 1, false)}, []int64{old}, 7 * time.Second, time.Second, false},
		{"an outage has been over for long", []Proof{proof("a", 1, false)}, []int64{old}, 7 * time.Second, 4 * time.Second, true},
		{"a call failed now and then", []Proof{proof("a", 1, false)}, []int64{old}, 400 * time.Millisecond, time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := NewFollower(nil, nil, Timing{Fresh: testFresh}, nil, nil)
			f.standing.FirstTaken, f.known = late, true
			for i := range test.proofs {
				f.note([]rowstore.Row{{RowID: proofID(), Value: encode(test.proofs[i]), Revision: int64(i + 1)}}, test.taken[i])
			}
			p := NewPublisher(PublisherConfig{
				Source: Source{Name: testSource, Outage: func() (time.Duration, time.Time) { return test.outage, time.Now().Add(-test.ago) }},
				Timing: Timing{Fresh: testFresh}, Follower: f, Rank: func(string, time.Time) int { return 0 },
			})
			if got := p.mayTakeOver(rowstore.Moment{Taken: now}, time.Now()); got != test.want {
				t.Errorf("takes over: %t, want %t", got, test.want)
			}
		})
	}
}

package digest

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

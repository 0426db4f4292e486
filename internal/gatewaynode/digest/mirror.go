package digest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Way is how a node follows a source.
type Way int

// The ways.
const (
	// Unread: nothing has been read yet.
	Unread Way = iota
	// Whole: the table itself, all of which was read.
	Whole
	// Since: the table itself, from where the digest ended on; what a digest leaves out of
	// older rows is not known.
	Since
	// ByDigest: the digest.
	ByDigest
	// Between: the digest is left and the table not read yet.
	Between
	// Waiting: the table was left for a digest that is not whole yet, or was not compared with
	// what is held.
	Waiting
)

var wayNames = map[Way]string{Unread: "unread", Whole: "table", Since: "table since the digest", ByDigest: "digest", Between: "none", Waiting: "waiting for the digest"}

// String returns the way for logs.
func (w Way) String() string { return wayNames[w] }

// MirrorConfig configures a Mirror.
type MirrorConfig struct {
	// Source is the name of the source.
	Source string
	// View mirrors the table itself; it is run by the Mirror alone.
	View *rowstore.View
	// Apply takes what the digest says.
	Apply Apply
	// Sum returns the sum over all rows that are held of what has to be right in each, such
	// as the key and the address.
	Sum      func() uint64
	Follower *Follower
	Log      *eventlog.Log
	Timing   Timing
	// Wanted tells whether this node needs all of the table.
	Wanted func(now time.Time) bool
	// Crowded tells whether nodes are too many for those that do not need all of the table to
	// read it while there is no digest yet.
	Crowded func() bool
}

// Mirror follows a source in the way that fits: by the digest where that is kept and all of
// the table is not needed. It is safe for concurrent use.
type Mirror struct {
	config MirrorConfig
	// spread is this node's place among those that leave an old digest, from 0 to 1.
	spread float64
	// onLoaded is closed once the source is known whole.
	onLoaded chan struct{}

	mu     sync.Mutex
	way    Way
	loaded bool
	// left is when the digest, or the table for it, was left, leftAge how old what is held
	// was then.
	left    clock.Mark
	leftAge time.Duration
	// base is the revision as of which the table was held when it was left last.
	base int64
	// reloaded tells that the digest was asked to be read whole since then.
	reloaded bool
	// waits counts how often the table was left for a digest that was not fresh since the digest
	// was last followed.
	waits int
}

// NewMirror returns a mirror that Run keeps up to date. It is made before the follower runs.
func NewMirror(config MirrorConfig) *Mirror {
	config.Follower.Attach(config.Source, 0, config.Apply)
	return &Mirror{config: config, spread: rand.Float64(), onLoaded: make(chan struct{})}
}

// Loaded is closed once the source is known whole for the first time.
func (m *Mirror) Loaded() <-chan struct{} { return m.onLoaded }

// Way returns how the source is followed.
func (m *Mirror) Way() Way {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.way
}

// Age returns how long ago what is held was certain to be all that was written, and whether
// that is known.
func (m *Mirror) Age(now time.Time) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.way {
	case Unread:
		return 0, false
	case ByDigest:
		return m.config.Follower.Age(m.config.Source, now)
	case Between:
		return m.ageSinceLeft(now), true
	case Waiting:
		return m.waitingAge(now)
	}
	return m.config.View.Status().ProvenAge(now), true
}

// ageSinceLeft returns the age of what was held when the digest or the table was left. The
// lock is held.
func (m *Mirror) ageSinceLeft(now time.Time) time.Duration {
	return m.leftAge + now.Sub(m.left.Earlier())
}

// waitingAge is Age of a node that waits for the digest, whose rows may be older than the
// table was when it was left. The lock is held.
func (m *Mirror) waitingAge(now time.Time) (time.Duration, bool) {
	since := m.ageSinceLeft(now)
	if !m.config.Follower.HandedOn(m.config.Source) {
		return since, true
	}
	age, known := m.config.Follower.Age(m.config.Source, now)
	return max(age, since), known
}

// FollowFrom returns the revision from which on this node needs the digest, and whether it
// may follow it from there: it holds the table as of then.
func (m *Mirror) FollowFrom() (revision int64, ok bool) {
	status := m.config.View.Status()
	way := m.Way()
	return status.Reached.Revision, status.Loaded && (way == Whole || way == Waiting)
}

// Reached returns the moment up to which all of the table was read, and whether that is
// what this node does.
func (m *Mirror) Reached() (rowstore.Moment, bool) {
	status := m.config.View.Status()
	return status.Reached, m.Way() == Whole && status.Loaded
}

// Outage returns for how long the table could not be read at last, and when that ended.
func (m *Mirror) Outage() (lasted time.Duration, ended time.Time) {
	status := m.config.View.Status()
	return status.LostFor, status.HealthySince
}

func (m *Mirror) set(way Way, cause string) {
	m.mu.Lock()
	before := m.way
	m.way = way
	if way == ByDigest {
		m.waits = 0
	}
	if way != Unread && !m.loaded {
		m.loaded = true
		close(m.onLoaded)
	}
	m.mu.Unlock()
	if before == way {
		return
	}
	age, _ := m.Age(time.Now())
	m.config.Log.Info(eventlog.WayChanged, eventlog.Fields{
		eventlog.View: m.config.Source, "before": before.String(), "way": way.String(), eventlog.Cause: cause, "age_ms": age.Milliseconds(),
	})
}

// lookEvery is how often it is looked whether another way fits.
const lookEvery = 200 * time.Millisecond

// Run keeps the source up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	whole, from := true, int64(0)
	if m.config.Follower.Peeked(ctx) {
		whole = m.byDigest(ctx)
	}
	for {
		from = m.leave()
		if ctx.Err() != nil {
			return
		}
		m.direct(ctx, whole, from)
		whole = m.byDigest(ctx)
	}
}

// leave ends the following of the digest and returns the revision from which on the table has
// to be read.
func (m *Mirror) leave() int64 {
	waiting := m.Way() == Waiting
	m.noteLeft()
	digested := m.config.Follower.Detach(m.config.Source).Revision
	if waiting && !m.config.Follower.HandedWhole(m.config.Source) {
		// The digest was never whole: its proof says nothing of what this node holds.
		return m.config.View.Status().Reached.Revision
	}
	return digested
}

// noteLeft notes how old the digest is when it is left: it claims to be no younger from then
// on.
func (m *Mirror) noteLeft() {
	m.mu.Lock()
	defer m.mu.Unlock()
	left := clock.NewMark()
	var age time.Duration
	var known bool
	switch m.way {
	case ByDigest:
		age, known = m.config.Follower.Age(m.config.Source, left.At())
	case Waiting:
		age, known = m.waitingAge(left.At())
	default:
		return
	}
	m.way, m.left, m.leftAge = Between, left, age
	if !known {
		// The store's clock went back.
		m.way = Unread
	}
}

// direct follows the table itself, which is read whole or from a revision on, until the
// digest will do or is to be waited for, to which it is attached then.
func (m *Mirror) direct(ctx context.Context, whole bool, from int64) {
	for ctx.Err() == nil {
		m.run(ctx, whole, from)
		// The view has ended, and goes on from where it was if need be.
		status, now := m.config.View.Status(), time.Now()
		whole, from = m.Way() != Whole && m.config.Wanted(now), status.Reached.Revision
		if whole || !m.config.Follower.Attach(m.config.Source, from, m.config.Apply) {
			continue
		}
		m.wait(status, m.fresh(now))
		return
	}
}

// wait leaves the table, held with a status, for the digest, which may be fresh, or not whole
// yet.
func (m *Mirror) wait(status rowstore.Status, fresh bool) {
	cause := "the digest is kept"
	m.mu.Lock()
	m.left = clock.NewMark()
	m.leftAge = status.ProvenAge(m.left.At())
	m.base, m.reloaded = status.Reached.Revision, false
	if !fresh {
		m.waits++
		cause = "nodes are many, and this one does not need the table"
	}
	m.mu.Unlock()
	m.set(Waiting, cause)
}

// verified tells whether what is held is what the digest holds, after the table was left for it.
// If it is not, the digest is read whole.
func (m *Mirror) verified() bool {
	m.mu.Lock()
	way, base := m.way, m.base
	m.mu.Unlock()
	if way == ByDigest {
		return true
	}
	same, known := m.config.Follower.Compare(m.config.Source, base, m.config.Sum)
	if known && !same && !m.reloaded {
		m.reloaded = true
		m.config.Log.Warn(eventlog.DigestDiffers, eventlog.Fields{eventlog.View: m.config.Source, eventlog.Revision: base})
		m.config.Follower.Reload()
	}
	return known && same
}

// mayWait tells whether the table, held with a status, is to be left for a digest that is not
// whole yet: once at first, whatever of it is still arriving, and again if so many read the table
// that it is old by the time that more of it has arrived. Whoever is to publish the digest has to
// read it too.
func (m *Mirror) mayWait(status rowstore.Status, more bool, now time.Time) bool {
	if !m.config.Crowded() || !m.config.Follower.Usable() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waits == 0 || more && status.ProvenAge(now) > m.config.Timing.Fresh
}

// maxPatienceDoublings bounds the growth of the time for which the digest is waited for.
const maxPatienceDoublings = 3

// patience returns for how long the digest is waited for. It doubles with each wait in vain, so
// that nodes which all read a table too large for the store's link leave room for the publisher.
// The publisher reads the table too, which takes as long as it took this node.
func (m *Mirror) patience() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	doublings := min(max(m.waits-1, 0), maxPatienceDoublings)
	patience := m.config.Timing.staleAfter(m.spread) << doublings
	if m.way == Waiting {
		return max(patience, m.leftAge)
	}
	return patience
}

// run runs the view of the table until another way fits.
func (m *Mirror) run(ctx context.Context, whole bool, from int64) {
	running, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	began := m.config.View.Status().Reached
	go func() {
		defer close(done)
		if whole {
			m.config.View.Run(running)
		} else {
			m.config.View.RunFrom(running, from)
		}
	}()
	defer func() {
		cancel()
		<-done
	}()
	last := began
	for m.rest(ctx) {
		status := m.config.View.Status()
		if status.Reached == began {
			continue
		}
		more := status.Reached != last
		last = status.Reached
		if whole {
			m.set(Whole, "the table was read whole")
		} else if m.Way() != Whole {
			m.set(Since, "the table goes on where the digest ended")
		}
		now := time.Now()
		switch {
		case m.config.Wanted(now):
			if m.Way() == Since {
				return
			}
		case m.mayWait(status, more, now), status.Healthy && m.fresh(now):
			return
		}
	}
}

// rest waits until the view is to be looked at, at first until it has been read, since a node
// serves nothing before that. It is false once ctx has ended.
func (m *Mirror) rest(ctx context.Context) bool {
	if m.config.View.Status().Loaded {
		return pause.For(ctx, lookEvery)
	}
	select {
	case <-ctx.Done():
		return false
	case <-m.config.View.Loaded():
		return true
	}
}

// fresh tells whether the digest is fresh enough to be begun to be followed.
func (m *Mirror) fresh(now time.Time) bool {
	age, known := m.config.Follower.Age(m.config.Source, now)
	return known && age <= m.config.Timing.usableMost()
}

// byDigest follows the digest, or waits for it to be whole, for as long as it is kept. It tells
// whether the table has to be read whole then.
func (m *Mirror) byDigest(ctx context.Context) (whole bool) {
	began := clock.NewMark()
	most := m.patience()
	for pause.For(ctx, lookEvery) {
		now := time.Now()
		age, known := m.config.Follower.Age(m.config.Source, now)
		if known && age <= m.config.Timing.staleAfter(m.spread) && m.verified() {
			m.set(ByDigest, "the digest is whole")
		}
		if m.config.Wanted(now) {
			return true
		}
		if !m.config.Follower.Kept(most, began.Earlier(), now) {
			return m.Way() == Unread
		}
	}
	return false
}

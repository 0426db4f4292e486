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
)

var wayNames = map[Way]string{Unread: "unread", Whole: "table", Since: "table since the digest", ByDigest: "digest", Between: "none"}

// String returns the way for logs.
func (w Way) String() string { return wayNames[w] }

// MirrorConfig configures a Mirror.
type MirrorConfig struct {
	// Source is the name of the source.
	Source string
	// View mirrors the table itself; it is run by the Mirror alone.
	View *rowstore.View
	// Apply takes what the digest says.
	Apply    Apply
	Follower *Follower
	Log      *eventlog.Log
	Timing   Timing
	// Wanted tells whether this node needs all of the table.
	Wanted func(now time.Time) bool
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
	// left is when the digest was left, leftAge how old it was then.
	left    clock.Mark
	leftAge time.Duration
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
		return m.leftAge + now.Sub(m.left.Earlier()), true
	}
	return m.config.View.Status().ProvenAge(now), true
}

// Reached returns the moment up to which all of the table was read, and whether that is
// what this node does.
func (m *Mirror) Reached() (rowstore.Moment, bool) {
	status := m.config.View.Status()
	return status.Reached, m.Way() == Whole && status.Loaded
}

func (m *Mirror) set(way Way, cause string) {
	m.mu.Lock()
	before := m.way
	m.way = way
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

const (
	// lookEvery is how often it is looked whether another way fits.
	lookEvery = 200 * time.Millisecond
	// firstMost is how long a node that starts waits for the digest, which takes as long as
	// the table itself to be read, before it reads that.
	firstMost = 2 * time.Second
)

// Run keeps the source up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	whole, from := true, int64(0)
	if m.config.Follower.Peeked(ctx) {
		whole = m.byDigest(ctx, time.Now().Add(firstMost))
	}
	for {
		from = m.leave().Revision
		if ctx.Err() != nil {
			return
		}
		m.direct(ctx, whole, from)
		whole = m.byDigest(ctx, time.Time{})
	}
}

// leave ends the following of the digest and returns the moment up to which it was followed.
func (m *Mirror) leave() rowstore.Moment {
	m.noteLeft()
	return m.config.Follower.Detach(m.config.Source)
}

// noteLeft notes how old the digest is when it is left: it claims to be no younger from then
// on.
func (m *Mirror) noteLeft() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.way != ByDigest {
		return
	}
	left := clock.NewMark()
	age, known := m.config.Follower.Age(m.config.Source, left.At())
	m.way, m.left, m.leftAge = Between, left, age
	if !known {
		// The store's clock went back.
		m.way = Unread
	}
}

// direct follows the table itself, which is read whole or from a revision on, until the
// digest will do, to which it is attached then.
func (m *Mirror) direct(ctx context.Context, whole bool, from int64) {
	for ctx.Err() == nil {
		m.run(ctx, whole, from)
		// The view has ended, and goes on from where it was if need be.
		reached := m.config.View.Status().Reached.Revision
		whole, from = m.Way() != Whole && m.config.Wanted(time.Now()), reached
		if !whole && m.config.Follower.Attach(m.config.Source, reached, m.config.Apply) {
			m.set(ByDigest, "the digest is kept")
			return
		}
	}
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
	for m.rest(ctx) {
		status := m.config.View.Status()
		if status.Reached == began {
			continue
		}
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
		case m.follow(status, now):
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

// follow tells whether the digest will do for who holds the table with a status.
func (m *Mirror) follow(status rowstore.Status, now time.Time) bool {
	age, known := m.config.Follower.Age(m.config.Source, now)
	return known && status.Healthy && age <= m.config.Timing.usableMost()
}

// byDigest follows the digest until that will not do. It tells whether the table has to be
// read whole then. first, if it is not zero, is until when the digest has to be whole.
func (m *Mirror) byDigest(ctx context.Context, first time.Time) (whole bool) {
	for pause.For(ctx, lookEvery) {
		now := time.Now()
		age, known := m.config.Follower.Age(m.config.Source, now)
		known = known && age <= m.config.Timing.staleAfter(m.spread)
		switch {
		case known && !first.IsZero():
			m.set(ByDigest, "the digest was kept at the start")
			first = time.Time{}
		case !first.IsZero():
			if now.After(first) {
				return true
			}
			continue
		case !known:
			return false
		}
		if m.config.Wanted(now) {
			return true
		}
	}
	return false
}

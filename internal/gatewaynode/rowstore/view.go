package rowstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/pause"
)

// Timing of a view.
const (
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// compactedRest is the time after a loss of the history within which another one is
	// waited out as any failure is: reads may be behind the history that is left, so
	// that each watch from what was read fails at once.
	compactedRest = time.Second
	// recoverWait is how long a watch stays open that follows a failure.
	recoverWait = 20 * time.Millisecond
	// lookForUse is how often RunOnceNeeded looks whether the view is needed.
	lookForUse = 200 * time.Millisecond
	// listPage is the number of rows asked for in one read.
	listPage = 500
)

// ViewConfig says what a View mirrors.
type ViewConfig struct {
	Name       string
	Table      string
	Partitions []string
	// Wait returns how long a watch may stay open without a change. The age of
	// the view never grows far beyond it while the store answers.
	Wait func() time.Duration
	// Pace returns the least time between two answers of a watch that are taken;
	// it folds frequent changes together. Nil takes each at once.
	Pace func() time.Duration
	// Rest returns the most time between a failure and the next try, retryMost if it is
	// nil or less. Where many nodes share what the store takes, tables that can wait
	// leave room for those that cannot.
	Rest func() time.Duration
	// Apply is called with changed rows, in order, from one goroutine. complete
	// marks a whole table: rows not among them are gone.
	Apply func(rows []Row, complete bool)
}

// View mirrors a table and knows how fresh the mirror is. It never goes back:
// a read older than what it holds is dropped.
type View struct {
	config ViewConfig
	store  Store
	log    *eventlog.Log

	mu        sync.Mutex
	revision  int64
	taken     int64
	reached   Moment
	confirmed clock.Mark
	proven    clock.Mark
	loaded    bool
	healthy   bool
	// lost is when the view was lost, told when that was last logged.
	lost, told time.Time
	// lostFor is how long it was lost the last time that it came back.
	lostFor time.Duration
	// reload tells that the table is to be read whole next.
	reload    bool
	onLoaded  chan struct{}
	recovered time.Time
	wakes     chan struct{}
}

// NewView returns a view that Run keeps up to date.
func NewView(log *eventlog.Log, store Store, config ViewConfig) *View {
	return &View{config: config, store: store, log: log, onLoaded: make(chan struct{}), wakes: make(chan struct{}, 1)}
}

// Kick ends a pause between two watches, and the one of RunOnceNeeded: what the view
// holds is wanted now.
func (v *View) Kick() {
	select {
	case v.wakes <- struct{}{}:
	default:
	}
}

// rest waits for a while, until Kick or the end of ctx.
func (v *View) rest(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-v.wakes:
	}
}

// Reload lets the view read the table whole next.
func (v *View) Reload() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reload = true
}

// takeReload tells whether Reload was called since it was last asked.
func (v *View) takeReload() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	reload := v.reload
	v.reload = false
	return reload
}

// Loaded is closed once the view has been read whole for the first time.
func (v *View) Loaded() <-chan struct{} { return v.onLoaded }

// Status tells whether the view has ever been read, when the store last
// confirmed it, since when it has been confirmed without a gap, and up to which
// revision it reaches.
func (v *View) Status() Status {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Status{
		Loaded: v.loaded, Healthy: v.healthy, Confirmed: v.confirmed.Earlier(), Proven: v.proven.Earlier(), HealthySince: v.recovered,
		LostFor:  v.lostFor,
		Revision: v.revision, Reached: v.reached, Answered: Moment{Revision: v.revision, Taken: v.taken},
	}
}

// Status is the freshness of a view. Its times are of the steady clock, less the time that
// the machine was away since: what is older than it seems is told as old as it is.
type Status struct {
	Loaded    bool
	Healthy   bool
	Confirmed time.Time
	// Proven is the moment as of which the view certainly holds all that was written: when
	// the last call that succeeded began. A process that was frozen reads an answer long
	// after it was given.
	Proven       time.Time
	HealthySince time.Time
	// LostFor is how long the view was lost before HealthySince, 0 if it never was.
	LostFor  time.Duration
	Revision int64
	// Reached is the moment of the store up to which all changes were applied.
	Reached Moment
	// Answered is the moment of the newest answer, whose changes may not be applied yet.
	Answered Moment
}

// Moment is a moment of the store: its newest revision, and its own steady clock in
// milliseconds, 0 if the store did not tell.
type Moment struct {
	Revision int64 `json:"revision"`
	Taken    int64 `json:"taken"`
}

// Age returns how long ago the store last confirmed the view.
func (s Status) Age(now time.Time) time.Duration { return now.Sub(s.Confirmed) }

// ProvenAge returns how long ago the view was certain to hold all that was written.
func (s Status) ProvenAge(now time.Time) time.Duration { return now.Sub(s.Proven) }

// RunOnceNeeded is Run from the moment on at which needed tells so for the first time:
// a table is read whole at first, which hundreds of nodes that start together had better
// not all do.
func (v *View) RunOnceNeeded(ctx context.Context, needed func() bool) {
	for ctx.Err() == nil && !needed() {
		v.rest(ctx, lookForUse)
	}
	v.Run(ctx)
}

// Run keeps the view up to date until ctx ends.
func (v *View) Run(ctx context.Context) { v.run(ctx, true) }

// RunFrom is Run of a view whose owner holds the table as of a revision already: it is not
// read whole, unless the history since is gone.
func (v *View) RunFrom(ctx context.Context, revision int64) {
	v.advance(revision, 0)
	v.run(ctx, false)
}

func (v *View) run(ctx context.Context, reload bool) {
	retry, failed := retryFirst, false
	var compacted time.Time
	for ctx.Err() == nil {
		started := clock.NewMark()
		reload = v.takeReload() || reload
		err := v.step(ctx, reload, failed)
		if err == nil {
			v.confirm(started, reload)
			if !reload {
				retry = retryFirst
			}
			reload, failed = false, false
			if v.config.Pace != nil {
				v.rest(ctx, v.config.Pace()-time.Since(started.Earlier()))
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		v.lose(err)
		failed = true
		// What a failed watch missed is still in the history, unless that is gone.
		reload = reload || errors.Is(err, ErrCompacted) || errors.Is(err, ErrStale)
		if errors.Is(err, ErrCompacted) && time.Since(compacted) > compactedRest {
			compacted = time.Now()
			continue
		}
		pause.For(ctx, jitter(retry))
		retry = min(2*retry, v.restMost())
	}
}

// restMost returns the most time between a failure and the next try.
func (v *View) restMost() time.Duration {
	if v.config.Rest == nil {
		return retryMost
	}
	return max(retryMost, v.config.Rest())
}

// jitter spreads pauses, so that nodes which were refused together do not come back
// together.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause+1)
}

// step reads the table whole or what has changed. After a failure it does not wait
// for changes, so that the view is confirmed as soon as the store answers.
func (v *View) step(ctx context.Context, reload, failed bool) error {
	if reload {
		return v.list(ctx)
	}
	wait := v.config.Wait()
	if failed {
		wait = min(wait, recoverWait)
	}
	snapshot, err := v.store.Watch(ctx, v.config.Table, v.at(), wait)
	if err != nil {
		return err
	}
	if snapshot.Revision < v.at() {
		return ErrStale
	}
	v.advance(snapshot.Revision, snapshot.Taken)
	if len(snapshot.Rows) > 0 {
		v.config.Apply(snapshot.Rows, false)
	}
	return nil
}

// list reads all partitions. The watch goes on from the oldest of the reads,
// so that nothing between two of them is missed.
func (v *View) list(ctx context.Context) error {
	var all []Row
	oldest := Moment{Revision: -1}
	for _, partition := range v.config.Partitions {
		rows, first, err := v.listPartition(ctx, partition)
		if err != nil {
			return err
		}
		all = append(all, rows...)
		if oldest.Revision < 0 || first.Revision < oldest.Revision {
			oldest = first
		}
	}
	if oldest.Revision < v.at() {
		return ErrStale
	}
	v.advance(oldest.Revision, oldest.Taken)
	v.config.Apply(all, true)
	return nil
}

// listTries bounds how often a partition is read that the store refuses.
const listTries = 12

// listPartition reads a partition, again if the store refuses it: what was read of the
// others would have to be read anew, by each of the nodes that are refused together.
func (v *View) listPartition(ctx context.Context, partition string) ([]Row, Moment, error) {
	retry := retryFirst
	for try := 1; ; try++ {
		rows, first, err := listAll(ctx, v.store, v.config.Table, partition, "", "")
		if !errors.Is(err, ErrRefused) || try == listTries {
			return rows, first, err
		}
		v.lose(err)
		pause.For(ctx, jitter(retry))
		retry = min(2*retry, v.restMost())
	}
}

// ListAll reads all rows of a partition with keys in [from, to), page by page,
// and returns them with the revision of the first page.
func ListAll(ctx context.Context, store Store, table, partition, from, to string) ([]Row, int64, error) {
	rows, first, err := listAll(ctx, store, table, partition, from, to)
	return rows, first.Revision, err
}

// listAll is ListAll; it returns the moment of the first page.
func listAll(ctx context.Context, store Store, table, partition, from, to string) ([]Row, Moment, error) {
	var rows []Row
	first := Moment{Revision: -1}
	for {
		snapshot, err := store.List(ctx, table, partition, from, to, listPage)
		if err != nil {
			return nil, Moment{}, err
		}
		if first.Revision < 0 {
			first = Moment{Revision: snapshot.Revision, Taken: snapshot.Taken}
		}
		rows = append(rows, snapshot.Rows...)
		if !snapshot.More || len(snapshot.Rows) == 0 {
			return rows, first, nil
		}
		from = snapshot.Rows[len(snapshot.Rows)-1].Key + "\x00"
	}
}

func (v *View) at() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

func (v *View) advance(revision, taken int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.revision, v.taken = revision, taken
}

func (v *View) confirm(started clock.Mark, listed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.proven = started
	v.reached = Moment{Revision: v.revision, Taken: v.taken}
	if listed {
		// A read proves the state as of its start at the earliest.
		v.confirmed = started
	} else {
		v.confirmed = clock.NewMark()
	}
	if !v.healthy {
		v.healthy = true
		v.recovered = time.Now()
		if v.loaded {
			v.lostFor = v.recovered.Sub(v.lost)
		}
		v.log.Info(eventlog.ViewRegained, eventlog.Fields{eventlog.View: v.config.Name, eventlog.Revision: v.revision})
	}
	if !v.loaded {
		v.loaded = true
		close(v.onLoaded)
	}
}

// lostEvery is the time between two lines about a view that stays lost. Without them it cannot
// be told why a view that is tried again and again does not come back.
const lostEvery = 2 * time.Second

func (v *View) lose(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if !v.healthy {
		if v.loaded && now.Sub(v.told) >= lostEvery {
			v.told = now
			v.logLost(eventlog.ViewStillLost, err, eventlog.Fields{"lost_ms_ago": now.Sub(v.lost).Milliseconds()})
		}
		return
	}
	v.healthy, v.lost, v.told = false, now, now
	v.logLost(eventlog.ViewLost, err, eventlog.Fields{})
}

// logLost logs that the view does not follow the store. The lock is held.
func (v *View) logLost(event string, err error, fields eventlog.Fields) {
	fields[eventlog.View], fields[eventlog.Revision], fields[eventlog.Cause] = v.config.Name, v.revision, err.Error()
	fields["confirmed_ms_ago"] = time.Since(v.confirmed.Earlier()).Milliseconds()
	v.log.Warn(event, fields)
}

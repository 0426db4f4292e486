package rowlease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Hold is a term of this node.
type Hold struct {
	// Token is the fencing token.
	Token int64
	// TermRevision is the revision of the term's row: the condition for whatever may
	// only be written in this term.
	TermRevision int64
	// ClearFrom is from when on the acts of all earlier holders lie the settling time
	// back.
	ClearFrom time.Time
}

// Config configures a Lease.
type Config struct {
	// Name tells the lease from others.
	Name     string
	Store    rowstore.Store
	Presence *presence.Registry
	Log      *eventlog.Log
	Timing   Timing
	// Begin, if set, prepares a term: the lease is written, and counts as held once
	// Begin returns. What it returns stands in the log's line.
	Begin func(ctx context.Context, hold Hold) eventlog.Fields
}

// Lease is this node's part in one lease. It is safe for concurrent use. No call
// waits for the store while it holds its lock.
type Lease struct {
	config Config
	self   presence.Node
	view   *rowstore.View

	mu       sync.Mutex
	row      State
	revision int64
	changed  time.Time
	// withdrawn tells that this node takes the lease no more.
	withdrawn bool
	// ranked is this node's place as it was worked out last.
	ranked ranked

	// Of the holder.
	held bool
	hold Hold
	// renewed is when the last renewal that succeeded was sent; due tells that the next
	// one is to be sent at once.
	renewed clock.Mark
	due     bool
	// acts are the calls under way; idle, if set, is closed once there are none; lastAct
	// is when one began or ended last.
	acts    map[*underWay]struct{}
	idle    chan struct{}
	lastAct time.Time
}

// Leases are the leases that a node takes part in; they share a view.
type Leases struct {
	view *rowstore.View

	mu     sync.Mutex
	byName map[string]*Lease
}

// NewLeases returns leases over one view of the store.
func NewLeases(log *eventlog.Log, store rowstore.Store, pacing rowstore.Pacing) *Leases {
	leases := &Leases{byName: make(map[string]*Lease)}
	leases.view = rowstore.NewView(log, store, rowstore.ViewConfig{
		Name: "lease", Table: Table, Partitions: []string{""}, Wait: pacing.IdleWait, Apply: leases.apply,
		Rest: func() time.Duration {
			if leases.candidate() {
				return 0
			}
			return pacing.IdleRest()
		},
		Pace: func() time.Duration {
			if leases.candidate() {
				return pacing.BusyPace()
			}
			return pacing.InterestPace(false)
		},
	})
	return leases
}

// Add returns this node's part in a lease; it is called before Run.
func (s *Leases) Add(config Config) *Lease {
	lease := &Lease{config: config, self: config.Presence.Self(), view: s.view, acts: make(map[*underWay]struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[config.Name] = lease
	return lease
}

// followers is how many of the nodes that could take a lease follow it closely: the
// first in rank. The others take it only if all of these are gone.
const followers = 8

// candidate tells whether this node is among the first that would take one of the
// leases, or holds one.
func (s *Leases) candidate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lease := range s.byName {
		if lease.Near() {
			return true
		}
	}
	return false
}

// Near tells whether this node holds the lease or is among the first that would take it.
func (l *Lease) Near() bool { return l.Held() || l.rank(time.Now()) < followers }

// tick is how often a node looks at its leases.
const tick = 200 * time.Millisecond

// Run takes part in all leases until ctx ends.
func (s *Leases) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.view.Run(ctx) })
	s.mu.Lock()
	for _, lease := range s.byName {
		group.Go(func() { pause.Every(ctx, tick, nil, func() { lease.step(ctx) }) })
	}
	s.mu.Unlock()
	group.Wait()
}

func (s *Leases) apply(rows []rowstore.Row, _ bool) {
	for _, row := range rows {
		s.mu.Lock()
		lease := s.byName[row.Key]
		s.mu.Unlock()
		if lease != nil {
			lease.note(row)
		}
	}
}

// note takes the lease's row if it is newer.
func (l *Lease) note(row rowstore.Row) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if row.Key != l.config.Name || row.Deleted || row.Revision <= l.revision {
		return
	}
	var seen State
	if err := json.Unmarshal(row.Value, &seen); err != nil {
		l.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: row.Key, eventlog.Cause: err.Error()})
		return
	}
	l.row, l.revision, l.changed = seen, row.Revision, time.Now()
	if l.held && (seen.Holder != l.self.Name || seen.Term != l.hold.Token) {
		l.lose("another holder")
	}
}

// lose ends this node's hold and the calls made under it. The lock is held.
func (l *Lease) lose(cause string) {
	l.drop(cause)
	for act := range l.acts {
		act.cancel()
	}
}

// drop ends this node's hold. The lock is held.
func (l *Lease) drop(cause string) {
	l.held = false
	l.config.Log.Warn(eventlog.LeaseLost, eventlog.Fields{
		eventlog.Lease: l.config.Name, eventlog.Token: l.hold.Token, eventlog.Cause: cause, eventlog.Owner: l.row.Holder,
	})
}

// Current returns the term of this node and until when it may act, and whether it
// holds the lease.
func (l *Lease) Current() (hold Hold, validUntil time.Time, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hold, l.validUntil(), l.held
}

// validUntil returns until when this node may act. Time that the machine was away since the
// last renewal counts. The lock is held.
func (l *Lease) validUntil() time.Time { return l.renewed.Earlier().Add(l.config.Timing.Validity()) }

// Valid tells whether this node may act now in the term of a token.
func (l *Lease) Valid(token int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valid(token, now)
}

// valid is Valid with the lock held.
func (l *Lease) valid(token int64, now time.Time) bool {
	return l.held && l.hold.Token == token && now.Before(l.validUntil())
}

// Held tells whether this node holds the lease.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Holder returns the holder as this node knows it, and whether it is this node.
func (l *Lease) Holder() (name string, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.row.Holder, l.held
}

// Abandon ends the hold of a token that a receiver refused: another node has a
// higher one.
func (l *Lease) Abandon(token int64, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held && l.hold.Token == token {
		l.lose(cause)
	}
}

func (l *Lease) step(ctx context.Context) {
	sent := clock.NewMark()
	now := sent.At()
	l.mu.Lock()
	held, due := l.held, l.due || now.Sub(l.renewed.Earlier()) >= l.config.Timing.renewEvery()
	withdrawn := l.withdrawn
	l.mu.Unlock()
	switch {
	case held && due:
		l.renew(ctx, sent)
	case !held && !withdrawn && l.mayTake(now):
		l.acquire(ctx, sent)
	}
}

func (l *Lease) renew(ctx context.Context, sent clock.Mark) {
	l.mu.Lock()
	next := l.row
	next.Released = false
	next.Renewal++
	next.UnclearMillis = unclear(l.hold.ClearFrom, sent.At())
	revision, token := l.revision, l.hold.Token
	l.mu.Unlock()
	written, err := l.write(ctx, next, revision)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		l.noteConflict(conflict)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.held || l.hold.Token != token:
	case err == nil:
		l.adopt(next, written, sent)
	case conflict != nil && l.row.Renewal == next.Renewal:
		// An attempt whose answer was lost has done it; when is not known, so it
		// extends nothing.
		l.due = true
	}
}

// unclear returns how many milliseconds it is until a term is clear of the acts of
// earlier holders.
func unclear(clearFrom, now time.Time) int64 {
	return max(0, clearFrom.Sub(now)).Milliseconds()
}

func (l *Lease) noteConflict(conflict *rowstore.ConflictError) {
	for _, row := range conflict.Rows {
		l.note(row)
	}
}

// adopt takes a row that this node has written. The lock is held.
func (l *Lease) adopt(row State, revision int64, sent clock.Mark) {
	l.row, l.revision, l.changed = row, revision, time.Now()
	l.renewed, l.due = sent, false
}

// write writes the lease's row, and more rows with it, on the condition that the
// row is as this node knows it.
func (l *Lease) write(ctx context.Context, row State, revision int64, more ...rowstore.Row) (int64, error) {
	bounded, cancel := context.WithTimeout(ctx, l.config.Timing.Validity())
	defer cancel()
	id := ID(l.config.Name)
	return l.config.Store.Commit(bounded, rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: id, Revision: revision}},
		Puts:       append([]rowstore.Row{{RowID: id, Value: encode(row)}}, more...),
	})
}

// takeStagger separates the nodes that could take the lease.
const takeStagger = 300 * time.Millisecond

// mayTake tells whether the lease is free for this node.
func (l *Lease) mayTake(now time.Time) bool {
	status := l.view.Status()
	if !status.Healthy || !l.config.Presence.View().Status().Healthy {
		return false
	}
	waited := l.freeFor(status.HealthySince, now)
	if waited < 0 {
		return false
	}
	rank := l.rank(now)
	return rank >= 0 && waited >= time.Duration(rank)*takeStagger
}

// rank returns this node's place among those that could take the lease, -1 if it could
// not: a holder that let it lapse is not waited for, though it may still count as live.
func (l *Lease) rank(now time.Time) int {
	members := l.config.Presence.Members(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	without := l.row.Holder
	if without == l.self.Name {
		without = ""
	}
	if l.ranked.members != members || l.ranked.without != without {
		place := presence.Place(members.RankSteady(l.config.Name, without), l.self.Name)
		l.ranked = ranked{members: members, without: without, place: place}
	}
	return l.ranked.place
}

// ranked is this node's place in a ranking.
type ranked struct {
	members *presence.Members
	without string
	place   int
}

// freeFor returns for how long the lease has been free, negative while it is
// not, as a view tells that has followed the store since healthySince.
func (l *Lease) freeFor(healthySince, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.revision == 0 {
		return now.Sub(healthySince)
	}
	quietSince := l.changed
	if healthySince.After(quietSince) {
		quietSince = healthySince
	}
	free := l.config.Timing.Validity() + l.config.Timing.Margin()
	if l.row.Holder == l.self.Name || l.row.Released {
		// Given up, or held by an earlier process of this machine, which cannot act
		// any more.
		free = 0
	}
	return now.Sub(quietSince) - free
}

// acquire takes the lease with the next term.
func (l *Lease) acquire(ctx context.Context, sent clock.Mark) {
	now := sent.At()
	l.mu.Lock()
	before, revision, changed := l.row, l.revision, l.changed
	l.mu.Unlock()
	clearFrom := changed.Add(l.config.Timing.clearAfter(before, before.Holder == l.self.Name))
	next := State{
		Holder: l.self.Name, Incarnation: l.self.Incarnation, Term: before.Term + 1,
		UnclearMillis: unclear(clearFrom, now),
	}
	holding := rowstore.Row{RowID: TermID(l.config.Name), Value: encode(term{Holder: next.Holder, Term: next.Term})}
	written, err := l.write(ctx, next, revision, holding)
	if err != nil {
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			l.noteConflict(conflict)
		}
		return
	}
	hold := Hold{Token: next.Term, TermRevision: written, ClearFrom: clearFrom}
	fields := eventlog.Fields{}
	if l.config.Begin != nil {
		fields = l.config.Begin(ctx, hold)
	}
	fields[eventlog.Lease], fields[eventlog.Token] = l.config.Name, hold.Token
	if before.Holder != "" {
		fields["before"], fields["quiet_ms"] = before.Holder, now.Sub(changed).Milliseconds()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if written < l.revision {
		return
	}
	l.adopt(next, written, sent)
	l.held, l.hold = true, hold
	l.config.Log.Warn(eventlog.LeaseTaken, fields)
}

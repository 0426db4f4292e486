package batch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// takeOverStagger is the delay per rank before a node takes over an orphaned job, so
// that the candidates do not compete for it.
const takeOverStagger = 400 * time.Millisecond

// action is what a node has to do next about a job.
type action int

const (
	actNothing action = iota
	actOpen
	actClose
	actTakeOver
	// actLeaveRegion hands over a job that is no longer allowed in this node's region.
	actLeaveRegion
)

// ownershipState is the input of decide for one job.
type ownershipState struct {
	known         bool // the head has been read
	finished      bool // no item is left to run
	owned         bool // the head names this node as the owner
	running       bool // this node has the job open
	stopping      bool // this node is stopping
	changingOwner bool // this node is changing the owner
	// disallowedHere is set if the job is not allowed in this node's region.
	disallowedHere bool
	// leftRecently is set if this node handed the job over less than minLeaveInterval ago.
	leftRecently bool
	// owner is the liveness of the owner if that is another node.
	owner presence.Liveness
	// orphanedFor is the time since the owner was found to be gone.
	orphanedFor time.Duration
	// rank is this node's rank among those that may take the job over, -1 if it is
	// none of them.
	rank int
}

// decide returns the next action for a job.
func decide(s ownershipState) action {
	switch {
	case s.running && (!s.owned || s.finished):
		return actClose
	case !s.known || s.finished || s.stopping:
		return actNothing
	case s.owned && s.disallowedHere && (s.changingOwner || s.leftRecently && !s.running):
		return actNothing
	case s.owned && s.disallowedHere:
		return actLeaveRegion
	case s.owned && !s.running:
		return actOpen
	case s.owned || s.disallowedHere || s.changingOwner || s.owner != presence.Gone || s.rank < 0:
		return actNothing
	case s.orphanedFor >= time.Duration(s.rank)*takeOverStagger:
		return actTakeOver
	}
	return actNothing
}

// reconcile opens, closes, takes over and hands over jobs as their heads require.
func (m *Manager) reconcile(ctx context.Context) {
	now := time.Now()
	type task struct {
		id  string
		act action
	}
	var tasks []task
	if table := m.config.Routes(); table != m.lastDropConfig.Swap(table) {
		m.dropDisallowed()
	}
	m.mu.Lock()
	members := sync.OnceValue(func() *presence.Members { return m.config.Presence.Members(now) })
	for id, state := range m.jobs {
		current := ownershipState{
			known: state.known, changingOwner: state.changingOwner, stopping: m.stopping,
			finished: state.finished(),
			owned:    state.known && state.head.Owner == m.self.Name && state.head.Incarnation == m.self.Incarnation,
			running:  m.runner.has(id),
		}
		if current.known && !current.finished {
			regions := m.regionsOf(state.head)
			current.disallowedHere = !regions.Has(m.self.Region)
			current.leftRecently = now.Sub(state.leftAt) < minLeaveInterval
			if !current.owned {
				m.assessOwner(state, &current, regions, members, now)
			} else if !current.disallowedHere {
				m.noteWaiting(state, regions, false, true)
			}
		}
		act := decide(current)
		if act == actTakeOver || act == actLeaveRegion {
			state.changingOwner = true
		}
		if act != actNothing {
			tasks = append(tasks, task{id, act})
		}
	}
	m.mu.Unlock()
	for _, task := range tasks {
		m.act(ctx, task.id, task.act)
	}
}

// assessOwner fills in the liveness of a job's owner, which is another node, and this
// node's rank among those that may take the job over. If no node may, the keeper that
// ranks first across all regions logs that the job waits. The caller holds m.mu.
func (m *Manager) assessOwner(state *jobState, current *ownershipState, regions place.Regions, members func() *presence.Members, now time.Time) {
	current.owner = m.config.Presence.Liveness(state.head.Owner, state.head.Incarnation, now)
	if current.owner != presence.Gone {
		state.orphanedSince = time.Time{}
		m.noteWaiting(state, regions, false, false)
		return
	}
	if state.orphanedSince.IsZero() {
		state.orphanedSince = now
	}
	current.orphanedFor = now.Sub(state.orphanedSince)
	candidates := presence.Rank(members().KeepersWithin(regions), state.head.OwnerKey)
	current.rank = presence.Place(candidates, m.self.Name)
	first := presence.Place(presence.Rank(members().KeepersWithin(place.Regions{}), state.head.OwnerKey), m.self.Name) == 0
	m.noteWaiting(state, regions, len(candidates) == 0, first)
}

// act performs an action on a job.
func (m *Manager) act(ctx context.Context, id string, act action) {
	switch act {
	case actOpen:
		m.runner.open(ctx, id)
	case actClose:
		m.runner.close(id)
	case actTakeOver:
		go m.takeOver(ctx, id)
	case actLeaveRegion:
		go m.leaveRegion(ctx, id)
	}
}

// takeOver makes this node the owner of an orphaned job.
func (m *Manager) takeOver(ctx context.Context, id string) {
	state, found := m.snapshot(id)
	if !found {
		return
	}
	head := state.head
	head.Owner, head.Incarnation = m.self.Name, m.self.Incarnation
	head.Epoch++
	status := m.replaceHead(ctx, id, state.headRevision, head)
	m.mu.Lock()
	m.state(id).changingOwner = false
	m.mu.Unlock()
	if status != OK {
		return
	}
	m.config.Log.Warn(eventlog.JobTaken, eventlog.Fields{
		eventlog.Job: id, eventlog.Owner: state.head.Owner, eventlog.Epoch: head.Epoch,
		"orphaned_ms": time.Since(state.orphanedSince).Milliseconds(), "listed": head.Count, "total": head.Total,
	})
	m.reconcile(ctx)
}

// maxHeadAttempts is the maximum number of attempts to replace a head.
const maxHeadAttempts = 5

// replaceHead writes a head on the condition of a revision. It retries failures and
// unknown outcomes under the same condition, so that a conflict shows whether an
// earlier attempt took effect.
func (m *Manager) replaceHead(ctx context.Context, id string, revision int64, head Head) Status {
	transaction := rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: headID(id), Revision: revision}},
		Puts:       []rowstore.Row{{RowID: headID(id), Value: encode(head)}},
	}
	status := Unavailable
	for range maxHeadAttempts {
		written, err := m.config.Store.Commit(ctx, transaction)
		if err == nil {
			m.applyHead(id, head, written)
			return OK
		}
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			m.applyRows(conflict.Rows)
			current, _ := m.snapshot(id)
			if current.head.Owner == head.Owner && current.head.Incarnation == head.Incarnation && current.head.Epoch == head.Epoch {
				return OK
			}
			return NotFound
		}
		if errors.Is(err, rowstore.ErrUnknown) {
			status = Uncertain
		}
		if !pause.For(ctx, submitRetryPause) {
			break
		}
	}
	return status
}

// Stop hands all owned jobs over to other nodes: it cancels their runs, stores the
// output so far, and writes heads that name the next owners. It returns when all jobs
// are handed over or ctx is done. No job is opened or taken over afterwards.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	for _, id := range m.runner.owned() {
		m.handOver(ctx, id)
	}
}

// handOver stops a job's runs, commits its results, stores the output of unfinished
// items, and makes another node the owner if there is one.
func (m *Manager) handOver(ctx context.Context, id string) {
	job, unsaved := m.runner.suspend(id)
	m.runner.flush(ctx, id)
	m.runner.close(id)
	state, found := m.snapshot(id)
	if !found || state.ended || state.head.Count >= state.head.Total {
		return
	}
	next, found := m.chooseOwner(state.head.OwnerKey, m.regionsOf(state.head), time.Now())
	if found && next.Name == m.self.Name {
		return
	}
	if len(unsaved) > 0 {
		m.runner.storeSegments(ctx, job, unsaved)
	}
	if !found {
		return
	}
	head := state.head
	head.Owner, head.Incarnation = next.Name, next.Incarnation
	head.Epoch++
	status := m.replaceHead(ctx, id, state.headRevision, head)
	m.config.Log.Info(eventlog.JobHanded, eventlog.Fields{
		eventlog.Job: id, eventlog.Owner: next.Name, eventlog.Epoch: head.Epoch,
		"outcome": status.String(), "texts_stored": len(unsaved),
	})
}

const (
	// retentionMargin is added to Config.Retention before the rows of a job are deleted.
	retentionMargin = 10 * time.Second
	// maxOpenTime is how long a job is kept that nobody ends, as that of a caller that is gone:
	// its rows would stay in the store for good.
	maxOpenTime = 24 * time.Hour
	// maxDeletedRows is the maximum number of rows deleted in one transaction.
	maxDeletedRows = 90
)

// expired reports whether the rows of a job may be deleted. This node must have known the job for the
// retention: a node that started just now may not have read all that there is about it.
func (s *jobState) expired(now time.Time, retention time.Duration) bool {
	if !s.known || now.Sub(s.firstSeen) <= retention+retentionMargin {
		return false
	}
	age := s.head.age(now)
	if !s.ended {
		return age > max(maxOpenTime, retention+retentionMargin)
	}
	return age > retention+retentionMargin && now.Sub(s.endedAt) > retentionMargin
}

// deleteExpired deletes the rows of one expired job. Only the node that ranks first by
// job ID among the keepers in the job's regions does so.
func (m *Manager) deleteExpired(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	expired := ""
	for id, state := range m.jobs {
		if state.expired(now, m.config.Retention) {
			expired = id
			break
		}
	}
	m.mu.Unlock()
	if expired == "" {
		return
	}
	// Deleting reads the rows first, so only nodes in the job's regions may do it.
	state, _ := m.snapshot(expired)
	keepers := m.config.Presence.Members(now).KeepersWithin(m.regionsOf(state.head))
	if presence.Place(presence.Rank(keepers, expired), m.self.Name) != 0 {
		return
	}
	ctx = m.within(ctx, state.head)
	for _, table := range []string{TableResults, TableSpecs, TablePartials, TableJobs} {
		if !m.deleteRows(ctx, table, expired) {
			return
		}
	}
	m.mu.Lock()
	delete(m.jobs, expired)
	m.mu.Unlock()
}

// deleteRows deletes a job's rows from a table and reports whether all were deleted.
func (m *Manager) deleteRows(ctx context.Context, table, job string) bool {
	rows, _, err := rowstore.ListAll(ctx, m.config.Store, table, rowstore.Shard(job), job+"/", rowstore.KeyEnd(job+"/"))
	if err != nil {
		return false
	}
	for len(rows) > 0 {
		count := min(maxDeletedRows, len(rows))
		var transaction rowstore.Transaction
		for _, row := range rows[:count] {
			transaction.Deletes = append(transaction.Deletes, row.RowID)
		}
		if _, err := m.config.Store.Commit(ctx, transaction); err != nil {
			return false
		}
		rows = rows[count:]
	}
	return true
}

package batch

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/quarantine"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
	"github.com/sliplift/sliplift/internal/pause"
)

// Reach reports the state of the connections to backends.
type Reach interface {
	// Fill sets the Reach field of each backend to its state at the time now.
	Fill(backends []fleet.Backend, now time.Time)
}

// Config configures a Manager.
type Config struct {
	Store    rowstore.Store
	Limits   rowstore.Limits
	Presence *presence.Registry
	Fleet    *fleet.Fleet
	Client   *upstream.Client
	// Gate decides which backends may receive a request.
	Gate  *eligibility.Gate
	Log   *eventlog.Log
	Reach Reach
	// Routes returns the current configuration, nil while there is none.
	Routes func() *routetable.Table
	// WorkOf returns the fingerprint of a request.
	WorkOf func(fingerprint.Input) fingerprint.Fingerprint
	// Backoff returns the backoff of a request under which backends failed.
	Backoff func(fingerprint.Fingerprint) quarantine.Backoff
	// VersionField is the name of the event field that carries the weight version.
	VersionField string
	// Pacing limits how often the store is read.
	Pacing rowstore.Pacing
	// Retention is how long a job stays readable after its submission, also if it was ended. A job
	// that was not ended stays readable for as long as it is open, up to maxOpenTime.
	Retention time.Duration
	// OnActive is called when this node opens a job while it has none open. It may be
	// nil.
	OnActive func()
	// OrdersLoads reports whether this node orders backends to load models or is among the
	// first that would take that role over; the orders depend on the jobs. It may be
	// nil.
	OrdersLoads func() bool
	// VisibilityDelay is the time within which a result that any node has returned must be
	// visible on every node.
	VisibilityDelay time.Duration
}

// jobState is a node's view of a job.
type jobState struct {
	id           string
	head         Head
	headRevision int64
	// known is set once the head has been read.
	known bool
	// ended is set if the job was ended by a caller; endedAt is when this node learned of it.
	ended   bool
	endedAt time.Time
	// changed is closed and replaced whenever the head or ended changes.
	changed chan struct{}
	// firstSeen is when this node first learned of the job, with a monotonic clock reading.
	firstSeen time.Time
	// orphanedSince is when the owner was first found to be gone, zero while it is not.
	orphanedSince time.Time
	// changingOwner is set while this node is changing the owner.
	changingOwner bool
	// leftAt is when this node last handed the job over because it is not allowed in
	// this node's region.
	leftAt time.Time
	// waiting is set if there is no node in the job's regions.
	waiting bool
}

// finished reports whether no item of the job is left to run.
func (s *jobState) finished() bool { return s.ended || s.known && s.head.Count >= s.head.Total }

// Manager serves requests about jobs and runs the jobs that this node owns. It is
// safe for concurrent use.
type Manager struct {
	config Config
	self   presence.Node
	view   *rowstore.View
	specs  *specCache
	runner *runner
	// confinements are the region restrictions of the current configuration.
	confinements confinements
	// lastDropConfig is the configuration for which dropDisallowed ran last.
	lastDropConfig atomic.Pointer[routetable.Table]

	mu       sync.Mutex
	jobs     map[string]*jobState
	stopping bool
	// runCtx is the context of Run, nil before Run is called.
	runCtx context.Context
	// heldReads counts the pending reads that wait for a result.
	heldReads int
}

// NewManager returns a Manager, which does nothing until Run is called.
func NewManager(config Config) *Manager {
	manager := &Manager{
		config: config,
		self:   config.Presence.Self(),
		jobs:   make(map[string]*jobState),
		specs:  newSpecCache(),
	}
	manager.runner = newRunner(manager)
	manager.view = rowstore.NewView(config.Log, config.Store, rowstore.ViewConfig{
		Name:       "jobs",
		Table:      TableJobs,
		Partitions: rowstore.AllShards(),
		Wait:       config.Pacing.IdleWait,
		Rest:       manager.rest,
		Pace:       func() time.Duration { return config.Pacing.InterestPace(manager.usesHeads()) },
		Apply:      manager.apply,
	})
	return manager
}

// OwnsJobs reports whether this node has jobs open.
func (m *Manager) OwnsJobs() bool { return !m.runner.idle() }

// usesHeads reports whether this node needs up-to-date heads: it runs jobs, callers
// wait for results, or Config.OrdersLoads returns true.
func (m *Manager) usesHeads() bool {
	m.mu.Lock()
	held := m.heldReads
	m.mu.Unlock()
	return held > 0 || m.OwnsJobs() || m.config.OrdersLoads != nil && m.config.OrdersLoads()
}

// Loaded reports whether the heads of all jobs have been read once.
func (m *Manager) Loaded() bool { return m.view.Status().Loaded }

// needsHeads reports whether this node uses the heads or may take over jobs.
func (m *Manager) needsHeads() bool {
	return m.usesHeads() || m.IsKeeper(time.Now())
}

// rest returns the maximum delay before the view retries a failed read. It is 0 for
// nodes that run jobs or may take over those of others, which must not fall behind.
func (m *Manager) rest() time.Duration {
	if m.needsHeads() {
		return 0
	}
	return m.config.Pacing.IdleRest()
}

// trackRead registers a pending read, which makes the view refresh more often. The returned
// function ends the registration.
func (m *Manager) trackRead() func() {
	m.mu.Lock()
	m.heldReads++
	m.mu.Unlock()
	m.view.Kick()
	return func() {
		m.mu.Lock()
		m.heldReads--
		m.mu.Unlock()
	}
}

// View returns the view of the jobs' heads.
func (m *Manager) View() *rowstore.View { return m.view }

// Kick triggers scheduling.
func (m *Manager) Kick() { m.runner.kick() }

// reconcileInterval is the interval at which ownership is checked in the absence of
// changes.
const reconcileInterval = 200 * time.Millisecond

// Run maintains the view, takes over orphaned jobs and runs owned jobs until ctx is
// done.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.runCtx = ctx
	m.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { m.view.RunOnceNeeded(ctx, m.needsHeads) })
	group.Go(func() { m.runner.run(ctx) })
	group.Go(func() {
		pause.Every(ctx, reconcileInterval, nil, func() {
			m.reconcile(ctx)
			m.deleteExpired(ctx)
		})
	})
	group.Wait()
}

// apply applies changed rows of the jobs table. If complete is set, rows holds the
// whole table, and jobs that are not in it are removed if this node first learned of them
// longer than the retention ago.
func (m *Manager) apply(rows []rowstore.Row, complete bool) {
	m.mu.Lock()
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		job, kind := splitKey(row.Key)
		present[job] = true
		m.applyRow(job, kind, row)
	}
	if complete {
		for id, state := range m.jobs {
			// A job that this node learned of recently may be newer than this read. Rows
			// are kept for longer than the retention, which far exceeds the time of a read.
			if !present[id] && time.Since(state.firstSeen) > m.config.Retention {
				delete(m.jobs, id)
			}
		}
	}
	m.mu.Unlock()
	m.reconcileNow()
}

// applyRow applies a row of the jobs table. The caller holds m.mu.
func (m *Manager) applyRow(job, kind string, row rowstore.Row) {
	state := m.state(job)
	if row.Deleted {
		if kind == "head" && row.Revision >= state.headRevision {
			delete(m.jobs, job)
		}
		return
	}
	switch kind {
	case "end":
		state.end()
	case "head":
		var head Head
		if json.Unmarshal(row.Value, &head) == nil {
			state.setHead(head, row.Revision)
		}
	}
}

// state returns the state of a job, creating it if necessary. The caller holds m.mu.
func (m *Manager) state(job string) *jobState {
	state := m.jobs[job]
	if state == nil {
		state = &jobState{id: job, changed: make(chan struct{}), firstSeen: time.Now()}
		m.jobs[job] = state
	}
	return state
}

// setHead replaces the head unless the revision is not newer than the known one.
func (s *jobState) setHead(head Head, revision int64) {
	if revision <= s.headRevision {
		return
	}
	if !s.known || s.head.Epoch != head.Epoch {
		s.orphanedSince = time.Time{}
	}
	s.head, s.headRevision, s.known = head, revision, true
	s.notifyChange()
}

// end records that the job was ended.
func (s *jobState) end() {
	if !s.ended {
		s.ended, s.endedAt = true, time.Now()
		s.notifyChange()
	}
}

// notifyChange wakes the goroutines that wait for a change.
func (s *jobState) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyHead applies a head that this node has written or read itself.
func (m *Manager) applyHead(job string, head Head, revision int64) {
	m.mu.Lock()
	m.state(job).setHead(head, revision)
	m.mu.Unlock()
}

// snapshot returns a copy of a job's state and whether the job is in memory.
func (m *Manager) snapshot(job string) (jobState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.jobs[job]
	if state == nil {
		return jobState{}, false
	}
	return *state, true
}

// applyRows applies rows of the jobs table that a read or a conflict returned. Rows
// with revision 0 do not exist and are skipped.
func (m *Manager) applyRows(rows []rowstore.Row) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range rows {
		if row.Revision == 0 {
			continue
		}
		job, kind := splitKey(row.Key)
		m.applyRow(job, kind, row)
	}
}

// End ends a job. It is idempotent. Ending an unknown job prevents a submission that
// is still in flight from creating it. For a job of another tenant End returns
// NotFound.
func (m *Manager) End(ctx context.Context, caller Caller, job string) Status {
	if state, found := m.snapshot(job); found && state.ended && !state.known {
		return OK
	}
	state, status := m.lookUp(ctx, job)
	switch {
	case status == Unavailable:
		return status
	case status == OK && !caller.mayAccess(state.head):
		return NotFound
	case state.ended:
		return OK
	}
	status = m.commitWithRetry(ctx, rowstore.Transaction{Puts: []rowstore.Row{{RowID: endID(job), Value: []byte("{}")}}})
	if status != OK {
		return status
	}
	m.mu.Lock()
	m.state(job).end()
	m.mu.Unlock()
	m.config.Log.Info(eventlog.JobEnded, eventlog.Fields{eventlog.Job: job})
	m.reconcileNow()
	return OK
}

// reconcileNow calls reconcile if Run has been called.
func (m *Manager) reconcileNow() {
	m.mu.Lock()
	ctx := m.runCtx
	m.mu.Unlock()
	if ctx != nil {
		m.reconcile(ctx)
	}
}

// lookUp returns a job's state, reading the head from the store if it is unknown.
func (m *Manager) lookUp(ctx context.Context, job string) (jobState, Status) {
	if state, found := m.snapshot(job); found && state.known {
		return state, OK
	}
	return m.readHead(ctx, job)
}

// readHead reads a job's head from the store and returns the updated state.
func (m *Manager) readHead(ctx context.Context, job string) (jobState, Status) {
	prefix := job + "/"
	snapshot, err := m.config.Store.List(ctx, TableJobs, rowstore.Shard(job), prefix, rowstore.KeyEnd(prefix), 2)
	if err != nil {
		return jobState{}, Unavailable
	}
	if len(snapshot.Rows) == 0 {
		return jobState{}, NotFound
	}
	m.applyRows(snapshot.Rows)
	state, found := m.snapshot(job)
	if !found || !state.known {
		return jobState{}, NotFound
	}
	return state, OK
}

// lookUpForCaller is like lookUp but returns NotFound for jobs that the caller may not
// access.
func (m *Manager) lookUpForCaller(ctx context.Context, caller Caller, job string) (jobState, Status) {
	state, status := m.lookUp(ctx, job)
	if status == OK && !caller.mayAccess(state.head) {
		return jobState{}, NotFound
	}
	return state, status
}

// Body returns the request body of an item.
func (m *Manager) Body(ctx context.Context, caller Caller, job, item string) ([]byte, Status) {
	state, status := m.lookUpForCaller(ctx, caller, job)
	if status != OK {
		return nil, status
	}
	spec, err := m.loadSpec(ctx, job, state.head)
	if err != nil {
		return nil, Unavailable
	}
	for i := range spec.Items {
		if spec.Items[i].ID == item {
			return spec.Items[i].Body, OK
		}
	}
	return nil, NotFound
}

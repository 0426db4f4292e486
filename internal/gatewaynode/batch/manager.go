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
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
	"github.com/sliplift/sliplift/internal/pause"
)

// Reach tells how back ends can be reached.
type Reach interface {
	// Fill tells back ends how they can be reached now.
	Fill(backends []fleet.Backend, now time.Time)
}

// Config configures a Manager.
type Config struct {
	Store    rowstore.Store
	Limits   rowstore.Limits
	Presence *presence.Registry
	Fleet    *fleet.Fleet
	Client   *upstream.Client
	// Gate decides which back ends may get a request.
	Gate *eligibility.Gate
	Log  *eventlog.Log
	// Reach tells how back ends can be reached.
	Reach Reach
	// Routes returns the configuration in force, nil while there is none.
	Routes func() *routetable.Table
	// WorkOf returns the fingerprint of a request.
	WorkOf func(fingerprint.Work) fingerprint.Fingerprint
	// Trials gives quarantined items out for a trial.
	Trials Trials
	// VersionField names the stream field that tells the weight version.
	VersionField string
	// Pacing says how often the store may be asked.
	Pacing rowstore.Pacing
	// Keep is how long a job stays readable after it was submitted.
	Keep time.Duration
	// OnWork is told that this node begins to run jobs after it ran none; it may be nil.
	OnWork func()
	// Orders tells whether this node gives the orders to back ends, or is near to it: what
	// it orders follows the jobs. It may be nil.
	Orders func() bool
	// Settle is the time after which every node has to know of a result that was read.
	Settle time.Duration
}

// Trials says when quarantined requests may be sent on.
type Trials interface {
	// MayTry tells whether Try may be asked.
	MayTry(work fingerprint.Fingerprint) bool
	// Try tells whether this node may send a quarantined work on once. It asks the store.
	Try(ctx context.Context, work fingerprint.Fingerprint) bool
}

// jobState is what a node knows of a job.
type jobState struct {
	id           string
	head         Head
	headRevision int64
	known        bool
	ended        bool
	// changed is closed and replaced whenever head or end changes.
	changed chan struct{}
	// seen is when the node first knew of the job, by its steady clock.
	seen time.Time
	// orphaned is when the owner was first found to be gone.
	orphaned time.Time
	// taking tells that this node is changing the owner.
	taking bool
	// left is when this node last handed the job over since it may not live here.
	left time.Time
	// waiting tells that no node stands where the job may live.
	waiting bool
}

// finished tells whether nothing of the job is left to run.
func (s *jobState) finished() bool { return s.ended || s.known && s.head.Count >= s.head.Total }

// Manager answers callers about jobs and runs those that the node owns. It is
// safe for concurrent use.
type Manager struct {
	config Config
	self   presence.Node
	view   *rowstore.View
	specs  *specCache
	runner *runner
	// confinements are those of the configuration in force.
	confinements confinements
	// forgotten is the configuration by which memory was gone through last.
	forgotten atomic.Pointer[routetable.Table]

	mu       sync.Mutex
	jobs     map[string]*jobState
	stopping bool
	base     context.Context
	// held counts the reads that are held until there is a result.
	held int
}

// NewManager returns a manager; Run has to be called.
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
		Pace:       func() time.Duration { return config.Pacing.InterestPace(manager.interested()) },
		Apply:      manager.apply,
	})
	return manager
}

// OwnsJobs tells whether this node runs jobs.
func (m *Manager) OwnsJobs() bool { return !m.runner.idle() }

// interested tells whether this node makes use of the newest heads: it runs jobs,
// callers wait for results, or it gives orders by them.
func (m *Manager) interested() bool {
	m.mu.Lock()
	held := m.held
	m.mu.Unlock()
	return held > 0 || m.OwnsJobs() || m.config.Orders != nil && m.config.Orders()
}

// Known tells whether the jobs have been read.
func (m *Manager) Known() bool { return m.view.Status().Loaded }

// needed tells whether this node makes use of the heads, or is among those that take
// jobs over.
func (m *Manager) needed() bool {
	return m.interested() || m.Keeps(time.Now())
}

// rest returns the most time between a failure of the view and the next try: nodes that
// run jobs, or would take over those of others, are not to be late.
func (m *Manager) rest() time.Duration {
	if m.needed() {
		return 0
	}
	return m.config.Pacing.IdleRest()
}

// hold counts a read that is held, and follows the heads closely from now on; the
// function returned ends it.
func (m *Manager) hold() func() {
	m.mu.Lock()
	m.held++
	m.mu.Unlock()
	m.view.Kick()
	return func() {
		m.mu.Lock()
		m.held--
		m.mu.Unlock()
	}
}

// View returns the view of the jobs' heads.
func (m *Manager) View() *rowstore.View { return m.view }

// Kick makes the manager look again at what can be run.
func (m *Manager) Kick() { m.runner.kick() }

// reconcileEvery is how often ownership is checked without a change.
const reconcileEvery = 200 * time.Millisecond

// Run keeps the view, takes over orphaned jobs and runs owned ones until ctx
// ends.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.base = ctx
	m.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { m.view.RunOnceNeeded(ctx, m.needed) })
	group.Go(func() { m.runner.run(ctx) })
	group.Go(func() {
		pause.Every(ctx, reconcileEvery, nil, func() {
			m.reconcile(ctx)
			m.cleanUp(ctx)
		})
	})
	group.Wait()
}

// apply takes changed rows of the jobs table.
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
			// A job this node has just written may be newer than the read.
			if !present[id] && time.Since(state.seen) > m.config.Keep {
				delete(m.jobs, id)
			}
		}
	}
	m.mu.Unlock()
	m.reconcileNow()
}

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

// state returns the state of a job, made if need be. The lock is held.
func (m *Manager) state(job string) *jobState {
	state := m.jobs[job]
	if state == nil {
		state = &jobState{id: job, changed: make(chan struct{}), seen: time.Now()}
		m.jobs[job] = state
	}
	return state
}

func (s *jobState) setHead(head Head, revision int64) {
	if revision <= s.headRevision {
		return
	}
	if !s.known || s.head.Epoch != head.Epoch {
		s.orphaned = time.Time{}
	}
	s.head, s.headRevision, s.known = head, revision, true
	s.announce()
}

func (s *jobState) end() {
	if !s.ended {
		s.ended = true
		s.announce()
	}
}

func (s *jobState) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// adopt takes a head that this node wrote or read itself.
func (m *Manager) adopt(job string, head Head, revision int64) {
	m.mu.Lock()
	m.state(job).setHead(head, revision)
	m.mu.Unlock()
}

// snapshot returns what is known of a job.
func (m *Manager) snapshot(job string) (jobState, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.jobs[job]
	if state == nil {
		return jobState{}, false
	}
	return *state, true
}

func (m *Manager) adoptRows(rows []rowstore.Row) {
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

// End ends a job; repeated calls are OK too. A job that is not there is ended
// in advance, so that a submission which is still on its way does not run. There is
// no job of another tenant to end.
func (m *Manager) End(ctx context.Context, caller Caller, job string) Status {
	if state, found := m.snapshot(job); found && state.ended && !state.known {
		return OK
	}
	state, status := m.lookUp(ctx, job)
	switch {
	case status == Unavailable:
		return status
	case status == OK && !caller.sees(state.head):
		return NotFound
	case state.ended:
		return OK
	}
	status = m.putRetrying(ctx, rowstore.Transaction{Puts: []rowstore.Row{{RowID: endID(job), Value: []byte("{}")}}})
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

// reconcileNow looks at ownership at once, if the manager runs.
func (m *Manager) reconcileNow() {
	m.mu.Lock()
	ctx := m.base
	m.mu.Unlock()
	if ctx != nil {
		m.reconcile(ctx)
	}
}

// lookUp returns a job's state, from the store if the view does not have it.
func (m *Manager) lookUp(ctx context.Context, job string) (jobState, Status) {
	if state, found := m.snapshot(job); found && state.known {
		return state, OK
	}
	return m.readHead(ctx, job)
}

// readHead returns a job's state as the store has it.
func (m *Manager) readHead(ctx context.Context, job string) (jobState, Status) {
	prefix := job + "/"
	snapshot, err := m.config.Store.List(ctx, TableJobs, rowstore.Shard(job), prefix, rowstore.KeyEnd(prefix), 2)
	if err != nil {
		return jobState{}, Unavailable
	}
	if len(snapshot.Rows) == 0 {
		return jobState{}, NotFound
	}
	m.adoptRows(snapshot.Rows)
	state, found := m.snapshot(job)
	if !found || !state.known {
		return jobState{}, NotFound
	}
	return state, OK
}

// lookUpFor is lookUp for a caller, for whom there are no jobs of other tenants.
func (m *Manager) lookUpFor(ctx context.Context, caller Caller, job string) (jobState, Status) {
	state, status := m.lookUp(ctx, job)
	if status == OK && !caller.sees(state.head) {
		return jobState{}, NotFound
	}
	return state, status
}

// Body returns the body of an item.
func (m *Manager) Body(ctx context.Context, caller Caller, job, item string) ([]byte, Status) {
	state, status := m.lookUpFor(ctx, caller, job)
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

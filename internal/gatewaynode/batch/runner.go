package batch

import (
	"context"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/pause"
)

// phase is the stage of an item's processing.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseScoring means that the output is complete and waits for its score.
	phaseScoring
	phaseFinished
)

// itemState is the progress of an item of an owned job.
type itemState struct {
	phase phase
	text  text
	// work is the fingerprint of the item's request, which does not depend on its ID.
	work fingerprint.Fingerprint
	// failures counts the runs that ended in a server error.
	failures int
	// backend is the ID of the backend of the last run.
	backend string
	// cancel cancels the current run, nil if there is none.
	cancel context.CancelCauseFunc
	// started is the start of the last run, firstStart that of the first one.
	started time.Time
	// startDelay is the time from the opening of the job to the first run.
	startDelay time.Duration
	runs       int
	firstStart time.Time
	// sequence counts how often the output was started over; savedEvents is the number of
	// events of the current sequence that are stored.
	sequence, savedEvents int
	// received is the size in bytes of what this node received of the current sequence.
	received int
	// savedComplete is set if the complete output is stored.
	savedComplete bool
	// moved is when the item was last moved to another backend, and avoid the backend
	// that it was moved away from.
	moved time.Time
	avoid string
	// target is the backend that the item is being moved to, empty if there is none. A
	// slot is reserved there until the previous run has ended.
	target string
	// urgent items were moved and are scheduled before all other waiting items.
	urgent bool
	// short items are among the shorter two thirds of their job by hint, and their hints are
	// less than half of the largest.
	short bool
	// long items are among those with the largest hints of their job.
	long  bool
	score scoreState
}

// ownedJob is a job that this node has open. It is guarded by runner.mu.
type ownedJob struct {
	id string
	// tenant is the tenant for which the items run. It never changes.
	tenant string
	// origin is the head at the time when this node opened the job.
	origin Head
	spec   *Spec
	items  []itemState
	// order holds the item indices in the order in which they are started.
	order  []int
	ctx    context.Context
	cancel context.CancelFunc
	// ready is set once the job has been read from the store.
	ready bool
	// suspended is set once no more runs may start.
	suspended bool
	// checkpointing is set while a checkpoint of the job is being written.
	checkpointing bool
	opened        time.Time
	// heldLoggedAt is when the reason why no backend may receive items of the job was last
	// logged.
	heldLoggedAt time.Time

	head      Head
	revision  int64
	committed []Result
	// finished holds the results that are not committed yet, in the order of commit.
	finished []finishedItem
	// commitWake wakes the commit loop.
	commitWake chan struct{}
	// commitToken serializes commits: it holds a token during each. It is a channel and
	// not a mutex so that waiting for it can be canceled.
	commitToken chan struct{}
	// unfinished counts the items that are not finished.
	unfinished int
	groups     groups
	// scoring holds the indices of the items in phaseScoring in the order in which they
	// entered it.
	scoring []int
	// failures counts the runs that ended in a server error and the failed scoring calls;
	// failuresStored is its value as of the stored head.
	failures, failuresStored int
}

// active reports whether items of the job may be started.
func (j *ownedJob) active() bool { return j.ready && !j.suspended && j.unfinished > 0 }

// runner runs the items of the jobs that this node owns.
type runner struct {
	manager *Manager

	// mu guards the fields below, except for scheduleWake and unsent.
	mu   sync.Mutex
	jobs map[string]*ownedJob
	// kept holds the output of items of closed jobs for reuse.
	kept keptTexts
	// scheduleWake triggers scheduling.
	scheduleWake chan struct{}
	// hedges limits hedged scoring calls, which are sent in addition to slow ones.
	hedges hedgeBudget
	// lengths holds statistics of output lengths.
	lengths lengths
	unsent  *unsent
}

func newRunner(manager *Manager) *runner {
	return &runner{
		manager: manager, jobs: make(map[string]*ownedJob), kept: newKeptTexts(), scheduleWake: make(chan struct{}, 1),
		unsent: newUnsent(),
	}
}

// kick triggers scheduling.
func (r *runner) kick() {
	select {
	case r.scheduleWake <- struct{}{}:
	default:
	}
}

// scheduleInterval is the interval of scheduling rounds in the absence of wake-ups.
const scheduleInterval = 100 * time.Millisecond

// run schedules items, writes checkpoints and expires items until ctx is done.
func (r *runner) run(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	checkpoints := time.NewTicker(checkpointInterval)
	defer checkpoints.Stop()
	for {
		ticks, saves := ticker.C, checkpoints.C
		if r.idle() {
			ticks, saves = nil, nil
		}
		select {
		case <-ctx.Done():
			return
		case <-saves:
			r.checkpoint(ctx)
			continue
		case <-ticks:
			r.expire()
		case <-r.scheduleWake:
		}
		began := time.Now()
		r.schedule()
		if rest := schedulePause(time.Since(began)); rest > 0 {
			pause.For(ctx, rest)
		}
	}
}

// idle reports whether no job is open. Opening one wakes the runner.
func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs) == 0
}

const (
	// maxScheduleShare is the maximum share of time spent in scheduling rounds.
	maxScheduleShare = 0.2
	// shortSchedule is the duration below which the next round may follow at once.
	shortSchedule = time.Millisecond
)

// schedulePause returns how long to wait after a scheduling round of a given duration.
// With thousands of backends a round takes long, and every item that ends triggers one.
func schedulePause(took time.Duration) time.Duration {
	if took < shortSchedule {
		return 0
	}
	return min(time.Duration(float64(took)*(1/maxScheduleShare-1)), scheduleInterval)
}

// has reports whether a job is open.
func (r *runner) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id] != nil
}

// Running returns the number of open jobs and of their items that are running.
func (m *Manager) Running() (jobs, items int) {
	m.runner.mu.Lock()
	defer m.runner.mu.Unlock()
	for _, job := range m.runner.jobs {
		for i := range job.items {
			if job.items[i].phase == phaseRunning {
				items++
			}
		}
	}
	return len(m.runner.jobs), items
}

// owned returns the IDs of the open jobs.
func (r *runner) owned() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.jobs))
	for id := range r.jobs {
		ids = append(ids, id)
	}
	return ids
}

// open starts running a job unless it is open already.
func (r *runner) open(ctx context.Context, id string) {
	state, found := r.manager.snapshot(id)
	if !found {
		return
	}
	jobCtx, cancel := context.WithCancel(ctx)
	job := &ownedJob{
		id: id, tenant: state.head.Tenant, ctx: jobCtx, cancel: cancel, head: state.head, origin: state.head, revision: state.headRevision,
		commitWake: make(chan struct{}, 1), opened: time.Now(), commitToken: make(chan struct{}, 1),
	}
	r.mu.Lock()
	if r.jobs[id] != nil {
		r.mu.Unlock()
		cancel()
		return
	}
	r.jobs[id] = job
	first := len(r.jobs) == 1
	r.mu.Unlock()
	if first && r.manager.config.OnActive != nil {
		r.manager.config.OnActive()
	}
	go r.load(job)
}

// loadRetryPause is the pause between attempts to read a job.
const loadRetryPause = 100 * time.Millisecond

// load reads the job from the store, starts it, and runs its commit loop.
func (r *runner) load(job *ownedJob) {
	for job.ctx.Err() == nil {
		found, err := r.read(job)
		if err == nil {
			r.start(job, found)
			r.commitLoop(job)
			return
		}
		r.manager.config.Log.Warn(eventlog.JobReadFail, eventlog.Fields{eventlog.Job: job.id, eventlog.Cause: err.Error()})
		pause.For(job.ctx, loadRetryPause)
	}
}

// start initializes the items from the stored job and from kept output, and makes the
// job ready.
func (r *runner) start(job *ownedJob, found storedJob) {
	spec, committed := found.spec, found.committed
	listed := resultItemIDs(committed)
	singleVersion := r.singleVersion(spec)
	works, scoreWorks := r.fingerprintsOf(job, spec)
	r.mu.Lock()
	job.spec, job.committed = spec, committed
	job.items = make([]itemState, len(spec.Items))
	job.groups = newGroups(spec)
	reused := 0
	for i := range spec.Items {
		item := &job.items[i]
		item.work, item.score.work = works[i], scoreWorks[i]
		item.failures, item.score.failures = job.head.Failures[i], job.head.ScoreFailures[i]
		if listed[spec.Items[i].ID] {
			item.phase = phaseFinished
			job.groups.finish(spec.Items[i].Group)
			continue
		}
		job.unfinished++
		if err := spec.validateItem(i); err != nil {
			// A build that did not check its items accepted the job.
			r.manager.config.Log.Warn(eventlog.ItemDead, eventlog.Fields{eventlog.Job: job.id, eventlog.Item: spec.Items[i].ID, eventlog.Cause: err.Error()})
			r.finish(job, i, Dead)
			continue
		}
		item.text = found.texts[i]
		kept, known := r.kept.get(spec.Items[i].ID)
		if known {
			job.groups.carry(spec.Items[i].Group)
		}
		if known && kept.longer(item.text) {
			item.text = kept
		}
		if !item.text.fits(spec.MinVersion, singleVersion) {
			item.text = text{}
		}
		if len(item.text.events) > 0 {
			reused++
		}
		if item.text.complete {
			r.textWhole(job, i)
		}
	}
	job.order = startOrder(spec.Items)
	job.markShort()
	job.ready = true
	r.mu.Unlock()
	r.manager.config.Log.Info(eventlog.JobOpened, eventlog.Fields{
		eventlog.Job: job.id, eventlog.Epoch: job.head.Epoch, "listed": len(committed), "total": len(spec.Items),
		"texts_reused": reused, eventlog.Model: spec.Model, "min_version": spec.MinVersion,
	})
	r.kick()
}

// fingerprintsOf returns the fingerprints of a job's items and of their scoring calls.
func (r *runner) fingerprintsOf(job *ownedJob, spec *Spec) (items, scores []fingerprint.Fingerprint) {
	items, scores = make([]fingerprint.Fingerprint, len(spec.Items)), make([]fingerprint.Fingerprint, len(spec.Items))
	for i := range spec.Items {
		item := &spec.Items[i]
		items[i] = r.manager.config.WorkOf(fingerprint.Input{Host: spec.Host, Target: item.Path, Tenant: job.tenant, Body: item.Body})
		if s := item.Scorer; s != nil {
			scores[i] = r.manager.config.WorkOf(fingerprint.Input{Host: s.Host, Target: s.Path, Tenant: job.tenant, Body: s.Body})
		}
	}
	return items, scores
}

// singleVersion reports whether each output of a job must come from a single weight
// version.
func (r *runner) singleVersion(spec *Spec) bool {
	route := r.route(spec)
	return route != nil && route.SingleVersion
}

// route returns the route of a job in the current configuration, nil if there is none.
// If the named route no longer exists, the job is routed by its first item.
func (r *runner) route(spec *Spec) *routetable.Route {
	table := r.manager.config.Routes()
	if table == nil {
		return nil
	}
	if route := table.ByName(spec.Route); route != nil {
		return route
	}
	if len(spec.Items) == 0 {
		return nil
	}
	return table.Match(spec.Host, spec.Items[0].Path)
}

// serviceOf returns the service that runs a job's items: that of the route's first split, or
// empty if there is none.
func (r *runner) serviceOf(spec *Spec) string {
	if route := r.route(spec); route != nil && len(route.Splits) > 0 {
		return route.Splits[0].Service
	}
	return ""
}

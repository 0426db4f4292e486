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

type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	// phaseScoring: the text is whole and waits for its score.
	phaseScoring
	phaseFinished
)

// itemState is how far an item of an owned job is.
type itemState struct {
	phase phase
	text  text
	// work is what the item asks for, whatever its id.
	work fingerprint.Fingerprint
	// trial tells that its next run finds out whether the work still ends what runs it.
	trial    bool
	failures int
	// backend runs it, while phaseRunning.
	backend string
	cancel  context.CancelCauseFunc
	started time.Time
	// waited is the time from the job's opening to its first run.
	waited     time.Duration
	runs       int
	firstStart time.Time
	// line numbers the texts that were begun anew; saved counts the events of the
	// present one that are stored.
	line, saved int
	// savedWhole tells that the whole text is stored.
	savedWhole bool
	moved      time.Time
	avoid      string
	// target is the back end that the item is being moved to, empty if it is not; a slot
	// is kept free there until the run before has ended.
	target string
	// urgent items, which were moved, go before all that wait.
	urgent bool
	// short items are expected to be among the shorter two thirds of their job.
	short bool
	// long items are expected to be among the longest of their job.
	long  bool
	score scoreState
}

// ownedJob is a job that this node runs. The runner's lock guards it.
type ownedJob struct {
	id string
	// tenant is on whose behalf the items run; it never changes.
	tenant string
	// origin is the head as it was when this node began to run the job.
	origin Head
	spec   *Spec
	items  []itemState
	order  []int
	ctx    context.Context
	cancel context.CancelFunc
	// ready is set once what the store holds of the job has been read.
	ready         bool
	suspended     bool
	checkpointing bool
	opened        time.Time
	// heldSaid is when the log last told why no back end may get items of the job.
	heldSaid time.Time

	head      Head
	revision  int64
	committed []Result
	// finished holds results that are not committed yet.
	finished []finishedItem
	wake     chan struct{}
	// committing holds a token during a commit, so that one is under way at a time;
	// it is no mutex, since who waits for it may have little time.
	committing chan struct{}
	// left counts items that are not finished.
	left   int
	groups groups
	// scoring are the items in phaseScoring, by index, the first one first.
	scoring []int
	// failures counts failed runs and calls; failuresStored, those that the head
	// tells of.
	failures, failuresStored int
}

// active tells whether items of the job may run.
func (j *ownedJob) active() bool { return j.ready && !j.suspended && j.left > 0 }

// runner runs the items of the jobs that this node owns.
type runner struct {
	manager *Manager

	mu    sync.Mutex
	jobs  map[string]*ownedJob
	kept  keptTexts
	wakes chan struct{}
	// seconds bounds second calls of scoring services beside slow ones.
	seconds secondCalls
	lengths lengths
	unsent  *unsent
}

func newRunner(manager *Manager) *runner {
	return &runner{
		manager: manager, jobs: make(map[string]*ownedJob), kept: newKeptTexts(), wakes: make(chan struct{}, 1),
		unsent: newUnsent(),
	}
}

func (r *runner) kick() {
	select {
	case r.wakes <- struct{}{}:
	default:
	}
}

// scheduleEvery is how often the schedule is made anew without an event.
const scheduleEvery = 100 * time.Millisecond

func (r *runner) run(ctx context.Context) {
	ticker := time.NewTicker(scheduleEvery)
	defer ticker.Stop()
	checkpoints := time.NewTicker(checkpointEvery)
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
		case <-r.wakes:
		}
		began := time.Now()
		r.schedule()
		if rest := schedulePause(time.Since(began)); rest > 0 {
			pause.For(ctx, rest)
		}
	}
}

// idle tells whether the node owns no job; opening one wakes the runner.
func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.jobs) == 0
}

const (
	// scheduleShare is the share of the time that schedules may take.
	scheduleShare = 0.2
	// scheduleQuick is the time of a schedule after which the next may follow at
	// once.
	scheduleQuick = time.Millisecond
)

// schedulePause returns how long to wait after a schedule that took some time:
// with thousands of back ends each item that ends would bring on a long one.
func schedulePause(took time.Duration) time.Duration {
	if took < scheduleQuick {
		return 0
	}
	return min(time.Duration(float64(took)*(1/scheduleShare-1)), scheduleEvery)
}

func (r *runner) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id] != nil
}

// Work returns the number of jobs that this node runs, and of items at back ends.
func (m *Manager) Work() (jobs, items int) {
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

func (r *runner) owned() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.jobs))
	for id := range r.jobs {
		ids = append(ids, id)
	}
	return ids
}

// open begins to run a job.
func (r *runner) open(ctx context.Context, id string) {
	state, found := r.manager.snapshot(id)
	if !found {
		return
	}
	jobCtx, cancel := context.WithCancel(ctx)
	job := &ownedJob{
		id: id, tenant: state.head.Tenant, ctx: jobCtx, cancel: cancel, head: state.head, origin: state.head, revision: state.headRevision,
		wake: make(chan struct{}, 1), opened: time.Now(), committing: make(chan struct{}, 1),
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
	if first && r.manager.config.OnWork != nil {
		r.manager.config.OnWork()
	}
	go r.load(job)
}

// loadRetryPause is the pause between attempts to read a job.
const loadRetryPause = 100 * time.Millisecond

// load reads what the store holds of the job and starts it.
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

// start makes the items ready to run.
func (r *runner) start(job *ownedJob, found stored) {
	spec, committed := found.spec, found.committed
	listed := listedIDs(committed)
	singleVersion := r.singleVersion(spec)
	works, scoreWorks := r.worksOf(job, spec)
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
		job.left++
		item.text = found.texts[i]
		kept, known := r.kept.take(spec.Items[i].ID)
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

// worksOf returns the fingerprints of a job's items, and those of the calls that score
// them.
func (r *runner) worksOf(job *ownedJob, spec *Spec) (items, scores []fingerprint.Fingerprint) {
	items, scores = make([]fingerprint.Fingerprint, len(spec.Items)), make([]fingerprint.Fingerprint, len(spec.Items))
	for i := range spec.Items {
		item := &spec.Items[i]
		items[i] = r.manager.config.WorkOf(fingerprint.Work{Host: spec.Host, Target: item.Path, Tenant: job.tenant, Body: item.Body})
		if s := item.Scorer; s != nil {
			scores[i] = r.manager.config.WorkOf(fingerprint.Work{Host: s.Host, Target: s.Path, Tenant: job.tenant, Body: s.Body})
		}
	}
	return items, scores
}

func (r *runner) singleVersion(spec *Spec) bool {
	route := r.route(spec)
	return route != nil && route.SingleVersion
}

// route returns the route of a job in the configuration in force.
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

// pool returns the service that a job's items run at, that of the route's first
// part if there are several.
func (r *runner) pool(spec *Spec) string {
	if route := r.route(spec); route != nil && len(route.Splits) > 0 {
		return route.Splits[0].Service
	}
	return ""
}

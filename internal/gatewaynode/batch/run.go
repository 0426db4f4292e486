package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventstream"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// Causes for which this node itself ends a run.
var (
	errStopping = errors.New("node is stopping")
	errExpired  = errors.New("item waited too long")
	errMoved    = errors.New("moved to a faster back end")
	errSilent   = fmt.Errorf("no event: %w", upstream.ErrSilent)
)

// Ends of a run that its back end brought about.
var (
	errGap        = errors.New("event is not the next one")
	errOldVersion = errors.New("weights older than the job allows")
	errMixed      = errors.New("weights of another version than the text so far")
	errNoStream   = errors.New("answer is no event stream")
	errEmpty      = errors.New("stream without events")
	errUndoable   = errors.New("back end says it can never be done")
	errFailed     = errors.New("back end failed")
)

// run is one run of an item at one back end.
type run struct {
	runner  *runner
	job     *ownedJob
	index   int
	route   *routetable.Route
	backend fleet.Backend
	// request decides which back ends may get the item.
	request eligibility.Request
	work    fingerprint.Fingerprint
	ctx     context.Context
	cancel  context.CancelCauseFunc
	endSlot func()
	// asked tells that the run waits for a connection no longer.
	asked func()
	// deadline is when the back end has to stop work; zero means none.
	deadline time.Time
	// priority is the rank of the run at its back end.
	priority int
}

// launch starts a run. The lock is held.
func (r *runner) launch(job *ownedJob, index int, route *routetable.Route, backend fleet.Backend) {
	ctx, cancel := context.WithCancelCause(job.ctx)
	item := &job.items[index]
	item.phase, item.backend, item.cancel, item.started = phaseRunning, backend.ID, cancel, time.Now()
	item.target = ""
	if item.runs == 0 {
		item.firstStart = item.started
		item.waited = item.started.Sub(job.opened)
	}
	item.runs++
	started := &run{
		runner: r, job: job, index: index, route: route, backend: backend, ctx: ctx, cancel: cancel,
		endSlot: r.manager.config.Fleet.Begin(backend.ID), priority: upstream.PriorityOf(r.rank(job.tenant, route), item.behind()),
		request: r.requestOf(job, index, route), work: item.work, asked: r.unsent.begin(backend.ID),
	}
	if !item.trial {
		started.request.Work = item.work
	}
	item.trial = false
	if route.MaxQueue > 0 {
		started.deadline = item.started.Add(max(route.MaxQueue-job.head.age(item.started), time.Second))
	}
	after := len(item.text.events)
	go started.serve(after)
}

// How far runs are put behind others of their rank at their back ends. One that runs out
// of memory puts the newest of the lowest priority back, which then is silent until there
// is room, and is read anew.
const (
	behindLong   = 0
	behindMiddle = 1
	behindShort  = 2
)

// longText is from how many events on an item counts as long, whatever was expected of
// it: twice the length of most.
const longText = 30

// behind returns how far the item's next run is put behind others: a step waits for its
// longest items, and what they have made is the most to be read again.
func (i *itemState) behind() int {
	switch {
	case i.long || len(i.text.events) >= longText:
		return behindLong
	case i.short:
		return behindShort
	}
	return behindMiddle
}

// admit asks at the moment of sending whether the back end may get the item.
func (r *run) admit() error {
	defer r.asked()
	return r.runner.manager.config.Gate.Admit(r.backend.ID, r.request)
}

func (r *run) item() *Item { return &r.job.spec.Items[r.index] }

// serve runs the item until its end or a failure, and settles what became of it.
func (r *run) serve(after int) {
	err := r.stream(after)
	cause := context.Cause(r.ctx)
	r.cancel(nil)
	r.asked()
	r.endSlot()
	if err != nil && cause != nil {
		err = cause
	}
	r.runner.settle(r, err)
	r.runner.kick()
}

func (r *run) call(after int) *upstream.Call {
	item := r.item()
	header := make(http.Header, len(item.Header))
	for name, value := range item.Header {
		header.Set(name, value)
	}
	call := &upstream.Call{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: r.job.spec.Host,
		Header: header, Body: item.Body, Address: r.backend.Address, Instance: r.backend.ID,
		Tenant: r.job.tenant, Deadline: r.deadline, Priority: r.priority,
		Admit:   r.admit,
		Purpose: upstream.PurposeItem, Work: r.work,
	}
	if after > 0 {
		call.Resume, call.ResumeAfter = true, int64(after)
	}
	return call
}

func (r *run) stream(after int) error {
	m := r.runner.manager
	// A back end may run the item and never answer.
	watch := newWatchdog(r.silenceLimit(), func() { r.cancel(errSilent) })
	defer watch.stop()
	answer, err := m.config.Client.Do(r.ctx, r.call(after))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	m.observeLoad(r.backend.ID, answer.Meta)
	if answer.Status != http.StatusOK {
		answer.Drain()
	}
	switch {
	case answer.Status == http.StatusUnprocessableEntity:
		return errUndoable
	case answer.Status >= http.StatusInternalServerError:
		return errFailed
	case answer.Status != http.StatusOK:
		return errNoStream
	}
	return r.read(answer, after, watch)
}

// observeLoad takes the load that an answer of a back end reports.
func (m *Manager) observeLoad(backend string, meta upstream.Meta) {
	if meta.HasLoad {
		m.config.Fleet.ObserveLoad(backend, meta.Load(), time.Now())
	}
}

// read takes events until the stream's end.
func (r *run) read(answer *upstream.Answer, after int, watch *watchdog) error {
	reader := eventstream.NewReader(answer.Body, r.runner.manager.config.VersionField)
	version := answer.Meta.Version
	watch.reset()
	var arrivals paceWindow
	for count := after; ; count++ {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if count == 0 {
				return errEmpty
			}
			return nil
		}
		if err != nil {
			return err
		}
		watch.reset()
		if event.Version > 0 {
			version = event.Version
		}
		if event.HasID && event.ID != int64(count)+1 {
			return errGap
		}
		now := time.Now()
		if pace, known := arrivals.add(now); known {
			r.runner.manager.config.Fleet.ObservePace(r.backend.ID, pace, now)
		}
		if err := r.runner.take(r, event, version); err != nil {
			return err
		}
	}
}

const (
	// silencePaces is how many usual paces may pass without an event.
	silencePaces = 12
	silenceLeast = 700 * time.Millisecond
	silenceMost  = 4 * time.Second
)

func (r *run) silenceLimit() time.Duration {
	usual := max(r.backend.Pace, usualPace)
	return min(max(silencePaces*usual, silenceLeast), silenceMost)
}

// watchdog calls back after a silence. If it is called late, the process did
// not run for a while and the silence proves nothing: it waits once more.
type watchdog struct {
	limit time.Duration
	due   atomic.Int64
	timer *time.Timer
}

// lateMost is how late a timer may be in a process that runs.
const lateMost = 150 * time.Millisecond

func newWatchdog(limit time.Duration, expired func()) *watchdog {
	watch := &watchdog{limit: limit}
	watch.due.Store(time.Now().Add(limit).UnixNano())
	watch.timer = time.AfterFunc(limit, func() {
		late := time.Since(time.Unix(0, watch.due.Load()))
		if late > lateMost {
			watch.reset()
			return
		}
		expired()
	})
	return watch
}

func (w *watchdog) reset() {
	w.due.Store(time.Now().Add(w.limit).UnixNano())
	w.timer.Reset(w.limit)
}

func (w *watchdog) stop() { w.timer.Stop() }

// take adds an event to the item's text.
func (r *runner) take(run *run, event eventstream.Event, version int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	item := &run.job.items[run.index]
	if run.ctx.Err() != nil || item.phase != phaseRunning {
		return context.Canceled
	}
	if version < run.job.spec.MinVersion {
		return errOldVersion
	}
	if only := item.text.only(run.route.SingleVersion); only != 0 && version != only {
		item.dropText()
		return errMixed
	}
	item.text.events = append(item.text.events, event.Data)
	item.text.versions = append(item.text.versions, version)
	return nil
}

// dropText begins the item's text anew.
func (i *itemState) dropText() {
	i.text = text{}
	i.line++
	i.saved, i.savedWhole = 0, false
}

// settle decides what becomes of an item after a run.
func (r *runner) settle(run *run, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	item := &run.job.items[run.index]
	if item.phase != phaseRunning {
		return
	}
	item.phase, item.cancel = phaseWaiting, nil
	if err == nil {
		item.text.complete = true
		r.lengths.observe(run.job.spec.Model, run.item().LengthHint, len(item.text.events), time.Since(item.firstStart))
		r.logItem(run, eventlog.ItemDone, nil)
		r.textWhole(run.job, run.index)
		return
	}
	if upstream.Withheld(err) {
		r.withhold(run, err)
		return
	}
	r.blame(run, err)
	switch {
	case errors.Is(err, errUndoable):
		r.logItem(run, eventlog.ItemDead, err)
		r.finish(run.job, run.index, Dead)
		return
	case errors.Is(err, errFailed):
		item.failures++
		run.job.failures++
		run.job.wakeCommit()
		if item.failures >= max(run.route.MaxAttempts, 1) {
			r.logItem(run, eventlog.ItemDead, err)
			r.finish(run.job, run.index, Dead)
			return
		}
	case errors.Is(err, errEmpty):
		item.dropText()
	}
	if run.job.ctx.Err() == nil {
		r.logItem(run, eventlog.ItemBroken, err)
	}
}

// withhold takes note of a run that this node kept back itself: that says nothing of the
// back end, and is no run. The item waits for another. The lock is held.
func (r *runner) withhold(run *run, err error) {
	item := &run.job.items[run.index]
	item.runs--
	r.manager.config.Log.Info(eventlog.ItemWithheld, eventlog.Fields{
		eventlog.Job: run.job.id, eventlog.Item: run.item().ID, eventlog.Backend: run.backend.ID,
		eventlog.Reason: eligibility.LabelOf(err), eventlog.Cause: err.Error(),
	})
}

// pauses for a back end that a run ended badly at.
const (
	refusedPause = 300 * time.Millisecond
	stalePause   = 500 * time.Millisecond
)

// blame records what a run's end says of its back end.
func (r *runner) blame(run *run, err error) {
	backends, now := r.manager.config.Fleet, time.Now()
	switch {
	case run.job.ctx.Err() != nil, errors.Is(err, errMoved), errors.Is(err, errStopping), errors.Is(err, errExpired),
		errors.Is(err, errUndoable), errors.Is(err, errFailed), errors.Is(err, upstream.ErrCut):
	case errors.Is(err, errOldVersion), errors.Is(err, errMixed):
		backends.Suspend(run.backend.ID, "weights", now.Add(stalePause))
	case upstream.FateOf(err) == upstream.NotRun && isUpstream(err):
		backends.Suspend(run.backend.ID, "refused", now.Add(refusedPause))
	default:
		backends.ObserveFailure(run.backend.ID, err.Error(), now)
	}
}

func isUpstream(err error) bool {
	var failure *upstream.Error
	return errors.As(err, &failure)
}

func (r *runner) logItem(run *run, event string, err error) {
	item := &run.job.items[run.index]
	fields := eventlog.Fields{
		eventlog.Job: run.job.id, eventlog.Item: run.item().ID, eventlog.Backend: run.backend.ID,
		"events": len(item.text.events), eventlog.TookMillis: time.Since(item.started).Milliseconds(),
		eventlog.Version: run.backend.Models[run.job.spec.Model], "min_version": run.job.spec.MinVersion,
		"in_flight": run.backend.InFlight, "others": run.backend.OthersRunning, "hint": run.item().LengthHint,
		"waited_ms": item.waited.Milliseconds(), "runs": item.runs, "since_open_ms": time.Since(run.job.opened).Milliseconds(),
	}
	if err == nil {
		r.manager.config.Log.Info(event, fields)
		return
	}
	fields[eventlog.Cause] = err.Error()
	fields[eventlog.Work] = run.work.String()
	fields["failures"] = item.failures
	r.manager.config.Log.Warn(event, fields)
}

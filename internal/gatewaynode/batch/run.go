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

// Causes for which this node cancels a run.
var (
	errStopping = errors.New("node is stopping")
	errExpired  = errors.New("item exceeded the maximum queue time")
	errMoved    = errors.New("item moved to a faster backend")
	errSilent   = fmt.Errorf("no event: %w", upstream.ErrSilent)
)

// Failures of a run that the response of its backend shows.
var (
	errEventGap       = errors.New("event id out of sequence")
	errOldVersion     = errors.New("weight version older than the job's minimum")
	errVersionChanged = errors.New("weight version differs from that of the output so far")
	errNoStream       = errors.New("response is not an event stream")
	errEmptyStream    = errors.New("stream ended without events")
	errTextTooLong    = errors.New("output too long")
	errUnprocessable  = errors.New("backend rejected the item as unprocessable")
	errServerError    = errors.New("backend returned a server error")
)

// run is one execution of an item on one backend.
type run struct {
	runner  *runner
	job     *ownedJob
	index   int
	route   *routetable.Route
	backend fleet.Backend
	// request decides which backends may receive the item.
	request eligibility.Request
	work    fingerprint.Fingerprint
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// releaseSlot releases the slot of the run in the fleet's accounts.
	releaseSlot func()
	// markSent removes the run from the runner's unsent counts.
	markSent func()
	// deadline is when the backend has to stop processing; zero means none.
	deadline time.Time
	// priority is the priority of the run at its backend.
	priority int
}

// startRun starts a run of an item on a backend. The caller holds r.mu.
func (r *runner) startRun(job *ownedJob, index int, route *routetable.Route, backend fleet.Backend) {
	ctx, cancel := context.WithCancelCause(job.ctx)
	item := &job.items[index]
	item.phase, item.backend, item.cancel, item.started = phaseRunning, backend.ID, cancel, time.Now()
	item.target = ""
	if item.runs == 0 {
		item.firstStart = item.started
		item.startDelay = item.started.Sub(job.opened)
	}
	item.runs++
	started := &run{
		runner: r, job: job, index: index, route: route, backend: backend, ctx: ctx, cancel: cancel,
		releaseSlot: r.manager.config.Fleet.Begin(backend.ID), priority: upstream.PriorityOf(r.priority(job.tenant, route), item.priorityOffset()),
		request: r.requestOf(job, index, route), work: item.work, markSent: r.unsent.begin(backend.ID),
	}
	if route.MaxQueue > 0 {
		started.deadline = item.started.Add(max(route.MaxQueue-job.head.age(item.started), time.Second))
	}
	after := len(item.text.events)
	go started.serve(after)
}

// Priority offsets of runs within their rank, by the item's expected length. A backend
// that runs out of memory preempts the newest run of the lowest priority, which produces
// no events until there is memory again and then has to be prefilled anew.
const (
	offsetLong   = 0
	offsetMiddle = 1
	offsetShort  = 2
)

// minLongEvents is the number of events from which an item counts as long, whatever its
// expected length.
const minLongEvents = 30

// priorityOffset returns the priority offset of the item's next run. Long items go first: they
// determine when their training step ends, and preempting them costs the most prefill.
func (i *itemState) priorityOffset() int {
	switch {
	case i.long || len(i.text.events) >= minLongEvents:
		return offsetLong
	case i.short:
		return offsetShort
	}
	return offsetMiddle
}

// admit checks immediately before sending whether the backend may receive the item.
func (r *run) admit() error {
	defer r.markSent()
	return r.runner.manager.config.Gate.Admit(r.backend.ID, r.request)
}

func (r *run) item() *Item { return &r.job.spec.Items[r.index] }

// serve executes the run and passes its outcome to finishRun. after is the number of
// events that the item has already.
func (r *run) serve(after int) {
	err := r.stream(after)
	cause := context.Cause(r.ctx)
	r.cancel(nil)
	r.markSent()
	r.releaseSlot()
	if err != nil && cause != nil {
		err = cause
	}
	r.runner.finishRun(r, err)
	r.runner.kick()
}

// call returns the upstream call of the run, which resumes after the given number of
// events.
func (r *run) call(after int) *upstream.Call {
	item := r.item()
	call := &upstream.Call{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: r.job.spec.Host,
		Header: item.header(), Body: item.Body, Address: r.backend.Address, Instance: r.backend.ID,
		Tenant: r.job.tenant, Deadline: r.deadline, Priority: r.priority,
		Admit:   r.admit,
		Purpose: upstream.PurposeItem, Work: r.work,
	}
	if after > 0 {
		call.Resume, call.ResumeAfter = true, int64(after)
	}
	return call
}

// stream sends the call and reads its events until the stream ends.
func (r *run) stream(after int) error {
	m := r.runner.manager
	// The watchdog covers backends that accept the item and never respond.
	watch := newWatchdog(r.silenceLimit(), func() { r.cancel(errSilent) })
	defer watch.stop()
	answer, err := m.config.Client.Do(r.ctx, r.call(after))
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	m.observeLoad(r.backend.ID, answer.Meta)
	if answer.Status != http.StatusOK {
		// A failure whose body does not end is no answer, and does not count against the item.
		if err := answer.Drain(); err != nil {
			return answer.BodyError(err)
		}
	}
	switch {
	case answer.Status == http.StatusUnprocessableEntity:
		return errUnprocessable
	case answer.Status >= http.StatusInternalServerError:
		return errServerError
	case answer.Status != http.StatusOK:
		return errNoStream
	}
	return r.read(answer, after, watch)
}

// observeLoad records the load that a backend reported in a response.
func (m *Manager) observeLoad(backend string, meta upstream.Meta) {
	if meta.HasLoad {
		m.config.Fleet.ObserveLoad(backend, meta.Load(), time.Now())
	}
}

// read adds the events of a response to the item's output until the stream ends.
func (r *run) read(answer *upstream.Answer, after int, watch *watchdog) error {
	reader := eventstream.NewReader(answer.Body, r.runner.manager.config.VersionField)
	version := answer.Meta.Version
	watch.reset()
	var arrivals paceWindow
	for count := after; ; count++ {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			if count == 0 {
				return errEmptyStream
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
		if !event.HasID || event.ID != int64(count)+1 {
			return errEventGap
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
	// silenceIntervals is the silence limit as a multiple of the usual interval between
	// events; minSilence and maxSilence bound the limit.
	silenceIntervals = 12
	minSilence       = 700 * time.Millisecond
	maxSilence       = 4 * time.Second
)

// silenceLimit returns the time without an event after which the run is canceled.
func (r *run) silenceLimit() time.Duration {
	usual := max(r.backend.Pace, defaultPace)
	return min(max(silenceIntervals*usual, minSilence), maxSilence)
}

// watchdog calls a function if it is not reset within a limit. If its timer fires late,
// the process was suspended or starved, so that the backend may not have been silent: it
// then waits for another limit.
type watchdog struct {
	limit time.Duration
	// due is when the timer should fire, in Unix nanoseconds.
	due   atomic.Int64
	timer *time.Timer
}

// maxTimerDelay is the maximum delay of a timer in a process that is scheduled normally.
const maxTimerDelay = 150 * time.Millisecond

// newWatchdog starts a watchdog that calls expired.
func newWatchdog(limit time.Duration, expired func()) *watchdog {
	watch := &watchdog{limit: limit}
	watch.due.Store(time.Now().Add(limit).UnixNano())
	watch.timer = time.AfterFunc(limit, func() {
		late := time.Since(time.Unix(0, watch.due.Load()))
		if late > maxTimerDelay {
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

const (
	// maxTextBytes bounds the output of an item that this node receives, several times what a
	// result can hold. A backend may send events without end.
	maxTextBytes = 4 << 20
	// eventOverhead is about what an event takes in memory besides its data.
	eventOverhead = 64
)

// take adds an event to the item's output. It returns an error if the run was canceled, the weight
// version is not allowed, or the output is too long, in which case it is discarded.
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
	if only := item.text.requiredVersion(run.route.SingleVersion); only != 0 && version != only {
		item.resetText()
		return errVersionChanged
	}
	item.text.add(event.Data, version)
	item.received += len(event.Data) + eventOverhead
	if item.received > maxTextBytes {
		item.resetText()
		return errTextTooLong
	}
	return nil
}

// resetText discards the item's output and starts a new checkpoint sequence.
func (i *itemState) resetText() {
	i.text = text{}
	i.sequence++
	i.received, i.savedEvents, i.savedComplete = 0, 0, false
}

// finishRun handles the end of a run: it completes or fails the item, or leaves it waiting
// for another run.
func (r *runner) finishRun(run *run, err error) {
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
	r.recordBackendFailure(run, err)
	switch {
	case errors.Is(err, errUnprocessable):
		r.logItem(run, eventlog.ItemDead, err)
		r.finish(run.job, run.index, Dead)
		return
	case errors.Is(err, errServerError):
		item.failures++
		run.job.failures++
		run.job.wakeCommit()
		if item.failures >= max(run.route.MaxAttempts, 1) {
			r.logItem(run, eventlog.ItemDead, err)
			r.finish(run.job, run.index, Dead)
			return
		}
	case errors.Is(err, errEmptyStream):
		item.resetText()
	}
	if run.job.ctx.Err() == nil {
		r.logItem(run, eventlog.ItemBroken, err)
	}
}

// withhold handles a run that this node did not send. It does not count as a run or
// against the backend, and the item keeps waiting. The caller holds r.mu.
func (r *runner) withhold(run *run, err error) {
	item := &run.job.items[run.index]
	item.runs--
	r.manager.config.Log.Info(eventlog.ItemWithheld, eventlog.Fields{
		eventlog.Job: run.job.id, eventlog.Item: run.item().ID, eventlog.Backend: run.backend.ID,
		eventlog.Reason: eligibility.LabelOf(err), eventlog.Cause: err.Error(),
	})
}

const (
	// refusedPause is how long a backend is suspended after it refused a run.
	refusedPause = 300 * time.Millisecond
	// staleVersionPause is how long a backend is suspended after it used a weight version
	// that the item may not use.
	staleVersionPause = 500 * time.Millisecond
)

// recordBackendFailure suspends the backend of a failed run or counts a failure against it,
// depending on the error. It does neither if the job was closed, the item was moved, stopped or
// expired, or the failure may be due to the item. errSilent is a failure of the backend,
// although this node cancels the run.
func (r *runner) recordBackendFailure(run *run, err error) {
	backends, now := r.manager.config.Fleet, time.Now()
	switch {
	case run.job.ctx.Err() != nil, errors.Is(err, errMoved), errors.Is(err, errStopping), errors.Is(err, errExpired),
		errors.Is(err, errUnprocessable), errors.Is(err, errServerError):
	case errors.Is(err, errOldVersion), errors.Is(err, errVersionChanged):
		backends.Suspend(run.backend.ID, "weights", now.Add(staleVersionPause))
	case upstream.FateOf(err) == upstream.NotRun && isUpstream(err):
		backends.Suspend(run.backend.ID, "refused", now.Add(refusedPause))
	default:
		backends.ObserveFailure(run.backend.ID, err.Error(), now)
	}
}

// isUpstream reports whether err is or wraps an *upstream.Error.
func isUpstream(err error) bool {
	var failure *upstream.Error
	return errors.As(err, &failure)
}

// logItem logs the end of a run, as a warning if err is not nil. The caller holds r.mu.
func (r *runner) logItem(run *run, event string, err error) {
	item := &run.job.items[run.index]
	fields := eventlog.Fields{
		eventlog.Job: run.job.id, eventlog.Item: run.item().ID, eventlog.Backend: run.backend.ID,
		"events": len(item.text.events), eventlog.TookMillis: time.Since(item.started).Milliseconds(),
		eventlog.Version: run.backend.Models[run.job.spec.Model], "min_version": run.job.spec.MinVersion,
		"in_flight": run.backend.InFlight, "others": run.backend.OthersRunning, "hint": run.item().LengthHint,
		"waited_ms": item.startDelay.Milliseconds(), "runs": item.runs, "since_open_ms": time.Since(run.job.opened).Milliseconds(),
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

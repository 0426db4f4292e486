// Package forward passes a caller's request on to a back end and the answer
// back, unchanged.
//
// A request ends in exactly one of these ways:
//
//	answered   a back end's answer, whole, as it was given
//	refused    503 with Retry-After: it has not run and never will
//	failed     502 or 504: it may have run
//	broken     the connection is cut: an answer that began cannot be finished
//	left       the caller went away; every run was ended
//
// A request that must not be repeated is sent again only if the attempt before
// was not sent or not run. Others are sent again after any failure, and once
// more beside a slow attempt, within the route's attempts. An answer is kept
// back until it is whole, unless it is a stream or long, so that a cut answer
// is never passed on as a whole one.
package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// Request is a caller's request as it was read.
type Request struct {
	ID     string
	Method string
	Target string
	Host   string
	// Header holds what goes on to the back end.
	Header http.Header
	Body   []byte
	// Model is the model that has to answer, empty if any.
	Model string
	// Tenant is on whose behalf the request is made, empty for nobody's.
	Tenant   string
	Received time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeRefused  Outcome = "refused"
	OutcomeFailed   Outcome = "failed"
	OutcomeBroken   Outcome = "broken"
	OutcomeLeft     Outcome = "left"
)

// Report tells how a request ended, for logs and metrics.
type Report struct {
	Outcome  Outcome
	Status   int
	Cause    string
	Attempts int
	Backend  string
	Took     time.Duration
	// Tenant is on whose behalf the request was made.
	Tenant string
	// Began is when the first back end that took the request began to run it, as well
	// as it can be told, zero if none did. Back ends do not tell the moment. It is
	// taken for the one at which the attempt was sent that an answer came to or, of a
	// stream, at which its first event came; a request without any answer counts from
	// the first attempt that may have run. A request that ran at several back ends
	// counts once.
	Began time.Time
}

// Config configures a Forwarder.
type Config struct {
	Client       *upstream.Client
	Fleet        *fleet.Fleet
	Log          *eventlog.Log
	Zone         string
	VersionField string
	// Observe is told how each request ended; it may be nil.
	Observe func(kind routetable.Kind, report Report)
}

// Forwarder passes requests on. It is safe for concurrent use.
type Forwarder struct {
	config    Config
	sequence  atomic.Uint64
	offset    float64
	latencies latencies
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	return &Forwarder{config: config, offset: rand.Float64(), latencies: newLatencies()}
}

const (
	// bufferMost is the largest answer that is kept back until it is whole.
	bufferMost = 1 << 20
	// refusalsMost bounds the refusals by back ends that one request survives.
	refusalsMost = 6
)

// Serve answers the request on w. The end of ctx means that the caller left.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, request *Request, route *routetable.Route, configVersion int64) Report {
	service := route.Pick(f.sequence.Add(1), f.offset)
	limit := request.Deadline
	if byRoute := request.Received.Add(route.Timeout); route.Timeout > 0 && byRoute.Before(limit) {
		limit = byRoute
	}
	bounded, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	try := &try{forwarder: f, request: request, route: route, service: service, limit: limit, tried: make(map[string]int)}
	var report Report
	if route.Kind == routetable.KindStream {
		report = try.stream(bounded, w)
	} else {
		report = try.whole(bounded, w)
	}
	if ctx.Err() != nil && report.Outcome != OutcomeAnswered {
		report.Outcome = OutcomeLeft
	}
	report.Attempts = try.sends
	report.Tenant, report.Began = request.Tenant, try.beganAt()
	report.Took = time.Since(request.Received)
	f.note(request, route, service, report, configVersion)
	if f.config.Observe != nil {
		f.config.Observe(route.Kind, report)
	}
	return report
}

func (f *Forwarder) note(request *Request, route *routetable.Route, service string, report Report, configVersion int64) {
	event := map[Outcome]string{
		OutcomeAnswered: eventlog.RequestAnswered,
		OutcomeRefused:  eventlog.RequestRefused,
		OutcomeFailed:   eventlog.RequestFailed,
		OutcomeBroken:   eventlog.RequestFailed,
		OutcomeLeft:     eventlog.RequestLeft,
	}[report.Outcome]
	fields := eventlog.Fields{
		eventlog.Request: request.ID, eventlog.Route: route.Name, eventlog.Service: service,
		eventlog.Status: report.Status, eventlog.Attempts: report.Attempts, eventlog.Backend: report.Backend,
		eventlog.TookMillis: report.Took.Milliseconds(), eventlog.Config: configVersion,
		eventlog.LeftMillis: time.Until(request.Deadline).Milliseconds(),
	}
	if request.Tenant != "" {
		fields[eventlog.Tenant] = request.Tenant
	}
	if report.Cause != "" {
		fields[eventlog.Cause] = report.Cause
	}
	if report.Outcome == OutcomeAnswered {
		f.config.Log.Info(event, fields)
		return
	}
	f.config.Log.Warn(event, fields)
}

// try is one request on its way.
type try struct {
	forwarder *Forwarder
	request   *Request
	route     *routetable.Route
	service   string
	limit     time.Time

	// sends counts attempts that may have run; refusals those that did not.
	sends     int
	refusals  int
	uncertain bool
	tried     map[string]int
	cause     string
	// last is the back end that was tried last.
	last string
	// answered is when the first attempt was sent that a back end answered, or its first
	// event came; maybe is that of the first one without an answer that may have run.
	answered, maybe time.Time
}

// beganAt returns when the request began to run, zero if it did not.
func (t *try) beganAt() time.Time {
	if !t.answered.IsZero() {
		return t.answered
	}
	return t.maybe
}

// noteBegan records that a back end ran the request from a moment on.
func (t *try) noteBegan(moment time.Time) {
	if t.answered.IsZero() || moment.Before(t.answered) {
		t.answered = moment
	}
}

// repeatable tells whether the request may run more than once.
func (t *try) repeatable() bool {
	switch t.route.Kind {
	case routetable.KindSafe:
		return true
	case routetable.KindStream:
		return t.route.Resumable
	default:
		return false
	}
}

// attemptsMost is the number of attempts that may run.
func (t *try) attemptsMost() int { return max(t.route.MaxAttempts, 1) }

// maySend tells whether one more attempt is allowed.
func (t *try) maySend() bool {
	if t.sends >= t.attemptsMost() || t.refusals >= refusalsMost {
		return false
	}
	return !t.uncertain || t.repeatable()
}

// choose returns the back end for the next attempt.
func (t *try) choose(now time.Time) (fleet.Backend, bool) {
	return Choose(t.forwarder.config.Fleet.Service(t.service, now), Want{
		Zone:  t.forwarder.config.Zone,
		Model: t.request.Model,
		Tried: t.tried,
	}, now)
}

// call returns the call of an attempt.
func (t *try) call(backend fleet.Backend) *upstream.Call {
	return &upstream.Call{
		ID: t.request.ID, Method: t.request.Method, Target: t.request.Target, Host: t.request.Host,
		Header: t.request.Header, Body: t.request.Body,
		Address: backend.Address, Instance: backend.ID, Tenant: t.request.Tenant, Deadline: t.limit,
		// An idle connection may be closing just now; a request that must not be
		// repeated could not be sent again after that.
		Fresh: !t.repeatable(),
	}
}

// attemptResult is what became of one attempt at a whole answer.
type attemptResult struct {
	backend fleet.Backend
	answer  *upstream.Answer
	content []byte
	whole   bool
	err     error
}

// whole serves requests whose answer is kept back until it is complete.
func (t *try) whole(ctx context.Context, w http.ResponseWriter) Report {
	attempts, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, t.attemptsMost()+refusalsMost+1)
	pending := 0
	var launched time.Time
	var spare *attemptResult
	launch := func() bool {
		backend, found := t.choose(time.Now())
		if !found || !t.maySend() {
			return false
		}
		t.sends++
		t.tried[backend.ID]++
		t.last = backend.ID
		if pending == 0 {
			launched = time.Now()
		}
		pending++
		go func() { results <- t.attempt(attempts, backend) }()
		return true
	}
	if !launch() {
		return t.refuse(w, causeNoBackend)
	}
	hedge := time.NewTimer(t.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case result := <-results:
			pending--
			if t.settled(result) {
				return t.pass(w, result)
			}
			if result.answer != nil {
				spare = &result
			}
			if ctx.Err() == nil && launch() {
				continue
			}
			if pending > 0 {
				continue
			}
			if spare != nil {
				return t.pass(w, *spare)
			}
			return t.giveUp(w, ctx.Err())
		case <-hedge.C:
			if t.repeatable() {
				launch()
			}
		case <-ctx.Done():
			if pending > 0 {
				t.uncertain = true
				t.noteUnanswered(launched)
			}
			return t.giveUp(w, ctx.Err())
		}
	}
}

// settled takes note of a result and tells whether it ends the request.
func (t *try) settled(result attemptResult) bool {
	if result.err != nil {
		t.noteFailure(result.backend, result.err)
		return false
	}
	t.noteBegan(result.answer.Sent)
	if !result.whole {
		// A long answer: it has to go on now or never.
		return true
	}
	if result.answer.Status >= http.StatusInternalServerError && t.repeatable() && t.maySend() {
		t.uncertain = true
		t.cause = "back end answered " + strconv.Itoa(result.answer.Status)
		return false
	}
	return true
}

func (t *try) noteFailure(backend fleet.Backend, err error) {
	fate := upstream.FateOf(err)
	t.cause = err.Error()
	now := time.Now()
	switch fate {
	case upstream.NotRun:
		t.sends--
		t.refusals++
		t.forwarder.config.Fleet.Suspend(backend.ID, "refused", now.Add(refusedPause))
	case upstream.NotSent:
		t.sends--
		t.refusals++
		t.forwarder.config.Fleet.ObserveFailure(backend.ID, t.cause, now)
	default:
		t.uncertain = true
		t.noteMaybe(err)
		t.forwarder.config.Fleet.ObserveFailure(backend.ID, t.cause, now)
	}
	t.forwarder.config.Log.Warn(eventlog.AttemptFailed, eventlog.Fields{
		eventlog.Request: t.request.ID, eventlog.Backend: backend.ID, eventlog.Fate: fate.String(),
		eventlog.Cause: t.cause, "in_flight": backend.InFlight, "others": backend.OthersRunning,
	})
}

// noteMaybe records an attempt without an answer that may have run.
func (t *try) noteMaybe(err error) {
	var failure *upstream.Error
	if errors.As(err, &failure) {
		t.noteUnanswered(failure.Sent)
	}
}

func (t *try) noteUnanswered(sent time.Time) {
	if t.maybe.IsZero() {
		t.maybe = sent
	}
}

// refusedPause is how long a back end that refused a request is passed over.
const refusedPause = 50 * time.Millisecond

func (t *try) attempt(ctx context.Context, backend fleet.Backend) attemptResult {
	started := time.Now()
	end := t.forwarder.config.Fleet.Begin(backend.ID)
	defer end()
	result := attemptResult{backend: backend}
	answer, err := t.forwarder.config.Client.Do(ctx, t.call(backend))
	if err != nil {
		result.err = err
		return result
	}
	observeLoad(t.forwarder.config.Fleet, backend.ID, answer.Meta)
	content, err := io.ReadAll(io.LimitReader(answer.Body, bufferMost+1))
	if err != nil {
		_ = answer.Body.Close()
		result.err = &upstream.Error{Fate: upstream.Unknown, Cause: err, Sent: answer.Sent}
		return result
	}
	result.answer, result.content, result.whole = answer, content, len(content) <= bufferMost
	if result.whole {
		_ = answer.Body.Close()
		took := time.Since(started)
		t.forwarder.config.Fleet.ObserveLatency(backend.ID, took)
		t.forwarder.latencies.observe(t.route.Name, took)
	}
	return result
}

func observeLoad(backends *fleet.Fleet, id string, meta upstream.Meta) {
	if meta.HasLoad {
		backends.ObserveLoad(id, meta.Running, meta.Waiting, time.Now())
	}
}

const (
	// hedgeLatencies is how many times the usual latency an attempt may take
	// before a second one is sent beside it.
	hedgeLatencies = 3
	hedgeLeast     = 20 * time.Millisecond
	// hedgeTarget bounds the delay as a share of the route's target.
	hedgeTarget = 0.5
)

// hedgeDelay returns after which time a second attempt is sent beside the first.
func (t *try) hedgeDelay() time.Duration {
	usual := t.forwarder.latencies.usual(t.route.Name)
	most := time.Duration(hedgeTarget * float64(t.route.Target))
	if usual == 0 || most == 0 {
		return max(most, hedgeLeast)
	}
	return min(max(hedgeLatencies*usual, hedgeLeast), max(most, hedgeLeast))
}

// pass gives a back end's answer to the caller.
func (t *try) pass(w http.ResponseWriter, result attemptResult) Report {
	report := Report{Outcome: OutcomeAnswered, Status: result.answer.Status, Backend: result.backend.ID}
	copyHeader(w.Header(), result.answer.Header)
	if result.whole {
		setLength(w.Header(), t.request.Method, result)
		w.WriteHeader(result.answer.Status)
		_, _ = w.Write(result.content)
		return report
	}
	defer func() { _ = result.answer.Body.Close() }()
	if result.answer.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(result.answer.Length, 10))
	}
	w.WriteHeader(result.answer.Status)
	_, err := w.Write(result.content)
	if err == nil {
		_, err = io.Copy(w, result.answer.Body)
	}
	if err != nil {
		report.Outcome, report.Cause = OutcomeBroken, err.Error()
	}
	return report
}

func setLength(header http.Header, method string, result attemptResult) {
	length := int64(len(result.content))
	if method == http.MethodHead && result.answer.Length >= 0 {
		length = result.answer.Length
	}
	if result.answer.Status != http.StatusNoContent && result.answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// copyHeader copies what is not of one connection alone.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !HopByHop(name, from) {
			to[name] = values
		}
	}
}

// giveUp ends a request that no attempt could serve.
func (t *try) giveUp(w http.ResponseWriter, ended error) Report {
	if !t.uncertain {
		return t.refuse(w, t.cause)
	}
	status, cause := http.StatusBadGateway, t.cause
	if ended != nil {
		status, cause = http.StatusGatewayTimeout, t.limitReached()
	}
	Fail(w, status, 0)
	return Report{Outcome: OutcomeFailed, Status: status, Cause: cause, Backend: t.last}
}

// limitReached says which limit of time ended the request.
func (t *try) limitReached() string {
	if t.limit.Before(t.request.Deadline) {
		return "time-out of the route, " + t.route.Timeout.String()
	}
	return "deadline of the caller"
}

// refuse promises that the request has not run and says when to come back.
func (t *try) refuse(w http.ResponseWriter, cause string) Report {
	Fail(w, http.StatusServiceUnavailable, t.retryAfter(cause, time.Now()))
	return Report{Outcome: OutcomeRefused, Status: http.StatusServiceUnavailable, Cause: cause}
}

const (
	// retryTarget is when a refused caller should come back, as a share of the
	// route's target.
	retryTarget = 0.25
	retryLeast  = 50 * time.Millisecond
	// retryAbsent is when a caller should come back for whom there is no back end
	// at all, as a share of the time it has left. Entries of the registry lapse
	// while the store is away and come back with the next heartbeats: that takes
	// longer than a slot does to fall free.
	retryAbsent = 0.33
)

// causeNoBackend is why a request is refused for which no back end is known.
const causeNoBackend = "no back end"

func (t *try) retryAfter(cause string, now time.Time) time.Duration {
	if cause == causeNoBackend {
		return max(time.Duration(retryAbsent*float64(t.request.Deadline.Sub(now))), retryLeast)
	}
	return max(time.Duration(retryTarget*float64(t.route.Target)), retryLeast)
}

// Fail writes an answer of the node's own without a body. A retryAfter above 0
// tells when to come back.
func Fail(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// Package forward sends a caller's request to a backend and returns the backend's response
// unchanged.
//
// A request ends in exactly one of these ways:
//
//	answered   the complete response of a backend was returned as it was
//	refused    503 with Retry-After: the request has not run and never will
//	failed     502 or 504: the request may have run
//	broken     a response that was partly sent cannot be completed: the connection is cut
//	left       the caller left: every attempt was aborted
//
// A request that must not be repeated is retried only if the attempt before was not sent or
// not run. Others are retried after any failure, and hedged once if an attempt is slow, within
// the route's number of attempts. A response of up to maxBufferedBody bytes is buffered until
// it is complete, so that the node never passes on a part of it as complete; event streams and
// longer responses are passed on as they arrive, until the request ends.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// Request is a parsed request of a caller.
type Request struct {
	ID     string
	Method string
	Target string
	Host   string
	// Header holds the fields to send to the backend.
	Header http.Header
	Body   []byte
	// Model is the model that the backend has to hold, empty for any.
	Model string
	// Tenant is the tenant on whose behalf the request is made, empty for none.
	Tenant string
	// Regions are the regions that were allowed to serve the request when it arrived.
	Regions place.Regions
	// Rank is the priority rank of the request at the backends, 0 the highest.
	Rank     int
	Received time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Outcome is how a request ended.
type Outcome string

// The outcomes, described in the package comment.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeRefused  Outcome = "refused"
	OutcomeFailed   Outcome = "failed"
	OutcomeBroken   Outcome = "broken"
	OutcomeLeft     Outcome = "left"
)

// Report describes how a request ended, for logs and metrics.
type Report struct {
	Outcome  Outcome
	Status   int
	Cause    string
	Attempts int
	Backend  string
	Took     time.Duration
	// Tenant is the tenant on whose behalf the request was made.
	Tenant string
	// Reasons counts, for a refused request, the ineligible backends by the label of the
	// reason.
	Reasons map[string]int
	// Began is an estimate of when the request began to run, since backends do not report the
	// time. It is the earliest send time of the attempts that got a response, for an event
	// stream the arrival of the first event. Without either it is the earliest send time of the
	// attempts that likely ran, see likelyBegan, or that this node aborted; zero if there are none.
	Began time.Time
	// BeganBy is the evidence that the request began to run, empty if it did not.
	BeganBy Evidence
}

// Config configures a Forwarder.
type Config struct {
	Client *upstream.Client
	Fleet  *fleet.Fleet
	// Gate decides which backends are eligible for a request.
	Gate         *eligibility.Gate
	Log          *eventlog.Log
	Reach        Reach
	VersionField string
	// Regions returns the regions in which the configuration in force allows the requests of
	// a tenant on a route to be served; nil allows every region.
	Regions func(route, tenant string) place.Regions
	// WorkOf returns the fingerprint of a request; nil disables fingerprints.
	WorkOf func(fingerprint.Input) fingerprint.Fingerprint
	// Trials allows trial runs of quarantined requests; it is nil if WorkOf is.
	Trials Trials
	// Observe is called with the report of each request; it may be nil.
	Observe func(kind routetable.Kind, report Report)
}

// Trials decides when quarantined requests may run.
type Trials interface {
	// Try reports whether this node may send a request with a quarantined fingerprint once. It
	// may query the store.
	Try(ctx context.Context, fp fingerprint.Fingerprint) bool
	// Retry returns how long the caller of a quarantined request should wait before it retries.
	Retry(fp fingerprint.Fingerprint) time.Duration
}

// Reach knows the network distances and idle connections to backends.
type Reach interface {
	// Fill sets the Reach field of each backend.
	Fill(backends []fleet.Backend, now time.Time)
}

// Forwarder forwards requests to backends. It is safe for concurrent use.
type Forwarder struct {
	config    Config
	sequence  atomic.Uint64
	offset    float64
	latencies latencies
	durations durations
	// stop is set once a planned stop has begun; running ends, by cancel, at its end.
	stop    atomic.Pointer[stopTimes]
	running context.Context
	cancel  context.CancelCauseFunc
	// latencyBudget is replaced by tests that compare admission policies.
	latencyBudget func(AdmissionRequest) time.Duration
	rankBudgets   rankBudgets
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	running, cancel := context.WithCancelCause(context.Background())
	return &Forwarder{
		config: config, offset: rand.Float64(), latencies: newLatencies(), durations: newDurations(), running: running, cancel: cancel,
		latencyBudget: latencyBudget, rankBudgets: newRankBudgets(),
	}
}

const (
	// maxBufferedBody is the size in bytes up to which a response body is buffered until it is
	// complete.
	maxBufferedBody = 1 << 20
	// maxRefusals bounds the attempts of one request that backends refused or that could not
	// be sent. maxRefusalsSpare takes its place if there was spare capacity at the admission
	// decision: some backends refuse regardless of their load, and a request must not fail
	// because of them.
	maxRefusals      = 6
	maxRefusalsSpare = 20
	// maxWithheld bounds the attempts of one request that this node withholds since the
	// chosen backend became ineligible between the choice and the send.
	maxWithheld = 8
)

// Serve answers the request on w. The end of ctx means that the caller left.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, request *Request, route *routetable.Route, configVersion int64) Report {
	service := route.Pick(f.sequence.Add(1), f.offset)
	limit := request.Deadline
	if byRoute := request.Received.Add(route.Timeout); route.Timeout > 0 && byRoute.Before(limit) {
		limit = byRoute
	}
	bounded, cancel := f.bounded(ctx, limit)
	defer cancel()
	try := &try{
		ctx: ctx, began: clock.NewMark(), forwarder: f, request: request, route: route, service: service, fingerprint: f.fingerprintOf(request),
		limit: limit, tried: make(map[string]int),
	}
	report := try.serve(bounded, w)
	if ctx.Err() != nil && report.Outcome != OutcomeAnswered && !try.cutAtEnd(report) {
		report.Outcome, report.Cause = OutcomeLeft, context.Cause(ctx).Error()
	}
	report.Attempts = try.sends
	report.Tenant = request.Tenant
	report.Began, report.BeganBy = try.beganAt()
	report.Took = time.Since(request.Received)
	if report.Outcome == OutcomeAnswered || report.Outcome == OutcomeFailed && bounded.Err() != nil {
		// A request that failed earlier tells nothing of how long the others take.
		f.durations.observe(route.Name, report.Took)
	}
	f.logReport(try, report, configVersion)
	if f.config.Observe != nil {
		f.config.Observe(route.Kind, report)
	}
	return report
}

// serve answers the request on w; ctx ends with the request.
func (x *try) serve(ctx context.Context, w http.ResponseWriter) Report {
	if !x.acceptedWhileStopping() {
		return x.refuseWhileStopping(w)
	}
	if trials := x.forwarder.config.Trials; trials != nil {
		x.trial = trials.Try(ctx, x.fingerprint)
	}
	if x.route.Kind == routetable.KindStream {
		return x.serveStream(ctx, w)
	}
	return x.serveBuffered(ctx, w)
}

// cutAtEnd reports whether a response was cut at the end of the request, for which the write
// deadline is set. net/http then ends the context as if the caller had left.
func (x *try) cutAtEnd(report Report) bool {
	return report.Outcome == OutcomeBroken && !time.Now().Before(x.endTime())
}

// fingerprintOf returns the fingerprint of a request.
func (f *Forwarder) fingerprintOf(request *Request) fingerprint.Fingerprint {
	if f.config.WorkOf == nil {
		return fingerprint.Fingerprint{}
	}
	return f.config.WorkOf(fingerprint.Input{Host: request.Host, Target: request.Target, Tenant: request.Tenant, Body: request.Body})
}

// logReport logs the end of a request.
func (f *Forwarder) logReport(t *try, report Report, configVersion int64) {
	request, route, service := t.request, t.route, t.service
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
	if !report.Began.IsZero() {
		fields[eventlog.Began], fields[eventlog.BeganMillis] = report.BeganBy, time.Since(report.Began).Milliseconds()
	}
	if len(report.Reasons) > 0 {
		fields[eventlog.Reasons] = report.Reasons
	}
	if report.Outcome == OutcomeAnswered {
		f.config.Log.Info(event, fields)
		return
	}
	fields[eventlog.Work], fields["refusals"] = t.fingerprint.String(), t.refusals
	f.config.Log.Warn(event, fields)
}

// try is the state of one request from its arrival to its response.
type try struct {
	// ctx ends when the caller leaves.
	ctx       context.Context
	forwarder *Forwarder
	request   *Request
	route     *routetable.Route
	service   string
	// limit is when the request ends by the monotonic clock, which stops while the machine is
	// suspended. Time suspended since began is subtracted from it, see endTime.
	limit time.Time
	began clock.Mark
	// fingerprint identifies equal requests, whatever their IDs.
	fingerprint fingerprint.Fingerprint
	// trial marks the request that may run although its fingerprint is quarantined, to find
	// out whether it still terminates backends.
	trial bool

	// sends counts the attempts that are pending, got a response or may have run. refusals
	// counts those that a backend refused or that could not be sent, but not those withheld.
	sends    int
	refusals int
	// admitted tells that the admission decision was made. capacityDelay is the estimated
	// time until there is capacity if the request was not admitted.
	admitted      bool
	capacityDelay time.Duration
	// spareCapacity is the result of HasSpareCapacity at the admission decision.
	spareCapacity bool
	// withheld counts attempts that this node itself did not send after all.
	withheld int
	// mayHaveRun tells that an attempt without a final response may have run.
	mayHaveRun bool
	// tried counts the attempts by backend ID.
	tried map[string]int
	// cause describes the last failure.
	cause string
	// unansweredAt is the send time of the failed attempt that was recorded last, or the start
	// of the attempt that a hedge was considered for; zero if there is neither. Attempts that
	// certainly did not run count only if the caller left, and those that waited for a slot
	// at the backend do not count.
	unansweredAt time.Time
	// last is the backend of the last attempt.
	last string
	// answeredAt is when the first attempt that got a response was sent or, for a stream, when
	// the first event arrived. likelyRunAt is the send time of the first attempt without a
	// response that likely ran.
	answeredAt, likelyRunAt time.Time
}

// repeatable reports whether the request may run more than once.
func (x *try) repeatable() bool {
	switch x.route.Kind {
	case routetable.KindSafe:
		return true
	case routetable.KindStream:
		return x.route.Resumable
	default:
		return false
	}
}

// maxAttempts returns the number of attempts that may run.
func (x *try) maxAttempts() int {
	if x.trial {
		return 1
	}
	return max(x.route.MaxAttempts, 1)
}

// endTime returns when the request ends, taking into account time for which the machine was
// suspended. Backends are told this deadline, and no attempt starts after it. The context of
// the request follows the monotonic clock and ends later after a suspension.
func (x *try) endTime() time.Time { return x.limit.Add(-x.began.Since()) }

// maySend reports whether one more attempt is allowed.
func (x *try) maySend() bool {
	if ends := x.endTime(); ends.Before(x.limit) && !time.Now().Before(ends) {
		// The deadline passed while the machine was suspended; the context has not ended yet.
		return false
	}
	if x.sends >= x.maxAttempts() || x.refusals >= x.maxRefusals() || x.withheld >= maxWithheld {
		return false
	}
	return !x.mayHaveRun || x.repeatable()
}

// maxRefusals returns the number of attempts refused or not sent at which the request ends.
func (x *try) maxRefusals() int {
	if x.spareCapacity {
		return maxRefusalsSpare
	}
	return maxRefusals
}

// choose returns the backend for the next attempt.
func (x *try) choose(now time.Time) (fleet.Backend, bool) {
	backends, world := x.forwarder.config.Fleet.Service(x.service, now), x.forwarder.config.Gate.Snapshot(now)
	if !x.admit(backends, world) {
		return fleet.Backend{}, false
	}
	x.forwarder.config.Reach.Fill(backends, now)
	return Choose(backends, Want{
		Request: x.eligibilityRequest(),
		Tried:   x.tried,
	}, world)
}

// call returns the upstream call of an attempt.
func (x *try) call(backend fleet.Backend) *upstream.Call {
	return &upstream.Call{
		ID: x.request.ID, Method: x.request.Method, Target: x.request.Target, Host: x.request.Host,
		Header: x.request.Header, Body: x.request.Body,
		Priority: upstream.PriorityOf(x.request.Rank, 0),
		Address:  backend.Address, Instance: backend.ID, Tenant: x.request.Tenant, Deadline: x.endTime(),
		Admit:   func() error { return x.forwarder.config.Gate.Admit(backend.ID, x.eligibilityRequest()) },
		Purpose: upstream.PurposeLive,
		Work:    x.fingerprint,
		// The backend may be closing an idle connection at this moment, after which a request
		// that must not be repeated could not be sent again.
		NewConnection: !x.repeatable(), ProvenSince: x.unansweredAt,
	}
}

// recordFailure records a failed attempt and what it says about its backend.
func (x *try) recordFailure(backend fleet.Backend, err error) {
	if upstream.Withheld(err) {
		x.recordWithheld(backend, err)
		return
	}
	fate := upstream.FateOf(err)
	x.cause = err.Error()
	now := time.Now()
	if x.ctx.Err() != nil {
		// The caller left, which aborted the attempt: that says nothing about the backend.
		x.mayHaveRun = x.mayHaveRun || fate == upstream.Unknown
		x.recordUnanswered(err)
		return
	}
	switch fate {
	case upstream.NotRun:
		x.sends--
		x.refusals++
		x.forwarder.config.Fleet.Suspend(backend.ID, "refused", now.Add(refusalPause))
	case upstream.NotSent:
		x.sends--
		x.refusals++
		x.forwarder.config.Fleet.ObserveFailure(backend.ID, x.cause, now)
	default:
		x.mayHaveRun = true
		x.recordUnanswered(err)
		if errors.Is(err, upstream.ErrQuarantined) {
			// This node aborted the call because of what it asks for, not because of the backend.
			break
		}
		if errors.Is(err, errQueued) {
			x.forwarder.config.Fleet.Suspend(backend.ID, "queue", now.Add(refusalPause))
			break
		}
		x.forwarder.config.Fleet.ObserveFailure(backend.ID, x.cause, now)
	}
	if fate == upstream.NotSent && x.tried[backend.ID] > 1 {
		// Already logged. If all backends of a service are down, one request may try each of
		// them several times within 30 ms, and the lines would crowd out those of attempts that
		// ran. The line at the end of the request counts the refusals.
		return
	}
	fields := eventlog.Fields{
		eventlog.Request: x.request.ID, eventlog.Backend: backend.ID, eventlog.Fate: fate.String(),
		eventlog.Cause: x.cause, "in_flight": backend.InFlight, "others": backend.OthersRunning, eventlog.Work: x.fingerprint.String(),
	}
	x.addSendFields(fields, err)
	x.forwarder.config.Log.Warn(eventlog.AttemptFailed, fields)
}

// refusalPause is how long a backend that refused a request is suspended.
const refusalPause = 50 * time.Millisecond

// observeLoad passes on the load that a backend reported with its response, if it did.
func observeLoad(backends *fleet.Fleet, id string, meta upstream.Meta) {
	if meta.HasLoad {
		backends.ObserveLoad(id, meta.Load(), time.Now())
	}
}

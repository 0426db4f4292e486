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
	Tenant string
	// Regions are those that might serve it when it came.
	Regions place.Regions
	// Rank is that of the request among others at the back ends, 0 the highest.
	Rank     int
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
	// Reasons counts, of a refused request, the back ends that may not get it by the label
	// of the reason.
	Reasons map[string]int
	// Began is when the first back end that took the request began to run it, as well
	// as it can be told, zero if none did. Back ends do not tell the moment. It is
	// taken for the one at which the attempt was sent that an answer came to or, of a
	// stream, at which its first event came; a request without any answer counts from
	// the first attempt that likely ran, see likelyBegan. A request that ran at several
	// back ends counts once.
	Began time.Time
	// BeganBy is what tells that it began, empty if it did not.
	BeganBy Evidence
}

// Config configures a Forwarder.
type Config struct {
	Client *upstream.Client
	Fleet  *fleet.Fleet
	// Gate decides which back ends may get a request.
	Gate         *eligibility.Gate
	Log          *eventlog.Log
	Reach        Reach
	VersionField string
	// Regions returns where the configuration in force allows the requests of a tenant on a
	// route to be served; nil allows every region.
	Regions func(route, tenant string) place.Regions
	// WorkOf returns the fingerprint of a request; nil follows none.
	WorkOf func(fingerprint.Input) fingerprint.Fingerprint
	// Trials gives quarantined requests out for a trial; it is nil if WorkOf is.
	Trials Trials
	// Observe is told how each request ended; it may be nil.
	Observe func(kind routetable.Kind, report Report)
}

// Trials says when quarantined requests may be sent on.
type Trials interface {
	// Try tells whether this node may send a quarantined work on once. It asks the store if
	// that may be.
	Try(ctx context.Context, work fingerprint.Fingerprint) bool
	// Retry returns after what time a quarantined work may come back.
	Retry(work fingerprint.Fingerprint) time.Duration
}

// Reach tells how back ends can be reached.
type Reach interface {
	// Fill tells back ends how they can be reached now.
	Fill(backends []fleet.Backend, now time.Time)
}

// Forwarder passes requests on. It is safe for concurrent use.
type Forwarder struct {
	config    Config
	sequence  atomic.Uint64
	offset    float64
	latencies latencies
	// allowed is replaced by tests that compare it with others.
	allowed func(Ask) time.Duration
	urgency urgency
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	return &Forwarder{config: config, offset: rand.Float64(), latencies: newLatencies(), allowed: allowed, urgency: newUrgency()}
}

const (
	// bufferMost is the largest answer that is kept back until it is whole.
	bufferMost = 1 << 20
	// refusalsMost bounds the refusals by back ends that one request survives, and
	// refusalsRoomy those while most places are free: some back ends refuse whatever they
	// could do, and a caller must not be refused because of them.
	refusalsMost  = 6
	refusalsRoomy = 20
	// withheldMost bounds the attempts of one request that were kept back since what was
	// believed changed, or others took the turn, between the choice and the sending.
	withheldMost = 8
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
	try := &try{
		ctx: ctx, began: clock.NewMark(), forwarder: f, request: request, route: route, service: service, work: f.workOf(request),
		limit: limit, tried: make(map[string]int),
	}
	if f.config.Trials != nil {
		try.trial = f.config.Trials.Try(bounded, try.work)
	}
	var report Report
	if route.Kind == routetable.KindStream {
		report = try.stream(bounded, w)
	} else {
		report = try.whole(bounded, w)
	}
	if ctx.Err() != nil && report.Outcome != OutcomeAnswered {
		report.Outcome, report.Cause = OutcomeLeft, context.Cause(ctx).Error()
	}
	report.Attempts = try.sends
	report.Tenant = request.Tenant
	report.Began, report.BeganBy = try.beganAt()
	report.Took = time.Since(request.Received)
	f.note(try, report, configVersion)
	if f.config.Observe != nil {
		f.config.Observe(route.Kind, report)
	}
	return report
}

// workOf returns the fingerprint of a request.
func (f *Forwarder) workOf(request *Request) fingerprint.Fingerprint {
	if f.config.WorkOf == nil {
		return fingerprint.Fingerprint{}
	}
	return f.config.WorkOf(fingerprint.Input{Host: request.Host, Target: request.Target, Tenant: request.Tenant, Body: request.Body})
}

func (f *Forwarder) note(t *try, report Report, configVersion int64) {
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
	fields[eventlog.Work], fields["refusals"] = t.work.String(), t.refusals
	f.config.Log.Warn(event, fields)
}

// try is one request on its way.
type try struct {
	// ctx ends when the caller leaves.
	ctx       context.Context
	forwarder *Forwarder
	request   *Request
	route     *routetable.Route
	service   string
	// limit is when the request ends, by the steady clock; began, from when on time away
	// is taken off it.
	limit time.Time
	began clock.Mark
	// work is what the request asks for, whatever its id.
	work fingerprint.Fingerprint
	// trial tells that the request is the one that may find out whether its work still ends
	// what runs it.
	trial bool

	// sends counts attempts that may have run; refusals those that did not.
	sends    int
	refusals int
	// admitted tells that admission was decided on; room is after what time there should
	// be room if the request was not admitted.
	admitted bool
	room     time.Duration
	// roomy tells whether half of the places of the back ends were free and nothing waited
	// then.
	roomy bool
	// withheld counts attempts that this node kept back itself.
	withheld  int
	uncertain bool
	tried     map[string]int
	cause     string
	// unanswered is when the last attempt was sent that has no answer, zero if none is.
	unanswered time.Time
	// last is the back end that was tried last.
	last string
	// answered is when the first attempt was sent that a back end answered, or its first
	// event came; maybe is that of the first one without an answer that likely ran.
	answered, maybe time.Time
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
func (t *try) attemptsMost() int {
	if t.trial {
		return 1
	}
	return max(t.route.MaxAttempts, 1)
}

// ends returns when the request's time is over: back ends are told, and no attempt is begun
// later. Its context, which the steady clock ends, ends later where the machine was away.
func (t *try) ends() time.Time { return t.limit.Add(-t.began.Since()) }

// maySend tells whether one more attempt is allowed.
func (t *try) maySend() bool {
	if ends := t.ends(); ends.Before(t.limit) && !time.Now().Before(ends) {
		// The time was over while the machine was away; the context does not know.
		return false
	}
	if t.sends >= t.attemptsMost() || t.refusals >= t.refusalsMost() || t.withheld >= withheldMost {
		return false
	}
	return !t.uncertain || t.repeatable()
}

// refusalsMost is how many refusals by back ends the request survives.
func (t *try) refusalsMost() int {
	if t.roomy {
		return refusalsRoomy
	}
	return refusalsMost
}

// choose returns the back end for the next attempt.
func (t *try) choose(now time.Time) (fleet.Backend, bool) {
	backends, world := t.forwarder.config.Fleet.Service(t.service, now), t.forwarder.config.Gate.World(now)
	if !t.admit(backends, world) {
		return fleet.Backend{}, false
	}
	t.forwarder.config.Reach.Fill(backends, now)
	return Choose(backends, Want{
		Request: t.wants(),
		Tried:   t.tried,
	}, world)
}

// call returns the call of an attempt.
func (t *try) call(backend fleet.Backend) *upstream.Call {
	return &upstream.Call{
		ID: t.request.ID, Method: t.request.Method, Target: t.request.Target, Host: t.request.Host,
		Header: t.request.Header, Body: t.request.Body,
		Priority: upstream.PriorityOf(t.request.Rank, 0),
		Address:  backend.Address, Instance: backend.ID, Tenant: t.request.Tenant, Deadline: t.ends(),
		Admit:   func() error { return t.forwarder.config.Gate.Admit(backend.ID, t.wants()) },
		Purpose: upstream.PurposeLive,
		Work:    t.work,
		// An idle connection may be closing just now; a request that must not be
		// repeated could not be sent again after that.
		Fresh: !t.repeatable(), ProvenSince: t.unanswered,
	}
}

func (t *try) noteFailure(backend fleet.Backend, err error) {
	if upstream.Withheld(err) {
		t.noteWithheld(backend, err)
		return
	}
	fate := upstream.FateOf(err)
	t.cause = err.Error()
	now := time.Now()
	if t.ctx.Err() != nil {
		// The caller left, which ended the attempt: that says nothing of the back end.
		t.uncertain = t.uncertain || fate == upstream.Unknown
		t.noteMaybe(err)
		return
	}
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
		if errors.Is(err, upstream.ErrQuarantined) {
			// That says nothing of the back end.
			break
		}
		if errors.Is(err, errQueued) {
			t.forwarder.config.Fleet.Suspend(backend.ID, "queue", now.Add(refusedPause))
			break
		}
		t.forwarder.config.Fleet.ObserveFailure(backend.ID, t.cause, now)
	}
	if fate == upstream.NotSent && t.tried[backend.ID] > 1 {
		// Said already; the line of the request's end counts them. Where a service is gone
		// whole, one request may try each of its back ends several times in 30 ms, and
		// their lines would crowd out those of attempts that ran.
		return
	}
	fields := eventlog.Fields{
		eventlog.Request: t.request.ID, eventlog.Backend: backend.ID, eventlog.Fate: fate.String(),
		eventlog.Cause: t.cause, "in_flight": backend.InFlight, "others": backend.OthersRunning, eventlog.Work: t.work.String(),
	}
	t.noteSending(fields, err)
	t.forwarder.config.Log.Warn(eventlog.AttemptFailed, fields)
}

// refusedPause is how long a back end that refused a request is passed over.
const refusedPause = 50 * time.Millisecond

func observeLoad(backends *fleet.Fleet, id string, meta upstream.Meta) {
	if meta.HasLoad {
		backends.ObserveLoad(id, meta.Load(), time.Now())
	}
}

package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// scoreFate is what became of a call to a scoring service. It is one of scored,
// scoreFailed, scoreNotRun, scoreCut and scoreUnusable.
type scoreFate interface {
	// cause says why the call brought no score, for logs.
	cause() string
}

// scored is a whole answer that holds a score.
type scored struct{ score string }

// scoreFailed is an answer by which the service failed the call.
type scoreFailed struct{}

// scoreNotRun is a call that the back end did not take.
type scoreNotRun struct{ err error }

// scoreCut is a call without a whole answer: it may have run.
type scoreCut struct{ err error }

// scoreUnusable is a whole answer that is neither a score nor a failure.
type scoreUnusable struct{ status int }

func (scored) cause() string          { return "" }
func (scoreFailed) cause() string     { return "scoring service failed" }
func (f scoreNotRun) cause() string   { return f.err.Error() }
func (f scoreCut) cause() string      { return f.err.Error() }
func (f scoreUnusable) cause() string { return "answer without a score: " + http.StatusText(f.status) }

// scoreCall is one call to a scoring service.
type scoreCall struct {
	runner  *runner
	job     *ownedJob
	index   int
	route   *routetable.Route
	backend fleet.Backend
	// request decides which back ends may get the call.
	request eligibility.Request
	sent    clock.Millis
	limit   clock.Millis
	work    fingerprint.Fingerprint
	ctx     context.Context
	cancel  context.CancelFunc
	endSlot func()
	// asked tells that the call waits for a connection no longer.
	asked func()
}

func (c *scoreCall) scorer() *Scorer { return c.job.spec.Items[c.index].Scorer }

// call sends a call. The lock is held.
func (r *runner) call(job *ownedJob, index int, route *routetable.Route, backend fleet.Backend, now clock.Millis, request eligibility.Request) {
	state := &job.items[index].score
	limit := scoreLimit(&backend, route, state.cuts)
	ctx, cancel := context.WithTimeout(job.ctx, limit.Duration())
	c := &scoreCall{
		runner: r, job: job, index: index, route: route, backend: backend, sent: now, limit: limit, request: request, work: state.work,
		asked: r.unsent.begin(backend.ID),
		ctx:   ctx, cancel: cancel, endSlot: r.manager.config.Fleet.Begin(backend.ID),
	}
	state.sends++
	state.calls = append(state.calls, c)
	go c.serve()
}

func (c *scoreCall) serve() {
	fate := c.send()
	c.asked()
	c.endSlot()
	c.runner.settleScore(c, fate)
	c.cancel()
	c.runner.kick()
}

// admit asks at the moment of sending whether the back end may get the call.
func (c *scoreCall) admit() error {
	defer c.asked()
	return c.runner.manager.config.Gate.Admit(c.backend.ID, c.request)
}

// tenant returns on whose behalf the call is made: that of the job, but for public
// routes, which tell back ends of no tenant.
func (c *scoreCall) tenant() string {
	if c.route.Public {
		return ""
	}
	return c.job.tenant
}

// scoreAnswerMost bounds the body of an answer that is read, in bytes.
const scoreAnswerMost = 1 << 20

func (c *scoreCall) send() scoreFate {
	m, scorer := c.runner.manager, c.scorer()
	started := time.Now()
	answer, err := m.config.Client.Do(c.ctx, &upstream.Call{
		ID: scorer.ID, Method: http.MethodPost, Target: scorer.Path, Host: scorer.Host, Body: scorer.Body,
		Address: c.backend.Address, Instance: c.backend.ID, Tenant: c.tenant(), Deadline: started.Add(c.limit.Duration()),
		Priority: upstream.PriorityOf(c.runner.rank(c.tenant(), c.route), 0), Admit: c.admit,
		Purpose: upstream.PurposeScore, Work: c.work,
	})
	if err != nil {
		return fateOfCall(err)
	}
	defer func() { _ = answer.Body.Close() }()
	m.observeLoad(c.backend.ID, answer.Meta)
	size, err := io.Copy(io.Discard, io.LimitReader(answer.Body, scoreAnswerMost))
	if err == nil && size >= scoreAnswerMost {
		err = upstream.ErrTruncated
	}
	if err != nil {
		return scoreCut{err}
	}
	m.config.Fleet.ObserveScore(c.backend.ID, answer.Meta.Load().AsUsual(time.Since(started)))
	return fateOfAnswer(answer.Status, answer.Meta)
}

func fateOfCall(err error) scoreFate {
	switch upstream.FateOf(err) {
	case upstream.NotSent, upstream.NotRun:
		return scoreNotRun{err}
	default:
		return scoreCut{err}
	}
}

// errorOf returns why a call was not run, nil if it was.
func errorOf(fate scoreFate) error {
	if f, is := fate.(scoreNotRun); is {
		return f.err
	}
	return nil
}

// fateOfAnswer judges the head of a whole answer. It is pure.
func fateOfAnswer(status int, meta upstream.Meta) scoreFate {
	switch {
	case status >= http.StatusOK && status < http.StatusMultipleChoices && meta.Stamp != "":
		return scored{meta.Stamp}
	case status == http.StatusInternalServerError:
		return scoreFailed{}
	default:
		return scoreUnusable{status}
	}
}

// blame records what a call's fate says of its back end.
func (c *scoreCall) blame(fate scoreFate) {
	backends, now := c.runner.manager.config.Fleet, time.Now()
	if c.job.ctx.Err() != nil || errors.Is(c.ctx.Err(), context.Canceled) {
		return
	}
	switch f := fate.(type) {
	case scored, scoreFailed, scoreUnusable:
	case scoreNotRun:
		if upstream.Withheld(f.err) {
			return
		}
		if upstream.FateOf(f.err) == upstream.NotSent {
			backends.ObserveFailure(c.backend.ID, f.cause(), now)
			return
		}
		backends.Suspend(c.backend.ID, "refused", now.Add(refusedPause))
	case scoreCut:
		backends.ObserveFailure(c.backend.ID, f.cause(), now)
	}
}

// logScore tells of a call that ended. The lock is held.
func (r *runner) logScore(c *scoreCall, event string, fate scoreFate) {
	state := &c.job.items[c.index].score
	now := clock.Now()
	fields := eventlog.Fields{
		eventlog.Job: c.job.id, eventlog.Item: c.job.spec.Items[c.index].ID, eventlog.Request: c.scorer().ID,
		eventlog.Route: c.route.Name, eventlog.Backend: c.backend.ID, eventlog.Attempts: state.sends,
		eventlog.TookMillis: now - c.sent, "since_whole_ms": now - state.since, "limit_ms": c.limit,
		"in_flight": c.backend.InFlight, "others": c.backend.OthersRunning, "failures": state.failures, eventlog.Work: c.work.String(),
	}
	if fate == nil {
		r.manager.config.Log.Info(event, fields)
		return
	}
	fields[eventlog.Cause] = fate.cause()
	r.manager.config.Log.Warn(event, fields)
}

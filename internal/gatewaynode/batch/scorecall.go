package batch

import (
	"context"
	"errors"
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

// scoreFate is the outcome of a call to a scoring service. It is one of scored, scoreFailed,
// scoreNotRun, scoreCut and scoreUnusable.
type scoreFate interface {
	// cause returns the reason that the call returned no score, for logging.
	cause() string
}

// scored is a complete response with a score.
type scored struct{ score string }

// scoreFailed is an internal server error of the scoring service.
type scoreFailed struct{}

// scoreNotRun is a call that the backend did not run.
type scoreNotRun struct{ err error }

// scoreCut is a call that ended without a complete response. The backend may have run it.
type scoreCut struct{ err error }

// scoreUnusable is a complete response that is neither a score nor an internal server error.
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
	// request determines which backends are eligible.
	request eligibility.Request
	sent    clock.Millis
	// limit is the timeout.
	limit       clock.Millis
	work        fingerprint.Fingerprint
	ctx         context.Context
	cancel      context.CancelFunc
	releaseSlot func()
	// markSent records that the call no longer waits for a connection. It may be called
	// repeatedly.
	markSent func()
}

func (c *scoreCall) scorer() *Scorer { return c.job.spec.Items[c.index].Scorer }

// call starts a scoring call in a goroutine of its own. The caller holds r.mu.
func (r *runner) call(job *ownedJob, index int, route *routetable.Route, backend fleet.Backend, now clock.Millis, request eligibility.Request) {
	state := &job.items[index].score
	limit := scoreLimit(&backend, route, state.cuts)
	ctx, cancel := context.WithTimeout(job.ctx, limit.Duration())
	c := &scoreCall{
		runner: r, job: job, index: index, route: route, backend: backend, sent: now, limit: limit, request: request, work: state.work,
		markSent: r.unsent.begin(backend.ID),
		ctx:      ctx, cancel: cancel, releaseSlot: r.manager.config.Fleet.Begin(backend.ID),
	}
	state.sends++
	state.calls = append(state.calls, c)
	go c.serve()
}

// serve runs the call and handles its outcome.
func (c *scoreCall) serve() {
	fate := c.send()
	c.markSent()
	c.releaseSlot()
	c.runner.settleScore(c, fate)
	c.cancel()
	c.runner.kick()
}

// admit checks again, immediately before the call is sent, that the backend is eligible.
func (c *scoreCall) admit() error {
	defer c.markSent()
	return c.runner.manager.config.Gate.Admit(c.backend.ID, c.request)
}

// tenant returns the tenant to send with the call: that of the job, or none on a public route.
func (c *scoreCall) tenant() string {
	if c.route.Public {
		return ""
	}
	return c.job.tenant
}

// send sends the call and reads its response.
func (c *scoreCall) send() scoreFate {
	m, scorer := c.runner.manager, c.scorer()
	started := time.Now()
	answer, err := m.config.Client.Do(c.ctx, &upstream.Call{
		ID: scorer.ID, Method: http.MethodPost, Target: scorer.Path, Host: scorer.Host, Body: scorer.Body,
		Address: c.backend.Address, Instance: c.backend.ID, Tenant: c.tenant(), Deadline: started.Add(c.limit.Duration()),
		Priority: upstream.PriorityOf(c.runner.priority(c.tenant(), c.route), 0), Admit: c.admit,
		Purpose: upstream.PurposeScore, Work: c.work,
	})
	if err != nil {
		return fateOfCall(err)
	}
	defer func() { _ = answer.Body.Close() }()
	m.observeLoad(c.backend.ID, answer.Meta)
	if err := answer.Drain(); err != nil {
		return scoreCut{err}
	}
	m.config.Fleet.ObserveScore(c.backend.ID, answer.Meta.Load().Normalize(time.Since(started)))
	return fateOfAnswer(answer.Status, answer.Meta)
}

// fateOfCall classifies the error of a call without a response.
func fateOfCall(err error) scoreFate {
	switch upstream.FateOf(err) {
	case upstream.NotSent, upstream.NotRun:
		return scoreNotRun{err}
	default:
		return scoreCut{err}
	}
}

// errorOf returns the error of a call that was not run, nil for other outcomes.
func errorOf(fate scoreFate) error {
	if f, is := fate.(scoreNotRun); is {
		return f.err
	}
	return nil
}

// fateOfAnswer classifies a complete response by its status and metadata.
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

// recordBackendFailure records a failure or refusal of the call in the state of its backend.
// A call that was canceled or withheld by this node says nothing about the backend.
func (c *scoreCall) recordBackendFailure(fate scoreFate) {
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

// logScore logs the end of a call. fate is nil if the call returned a score. The caller holds
// r.mu.
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

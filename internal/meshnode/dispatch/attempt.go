package dispatch

import (
	"context"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// attempt is one sending of a request to one back end.
type attempt struct {
	e       *execution
	number  int
	backend routing.Backend
	ticket  backend.Ticket
	resume  Resume
	started time.Time
}

// attemptResult is how an attempt ended. Text, tokens and segments are those
// of this attempt only.
type attemptResult struct {
	attempt *attempt
	engine.Result
	stalled bool
}

// errStalled tags attempts that were given up because a suspect back end was
// silent.
var errStalled = engine.ErrCut.Errorf("no frame from a suspect back end")

// run sends the attempt and returns how it ended. The back end is told to
// cancel what may still run there.
func (a *attempt) run(ctx context.Context) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := a.watch(cancel)
	result := a.send(ctx, watchdog)
	stalled := watchdog.stop()
	if stalled && result.State == engine.StatePartial {
		result.Err = errStalled
	}
	a.ticket.Release(failureOf(&result, ctx.Err() != nil && !stalled), result.Load)
	if a.mayStillRun(&result) {
		a.cancelInBackground()
	}
	a.e.d.traces.attemptEnded(a, &result, time.Now())
	return attemptResult{attempt: a, Result: result, stalled: stalled}
}

func (a *attempt) send(ctx context.Context, watchdog *watchdog) engine.Result {
	if a.e.kind == configlog.PoolApplications {
		return a.invoke(ctx)
	}
	request := api.GenerateRequest{
		RequestID: a.e.request.RequestID,
		Attempt:   a.number,
		Node:      a.e.d.cfg.Node,
		Pool:      a.e.request.Pool,
		Priority:  a.e.request.Priority,
		Prompt:    a.e.request.Prompt,
		MaxTokens: a.e.request.MaxTokens,
		Resume:    a.kvState(),
	}
	result := a.e.d.engines.Generate(ctx, a.backend.Address, request, func(frame api.StreamFrame) error {
		watchdog.heard()
		if a.e.request.OnFrame == nil {
			return nil
		}
		return a.e.request.OnFrame(Progress{Backend: a.backend.Name, Attempt: a.number, Frame: frame})
	})
	for i := range result.Segments {
		result.Segments[i].Engine = a.backend.Name
	}
	return result
}

func (a *attempt) invoke(ctx context.Context) engine.Result {
	request := api.InvokeRequest{
		RequestID:      a.e.request.RequestID,
		Attempt:        a.number,
		Node:           a.e.d.cfg.Node,
		Priority:       a.e.request.Priority,
		IdempotencyKey: a.e.request.IdempotencyKey,
		Body:           a.e.request.Prompt,
	}
	answer := a.e.d.engines.Invoke(ctx, a.backend.Address, request)
	return engine.Result{State: answer.State, Text: answer.Body, Load: answer.Load, Err: answer.Err}
}

// kvState returns what the engine resumes from, nil for a new stream.
func (a *attempt) kvState() *api.KVState {
	if a.resume.Tokens == 0 {
		return nil
	}
	return &api.KVState{
		RequestID: a.e.request.RequestID,
		Tokens:    a.resume.Tokens,
		Text:      a.resume.Text,
		Handle:    a.resume.Handle,
	}
}

// failureOf says what an attempt's end tells of its back end's health.
func failureOf(result *engine.Result, givenUp bool) backend.Failure {
	switch {
	case result.State == engine.StateComplete:
		return backend.FailureNone
	case givenUp, result.State == engine.StateRefused, result.FinishReason != "":
		return backend.FailureIgnored
	case result.State == engine.StateNotSent:
		return backend.FailureUnreachable
	}
	return backend.FailureBroken
}

// mayStillRun tells whether the engine may go on with the stream.
func (a *attempt) mayStillRun(result *engine.Result) bool {
	return a.e.kind == configlog.PoolEngines && result.State == engine.StatePartial && result.FinishReason == ""
}

func (a *attempt) cancelInBackground() {
	engines, address := a.e.d.engines, a.backend.Address
	request := api.CancelRequest{RequestID: a.e.request.RequestID, Attempt: a.number}
	a.e.d.tasks.start(func(ctx context.Context) {
		// Best effort: the engine also sees that the connection was closed.
		_, _ = engines.Cancel(ctx, address, request)
	})
}

package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// complete returns the result of a request whose last attempt completed.
func (e *execution) complete(base *Resume, result *attemptResult) Result {
	e.d.observeService(e.request.Pool, time.Since(result.attempt.started))
	answer := Result{
		RequestID:   e.request.RequestID,
		Outcome:     api.OutcomeCompleted,
		Text:        result.Text,
		Tokens:      result.Tokens,
		Segments:    result.Segments,
		Backend:     result.attempt.backend.Name,
		Attempts:    e.attempts,
		NextAttempt: e.request.FirstAttempt + e.attempts,
	}
	if base.Tokens > 0 {
		whole := base.extended(result)
		answer.Text, answer.Tokens, answer.Segments = whole.Text, whole.Tokens, whole.Segments
	}
	return answer
}

// fail returns the result of a request that ended with err; what was received
// so far goes with it.
func (e *execution) fail(err *api.Error) Result {
	err.RequestID = e.request.RequestID
	return Result{
		RequestID:   e.request.RequestID,
		Outcome:     err.Outcome,
		Err:         err,
		Text:        e.progress.Text,
		Tokens:      e.progress.Tokens,
		Segments:    e.progress.Segments,
		Backend:     e.last,
		Attempts:    e.attempts,
		NextAttempt: e.request.FirstAttempt + e.attempts,
	}
}

// refuse returns the result of a request of which nothing was sent.
func (e *execution) refuse(err *api.Error) Result {
	if e.sent {
		panic("dispatch: refusal after the request was sent")
	}
	return e.fail(err)
}

// outcome returns what is known of a request that will not be sent again.
func (e *execution) outcome() api.Outcome {
	switch {
	case !e.sent || e.d.cfg.Faults.RefuseAfterSending:
		return api.OutcomeRefused
	case e.request.Repeatable && e.ran:
		return api.OutcomeFailed
	}
	return api.OutcomeUnknown
}

func (e *execution) failure(status int, code api.Code, retryAfterMS int64, format string, args ...any) *api.Error {
	return &api.Error{
		Code:         code,
		Outcome:      e.outcome(),
		Message:      fmt.Sprintf(format, args...),
		RetryAfterMS: retryAfterMS,
		Status:       status,
	}
}

// giveUp ends a request whose deadline passed or whose caller went away.
func (e *execution) giveUp(ctx context.Context) Result {
	message := "the deadline passed"
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		message = "the caller gave the request up"
	}
	return e.fail(e.failure(http.StatusGatewayTimeout, api.CodeDeadlinePassed, 0, "%s after %d attempts", message, e.attempts))
}

// noBackend ends a request that no back end may take.
func (e *execution) noBackend(pool *routing.Pool, explanation *routing.Explanation) Result {
	if explanation.HeldByLimit() {
		return e.fail(e.overloaded(pool))
	}
	return e.fail(e.turnedAway(pool))
}

// turnedAway ends a request that no back end took, by what the last one that
// refused it said: full is not the same as failing or draining.
func (e *execution) turnedAway(pool *routing.Pool) *api.Error {
	full := e.refusal != nil && e.refusal.Code != api.CodeNoBackend
	if full && !e.sent {
		return e.overloaded(pool)
	}
	return e.failure(http.StatusServiceUnavailable, api.CodeNoBackend, e.advice(pool),
		"no back end of pool %s can take the request (of %d that this node uses)", pool.Name, len(pool.Backends))
}

func (e *execution) overloaded(pool *routing.Pool) *api.Error {
	return e.failure(http.StatusTooManyRequests, api.CodeOverloaded, e.advice(pool), "every back end of pool %s is full", pool.Name)
}

// advice returns when coming back helps, in milliseconds: by the pool's load,
// and not before a back end that refused has asked for.
func (e *execution) advice(pool *routing.Pool) int64 {
	advice := e.d.advice(pool)
	if e.refusal != nil {
		advice = max(advice, e.refusal.RetryAfterMS)
	}
	return advice
}

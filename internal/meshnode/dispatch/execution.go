package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// execution is one request on its way through its attempts. It belongs to the
// goroutine of Do, save what mu guards; attempts read only request and kind.
type execution struct {
	d       *Dispatcher
	request Request
	kind    configlog.PoolKind
	started time.Time
	trace   *Trace
	// view is a view of the pool that is fresh enough for the next choice; nil
	// if there is none.
	view *routing.Pool

	// progress is what was received so far, with what was resumed from.
	progress Resume
	attempts int
	// hedges counts those of the attempts that ran beside another.
	hedges   int
	excluded []string
	// last is the back end of the latest attempt.
	last string
	// sent says that the request may have run somewhere, ran that it did.
	sent bool
	ran  bool
	// refusal is the last refusal of a back end, lastErr the last failure.
	refusal *api.Error
	lastErr error

	mu      sync.Mutex
	current *attempt
	move    *move
}

// verdict says how a request may go on after an attempt; of several attempts
// the highest counts.
type verdict int

const (
	// verdictFree means that another attempt costs the back ends nothing.
	verdictFree verdict = iota
	// verdictRetry means that another attempt needs the retry budget.
	verdictRetry
	// verdictStop means that no attempt may follow.
	verdictStop
)

// run sends the request until it completes or may not be sent again.
func (e *execution) run(ctx context.Context) Result {
	for {
		if ctx.Err() != nil {
			return e.giveUp(ctx)
		}
		pool := e.takeView()
		if pool == nil {
			return e.fail(e.failure(http.StatusNotFound, api.CodeUnknownPool, 0, "the pool was removed"))
		}
		first, explanation := e.prepare(pool)
		if first == nil && e.revisit() {
			continue
		}
		if first == nil {
			return e.noBackend(pool, &explanation)
		}
		base := e.progress
		next := verdictFree
		for _, result := range e.round(ctx, first) {
			if result.State == engine.StateComplete {
				return e.complete(&base, &result)
			}
			next = max(next, e.absorb(ctx, &base, &result))
		}
		if ctx.Err() != nil {
			return e.giveUp(ctx)
		}
		if err := e.stopReason(next, pool); err != nil {
			return e.fail(err)
		}
	}
}

// takeView returns a view of the pool for one choice, nil if the pool is gone.
func (e *execution) takeView() *routing.Pool {
	view := e.view
	e.view = nil
	if view != nil {
		return view
	}
	pool, ok := e.d.backends.PoolSnapshot(e.request.Pool)
	if !ok {
		return nil
	}
	return &pool
}

// acquireTries bounds the choices that one attempt makes when back ends fill up
// or leave between the choice and its execution.
const acquireTries = 4

// prepare chooses a back end and opens an attempt on it; the attempt is nil if
// no back end may take the request.
func (e *execution) prepare(pool *routing.Pool) (*attempt, routing.Explanation) {
	request := routing.Request{
		Zone:       e.d.cfg.Zone,
		Priority:   e.request.Priority,
		PrefixHash: routing.PrefixHash(e.request.Prompt),
		Excluded:   e.excluded,
		MinVersion: e.request.MinVersion,
	}
	view := *pool
	var choice routing.Choice
	for range acquireTries {
		choice = e.d.choose(&view, &request)
		if !choice.Found {
			break
		}
		if ticket, ok := e.d.backends.Acquire(pool.Name, choice.Backend.Name); ok {
			a := &attempt{
				e:       e,
				number:  e.request.FirstAttempt + e.attempts,
				backend: choice.Backend,
				ticket:  ticket,
				resume:  e.progress,
				started: time.Now(),
			}
			e.attempts++
			e.last = choice.Backend.Name
			e.setCurrent(a)
			e.d.traces.attemptStarted(a, &choice.Explanation)
			return a, choice.Explanation
		}
		fresh, ok := e.d.backends.PoolSnapshot(pool.Name)
		if !ok {
			break
		}
		view = fresh
	}
	return nil, choice.Explanation
}

// revisit allows the back ends whose streams broke off to be tried again, save
// the last, where no other is left. It tells whether that helps.
func (e *execution) revisit() bool {
	if !e.sent || len(e.excluded) < 2 {
		return false
	}
	e.excluded = e.excluded[len(e.excluded)-1:]
	return true
}

func (e *execution) setCurrent(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = a
}

// absorb takes in an attempt that did not complete. base is the progress with
// which the attempt began.
func (e *execution) absorb(ctx context.Context, base *Resume, result *attemptResult) verdict {
	e.excluded = append(e.excluded, result.attempt.backend.Name)
	e.lastErr = result.Err
	switch result.State {
	case engine.StateNotSent:
		return verdictFree
	case engine.StateRefused:
		errors.As(result.Err, &e.refusal)
		if permanent(result.Err) {
			return verdictStop
		}
		return verdictRetry
	}
	e.sent = true
	if result.Tokens > 0 || result.FinishReason != "" {
		e.ran = true
	}
	if base.Tokens+result.Tokens > e.progress.Tokens {
		e.progress = base.extended(result)
	}
	if !e.request.Repeatable || permanent(result.Err) {
		return verdictStop
	}
	if result.FinishReason == api.FinishExported {
		e.progress.Handle = e.exportedHandle(ctx, result.attempt.number)
		return verdictFree
	}
	return verdictRetry
}

// extended returns what was received with an attempt's part appended. A cache
// handle does not fit the longer text.
func (r *Resume) extended(result *attemptResult) Resume {
	segments := make([]api.Segment, 0, len(r.Segments)+len(result.Segments))
	segments = append(segments, r.Segments...)
	segments = append(segments, result.Segments...)
	return Resume{Text: r.Text + result.Text, Tokens: r.Tokens + result.Tokens, Segments: segments}
}

// permanent tells whether a back end answered that the request itself is at
// fault, so that no other would take it.
func permanent(err error) bool {
	var answer *api.Error
	if !errors.As(err, &answer) {
		return false
	}
	clientError := answer.Status >= http.StatusBadRequest && answer.Status < http.StatusInternalServerError
	return clientError && answer.Status != http.StatusTooManyRequests
}

// stopReason returns why no further attempt may follow, nil if one may.
func (e *execution) stopReason(next verdict, pool *routing.Pool) *api.Error {
	switch {
	case next == verdictStop && !e.sent && e.refusal != nil:
		return e.failure(e.refusal.Status, e.refusal.Code, 0, "back end %s: %s", e.last, e.refusal.Message)
	case next == verdictStop:
		return e.failure(http.StatusBadGateway, api.CodeBackendFailed, 0, "back end %s: %v", e.last, e.lastErr)
	case e.attempts-e.hedges >= e.d.cfg.MaxAttempts && e.refusal != nil && !e.sent:
		return e.turnedAway(pool)
	case e.attempts-e.hedges >= e.d.cfg.MaxAttempts:
		return e.failure(http.StatusBadGateway, api.CodeBackendFailed, e.advice(pool), "%d attempts, the last on %s: %v", e.attempts, e.last, e.lastErr)
	case next == verdictRetry && !e.d.mayRetry():
		return e.noRetryLeft(pool)
	}
	return nil
}

// noRetryLeft ends a request for which the retry budget has nothing left. One
// that was only turned away is told why, which says more than the budget does.
func (e *execution) noRetryLeft(pool *routing.Pool) *api.Error {
	if e.refusal != nil && !e.sent {
		return e.turnedAway(pool)
	}
	return e.failure(http.StatusServiceUnavailable, api.CodeRetryBudget, e.advice(pool), "no retry left after: %v", e.lastErr)
}

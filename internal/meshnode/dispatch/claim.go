package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/limits"
)

// runClaimed runs a request that is not repeatable under a claim of its key.
func (d *Dispatcher) runClaimed(ctx context.Context, e *execution) Result {
	key := e.request.IdempotencyKey
	if key == "" {
		return e.refuse(api.Refusal(http.StatusBadRequest, api.CodeMissingKey, 0, "a request that is not repeatable needs an idempotency key"))
	}
	if d.claimer == nil {
		return e.refuse(claimUnavailable("no claims on this node"))
	}
	if ctx.Err() != nil {
		return e.giveUp(ctx)
	}
	claim, err := d.claimer.Claim(ctx, key, e.request.RequestID)
	if err != nil {
		// The claim may stand all the same; nothing was or will be sent under it.
		d.completeClaim(e, api.OutcomeRefused, nil)
		if ctx.Err() != nil {
			return e.giveUp(ctx)
		}
		return e.refuse(claimRefusal(err))
	}
	if !claim.Granted {
		return e.alreadyClaimed(claim)
	}
	// The claim took its time; the view has aged.
	e.view = nil
	ctx, cancel := d.outlivingCaller(ctx, e.request.Deadline)
	defer cancel()
	result := e.run(ctx)
	d.completeClaim(e, result.Outcome, result.liveResponse())
	return result
}

// outlivingCaller returns a context for a request that holds its key. It ends at
// the deadline and with the Dispatcher, but not when the caller's connection
// breaks: the key is spent by then, so the answer must come to be recorded for
// the caller's next request with that key.
func (d *Dispatcher) outlivingCaller(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(d.tasks.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// claimRefusal says why no claim was granted, in the claimer's own words and
// with its advice where it gave a typed error.
func claimRefusal(err error) *api.Error {
	var answer *api.Error
	if !errors.As(err, &answer) || answer.Status == 0 {
		return claimUnavailable(err.Error())
	}
	refusal := *answer
	refusal.Outcome = api.OutcomeRefused
	return &refusal
}

func claimUnavailable(reason string) *api.Error {
	advice := limits.MaxAdvice.Milliseconds() / 10
	return api.Refusal(http.StatusServiceUnavailable, api.CodeClaimUnavailable, advice, "claim: %s", reason)
}

// completeClaim tells the claimer in the background how the request ended. If
// that is lost the key stays held, which is safe.
func (d *Dispatcher) completeClaim(e *execution, outcome api.Outcome, answer *api.LiveResponse) {
	key, requestID := e.request.IdempotencyKey, e.request.RequestID
	started := d.tasks.start(func(ctx context.Context) {
		if err := d.claimer.Complete(ctx, key, requestID, outcome, answer); err != nil {
			d.lg.WithError(err).WithField("request_id", requestID).Warn("claim not completed")
		}
	})
	if !started {
		d.lg.WithField("request_id", requestID).Warn("claim not completed: too many background calls")
	}
}

// alreadyClaimed answers a request whose key another request holds: with that
// request's answer where it is known, and otherwise with outcome unknown,
// because what the key stands for may have run.
func (e *execution) alreadyClaimed(claim ClaimResult) Result {
	if claim.Answer == nil {
		err := &api.Error{
			Code:    api.CodeAlreadyClaimed,
			Outcome: api.OutcomeUnknown,
			Message: "the idempotency key was used by request " + claim.Holder,
			Status:  http.StatusConflict,
		}
		return e.fail(err)
	}
	return Result{
		RequestID:   e.request.RequestID,
		Outcome:     api.OutcomeCompleted,
		Text:        claim.Answer.Text,
		Tokens:      claim.Answer.Tokens,
		Segments:    claim.Answer.Segments,
		Backend:     claim.Answer.Backend,
		NextAttempt: e.request.FirstAttempt,
	}
}

// liveResponse returns the answer for the claim's record, nil if the request
// did not complete.
func (r *Result) liveResponse() *api.LiveResponse {
	if r.Outcome != api.OutcomeCompleted {
		return nil
	}
	return &api.LiveResponse{
		RequestID: r.RequestID,
		Outcome:   r.Outcome,
		Text:      r.Text,
		Tokens:    r.Tokens,
		Segments:  r.Segments,
		Backend:   r.Backend,
		Attempts:  r.Attempts,
	}
}

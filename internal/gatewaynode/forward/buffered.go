package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	backend  fleet.Backend
	sent     *sendTime
	answer   *upstream.Answer
	content  []byte
	complete bool
	err      error
}

// serveBuffered serves requests whose response is buffered until it is complete.
func (x *try) serveBuffered(ctx context.Context, w http.ResponseWriter) Report {
	attempts, end := lingering(ctx)
	defer end()
	results := make(chan attemptResult, x.maxAttempts()+maxRefusalsSpare+maxWithheld+1)
	pending := make(map[*sendTime]bool)
	var launched time.Time
	var fallback *attemptResult
	// A hedge, which runs beside another attempt, is sent only to a backend with a free slot.
	launch := func(hedging bool) bool {
		backend, found := x.choose(time.Now())
		if !found || !x.maySend() || hedging && !hasFreeSlot(&backend) {
			return false
		}
		x.sends++
		x.tried[backend.ID]++
		x.last = backend.ID
		if len(pending) == 0 {
			launched = time.Now()
		}
		call, sent := x.call(backend), &sendTime{}
		sent.watch(call)
		pending[sent] = true
		go func() { results <- x.attempt(attempts, backend, call, sent) }()
		return true
	}
	if !launch(false) {
		return x.refuse(w, cmp.Or(x.cause, causeNoBackend))
	}
	hedge := time.NewTimer(x.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case result := <-results:
			delete(pending, result.sent)
			if x.recordResult(result) {
				return x.relay(w, result)
			}
			if result.answer != nil {
				fallback = &result
			}
			if ctx.Err() == nil && launch(false) {
				continue
			}
			if len(pending) > 0 {
				continue
			}
			if fallback != nil {
				return x.relay(w, *fallback)
			}
			return x.giveUp(w, ctx.Err())
		case <-hedge.C:
			if rest := x.hedgeRest(launched); rest > 0 {
				hedge.Reset(rest)
				continue
			}
			if x.repeatable() {
				x.unansweredAt = launched
				launch(true)
			}
		case <-ctx.Done():
			// A response that has already arrived is returned although the time is over.
			if ready := readyAnswer(results); ready != nil {
				x.recordRun(ready.answer.Sent)
				return x.relay(w, *ready)
			}
			if fallback != nil {
				return x.relay(w, *fallback)
			}
			for sent := range pending {
				x.mayHaveRun = true
				x.recordAborted(sent)
			}
			return x.giveUp(w, ctx.Err())
		}
	}
}

// lingering returns a context for attempts. After the request has ended without the end of
// ctx, attempts may go on for upstream.Linger, so that the connection of an attempt that lost
// to a faster one can be kept if its response arrives by then.
func lingering(ctx context.Context) (attempts context.Context, end func()) {
	attempts, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return attempts, func() {
		stop()
		if ctx.Err() != nil {
			// ctx may have ended without having started the AfterFunc yet, in which case stop
			// prevents the call.
			cancel(context.Cause(ctx))
			return
		}
		time.AfterFunc(upstream.Linger, func() { cancel(nil) })
	}
}

// readyAnswer returns a complete response among the results that have arrived, nil if there
// is none.
func readyAnswer(results <-chan attemptResult) *attemptResult {
	for {
		select {
		case result := <-results:
			if result.complete {
				return &result
			}
		default:
			return nil
		}
	}
}

// recordResult records a result and reports whether it ends the request.
func (x *try) recordResult(result attemptResult) bool {
	if result.err != nil {
		x.recordFailure(result.backend, result.err)
		return false
	}
	x.recordRun(result.answer.Sent)
	if !result.complete {
		// A long response is not buffered, so this one has to be passed on now.
		return true
	}
	if result.answer.Status >= http.StatusInternalServerError && x.repeatable() && x.maySend() {
		x.mayHaveRun = true
		x.cause = "backend responded with status " + strconv.Itoa(result.answer.Status)
		return false
	}
	return true
}

// attempt sends a call and returns its result. It runs concurrently with the rest of the
// try and must not modify it.
func (x *try) attempt(ctx context.Context, backend fleet.Backend, call *upstream.Call, sent *sendTime) attemptResult {
	started := time.Now()
	end := x.forwarder.config.Fleet.Begin(backend.ID)
	defer end()
	result := attemptResult{backend: backend, sent: sent}
	answer, err := x.forwarder.config.Client.Do(ctx, call)
	if err != nil {
		result.err = err
		return result
	}
	observeLoad(x.forwarder.config.Fleet, backend.ID, answer.Meta)
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody+1))
	if err != nil {
		_ = answer.Body.Close()
		result.err = answer.BodyError(err)
		return result
	}
	result.answer, result.content, result.complete = answer, content, len(content) <= maxBufferedBody
	if result.complete {
		_ = answer.Body.Close()
		took := time.Since(started)
		usual := answer.Meta.Load().Normalize(took)
		x.forwarder.config.Fleet.ObserveLatency(backend.ID, x.forwarder.latencies.normalized(x.route.Name, usual))
		x.forwarder.latencies.observe(x.route.Name, took, hasFreeSlot(&backend))
	}
	return result
}

const (
	// hedgeLatencies is the delay of a hedge, in multiples of the usual latency.
	hedgeLatencies = 3
	minHedgeDelay  = 20 * time.Millisecond
	// hedgeTarget bounds the delay of a hedge, as a share of the route's target.
	hedgeTarget = 0.5
)

// hedgeDelay returns the delay after which a second attempt is sent beside the first.
func (x *try) hedgeDelay() time.Duration {
	usual := x.forwarder.latencies.usual(x.route.Name)
	most := time.Duration(hedgeTarget * float64(x.route.Target))
	if usual == 0 || most == 0 {
		return max(most, minHedgeDelay)
	}
	return min(max(hedgeLatencies*usual, minHedgeDelay), max(most, minHedgeDelay))
}

// hedgeRest returns how much longer to delay a hedge that needs a new connection: a response
// that is late for its route but well within its target does not justify one.
func (x *try) hedgeRest(launched time.Time) time.Duration {
	now := time.Now()
	backend, found := x.choose(now)
	if !found || backend.Reach.Idle > 0 {
		return 0
	}
	return time.Duration(hedgeTarget*float64(x.route.Target)) - now.Sub(launched)
}

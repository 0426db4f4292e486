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
	backend fleet.Backend
	sent    *sending
	answer  *upstream.Answer
	content []byte
	whole   bool
	err     error
}

// serveBuffered serves requests whose response is buffered until it is complete.
func (t *try) whole(ctx context.Context, w http.ResponseWriter) Report {
	attempts, end := lingering(ctx)
	defer end()
	results := make(chan attemptResult, t.attemptsMost()+refusalsRoomy+withheldMost+1)
	pending := make(map[*sending]bool)
	var launched time.Time
	var spare *attemptResult
	// A hedge, which runs beside another attempt, is sent only to a backend with a free slot.
	launch := func(beside bool) bool {
		backend, found := t.choose(time.Now())
		if !found || !t.maySend() || beside && !free(&backend) {
			return false
		}
		t.sends++
		t.tried[backend.ID]++
		t.last = backend.ID
		if len(pending) == 0 {
			launched = time.Now()
		}
		call, sent := t.call(backend), &sending{}
		sent.follow(call)
		pending[sent] = true
		go func() { results <- t.attempt(attempts, backend, call, sent) }()
		return true
	}
	if !launch(false) {
		return t.refuse(w, cmp.Or(t.cause, causeNoBackend))
	}
	hedge := time.NewTimer(t.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case result := <-results:
			delete(pending, result.sent)
			if t.settled(result) {
				return t.pass(w, result)
			}
			if result.answer != nil {
				spare = &result
			}
			if ctx.Err() == nil && launch(false) {
				continue
			}
			if len(pending) > 0 {
				continue
			}
			if spare != nil {
				return t.pass(w, *spare)
			}
			return t.giveUp(w, ctx.Err())
		case <-hedge.C:
			if rest := t.hedgeRest(launched); rest > 0 {
				hedge.Reset(rest)
				continue
			}
			if t.repeatable() {
				t.unanswered = launched
				launch(true)
			}
		case <-ctx.Done():
			// A response that has already arrived is returned although the time is over.
			if ready := readyAnswer(results); ready != nil {
				t.noteBegan(ready.answer.Sent)
				return t.pass(w, *ready)
			}
			if spare != nil {
				return t.pass(w, *spare)
			}
			for sent := range pending {
				t.uncertain = true
				t.noteSent(sent)
			}
			return t.giveUp(w, ctx.Err())
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
			if result.whole {
				return &result
			}
		default:
			return nil
		}
	}
}

// settled records a result and reports whether it ends the request.
func (t *try) settled(result attemptResult) bool {
	if result.err != nil {
		t.noteFailure(result.backend, result.err)
		return false
	}
	t.noteBegan(result.answer.Sent)
	if !result.whole {
		// A long response is not buffered, so this one has to be passed on now.
		return true
	}
	if result.answer.Status >= http.StatusInternalServerError && t.repeatable() && t.maySend() {
		t.uncertain = true
		t.cause = "backend responded with status " + strconv.Itoa(result.answer.Status)
		return false
	}
	return true
}

// attempt sends a call and returns its result. It runs concurrently with the rest of the
// exchange and must not modify it.
func (t *try) attempt(ctx context.Context, backend fleet.Backend, call *upstream.Call, sent *sending) attemptResult {
	started := time.Now()
	end := t.forwarder.config.Fleet.Begin(backend.ID)
	defer end()
	result := attemptResult{backend: backend, sent: sent}
	answer, err := t.forwarder.config.Client.Do(ctx, call)
	if err != nil {
		result.err = err
		return result
	}
	observeLoad(t.forwarder.config.Fleet, backend.ID, answer.Meta)
	content, err := io.ReadAll(io.LimitReader(answer.Body, bufferMost+1))
	if err != nil {
		_ = answer.Body.Close()
		result.err = answer.Broken(err)
		return result
	}
	result.answer, result.content, result.whole = answer, content, len(content) <= bufferMost
	if result.whole {
		_ = answer.Body.Close()
		took := time.Since(started)
		usual := answer.Meta.Load().AsUsual(took)
		t.forwarder.config.Fleet.ObserveLatency(backend.ID, t.forwarder.latencies.relative(t.route.Name, usual))
		t.forwarder.latencies.observe(t.route.Name, took, free(&backend))
	}
	return result
}

const (
	// hedgeLatencies is the delay of a hedge, in multiples of the usual latency.
	hedgeLatencies = 3
	hedgeLeast     = 20 * time.Millisecond
	// hedgeTarget bounds the delay of a hedge, as a share of the route's target.
	hedgeTarget = 0.5
)

// hedgeDelay returns the delay after which a second attempt is sent beside the first.
func (t *try) hedgeDelay() time.Duration {
	usual := t.forwarder.latencies.usual(t.route.Name)
	most := time.Duration(hedgeTarget * float64(t.route.Target))
	if usual == 0 || most == 0 {
		return max(most, hedgeLeast)
	}
	return min(max(hedgeLatencies*usual, hedgeLeast), max(most, hedgeLeast))
}

// hedgeRest returns how much longer to delay a hedge that needs a new connection: a response
// that is late for its route but well within its target does not justify one.
func (t *try) hedgeRest(launched time.Time) time.Duration {
	now := time.Now()
	backend, found := t.choose(now)
	if !found || backend.Reach.Idle > 0 {
		return 0
	}
	return time.Duration(hedgeTarget*float64(t.route.Target)) - now.Sub(launched)
}

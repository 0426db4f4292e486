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

// attemptResult is what became of one attempt at a whole answer.
type attemptResult struct {
	backend fleet.Backend
	sent    *sending
	answer  *upstream.Answer
	content []byte
	whole   bool
	err     error
}

// whole serves requests whose answer is kept back until it is complete.
func (t *try) whole(ctx context.Context, w http.ResponseWriter) Report {
	attempts, end := lingering(ctx)
	defer end()
	results := make(chan attemptResult, t.attemptsMost()+refusalsRoomy+withheldMost+1)
	pending := make(map[*sending]bool)
	var launched time.Time
	var spare *attemptResult
	// beside tells that another attempt is under way: one more is worth a free place only.
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
			// An answer that is there is given, also late.
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

// lingering returns a context for attempts that goes on for a moment after the end of a
// request that ctx has not ended, so that the connection of an attempt which another was
// quicker than is kept if its answer comes by then.
func lingering(ctx context.Context) (attempts context.Context, end func()) {
	attempts, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	return attempts, func() {
		stop()
		if ctx.Err() != nil {
			// That stop kept the function from being called does not tell that ctx goes on: a
			// context tells of its end before it calls what is to be called after it.
			cancel(context.Cause(ctx))
			return
		}
		time.AfterFunc(upstream.Linger, func() { cancel(nil) })
	}
}

// readyAnswer returns a whole answer among the results that have come, nil if there is
// none.
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

// settled takes note of a result and tells whether it ends the request.
func (t *try) settled(result attemptResult) bool {
	if result.err != nil {
		t.noteFailure(result.backend, result.err)
		return false
	}
	t.noteBegan(result.answer.Sent)
	if !result.whole {
		// A long answer: it has to go on now or never.
		return true
	}
	if result.answer.Status >= http.StatusInternalServerError && t.repeatable() && t.maySend() {
		t.uncertain = true
		t.cause = "back end answered " + strconv.Itoa(result.answer.Status)
		return false
	}
	return true
}

// attempt sends a call and returns what became of it. It runs beside the rest of the try,
// of which it changes nothing.
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
	// hedgeLatencies is how many times the usual latency an attempt may take
	// before a second one is sent beside it.
	hedgeLatencies = 3
	hedgeLeast     = 20 * time.Millisecond
	// hedgeTarget bounds the delay as a share of the route's target.
	hedgeTarget = 0.5
)

// hedgeDelay returns after which time a second attempt is sent beside the first.
func (t *try) hedgeDelay() time.Duration {
	usual := t.forwarder.latencies.usual(t.route.Name)
	most := time.Duration(hedgeTarget * float64(t.route.Target))
	if usual == 0 || most == 0 {
		return max(most, hedgeLeast)
	}
	return min(max(hedgeLatencies*usual, hedgeLeast), max(most, hedgeLeast))
}

// hedgeRest returns how much longer a second attempt waits that would need a new
// connection: an answer that is late for its route yet far from its target is not worth
// one.
func (t *try) hedgeRest(launched time.Time) time.Duration {
	now := time.Now()
	backend, found := t.choose(now)
	if !found || backend.Reach.Idle > 0 {
		return 0
	}
	return time.Duration(hedgeTarget*float64(t.route.Target)) - now.Sub(launched)
}

package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventstream"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// errSilent says that a back end sent no event for too long.
var errSilent = fmt.Errorf("no event: %w", upstream.ErrSilent)

// errQueued says that a back end sent no first event for too long while requests waited
// there: that is no fault of it, nor of the connections to it.
var errQueued = errors.New("no place at the back end for too long")

// errGap says that a resumed stream did not go on where it should.
var errGap = errors.New("event is not the next one")

// streamState is how far a stream has been passed on.
type streamState struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	started bool
	last    int64
	hasLast bool
}

// stream serves requests that are answered by events: whole events go on as
// they come. If a back end breaks off and the route allows it, another goes on
// after the last event; the head stays that of the first.
func (t *try) stream(ctx context.Context, w http.ResponseWriter) Report {
	state := &streamState{writer: w}
	state.flusher, _ = w.(http.Flusher)
	for {
		backend, found := t.choose(time.Now())
		if !found || !t.maySend() {
			return t.endStream(state, ctx.Err())
		}
		t.sends++
		t.tried[backend.ID]++
		t.last = backend.ID
		report, done := t.streamFrom(ctx, state, backend)
		if done {
			return report
		}
		if ctx.Err() != nil {
			return t.endStream(state, ctx.Err())
		}
	}
}

// endStream ends a stream that nobody can go on with.
func (t *try) endStream(state *streamState, ended error) Report {
	if !state.started {
		if t.sends == 0 && t.refusals == 0 && t.cause == "" {
			t.cause = causeNoBackend
		}
		return t.giveUp(state.writer, ended)
	}
	return Report{Outcome: OutcomeBroken, Cause: t.cause, Backend: t.last}
}

// streamFrom passes on what one back end sends; done tells that the request
// has ended.
func (t *try) streamFrom(ctx context.Context, state *streamState, backend fleet.Backend) (Report, bool) {
	end := t.forwarder.config.Fleet.Begin(backend.ID)
	defer end()
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := t.watch(backend.ID, cancel)
	defer watchdog.timer.Stop()
	call := t.call(backend)
	if state.hasLast {
		call.Resume, call.ResumeAfter = true, state.last
		t.forwarder.config.Log.Info(eventlog.StreamResumed, eventlog.Fields{
			eventlog.Request: t.request.ID, eventlog.Backend: backend.ID, "after": state.last, eventlog.Cause: t.cause,
		})
	}
	answer, err := t.forwarder.config.Client.Do(attempt, call)
	if err != nil {
		t.noteFailure(backend, endedBy(attempt, err))
		return Report{}, false
	}
	defer func() { _ = answer.Body.Close() }()
	observeLoad(t.forwarder.config.Fleet, backend.ID, answer.Meta)
	if !isEventStream(answer) {
		return t.passPlain(state, backend, answer)
	}
	if !state.started {
		state.start(answer)
	}
	if err := t.pump(watchdog, state, backend, answer); err != nil {
		if ctx.Err() != nil {
			// The back end was at work, though no event may have come yet.
			t.noteUnanswered(answer.Sent)
			return Report{}, false
		}
		t.noteFailure(backend, endedBy(attempt, answer.Broken(err)))
		return Report{}, false
	}
	return Report{Outcome: OutcomeAnswered, Status: answer.Status, Backend: backend.ID}, true
}

func isEventStream(answer *upstream.Answer) bool {
	kind := answer.Header.Get("Content-Type")
	return answer.Status == http.StatusOK && strings.HasPrefix(kind, "text/event-stream")
}

// passPlain handles an answer that is no stream: a failure, as a rule.
func (t *try) passPlain(state *streamState, backend fleet.Backend, answer *upstream.Answer) (Report, bool) {
	content, err := io.ReadAll(io.LimitReader(answer.Body, bufferMost))
	if err == nil && state.started {
		err = errors.New("back end answered " + http.StatusText(answer.Status))
	}
	if err != nil {
		t.noteFailure(backend, answer.Broken(err))
		return Report{}, false
	}
	t.noteBegan(answer.Sent)
	if answer.Status >= http.StatusInternalServerError && t.repeatable() && t.maySend() {
		t.uncertain = true
		return Report{}, false
	}
	result := attemptResult{backend: backend, answer: answer, content: content, whole: true}
	return t.pass(state.writer, result), true
}

func (s *streamState) start(answer *upstream.Answer) {
	copyHeader(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.Status)
	s.started = true
	s.flush()
}

func (s *streamState) flush() {
	if s.flusher != nil {
		s.flusher.Flush()
	}
}

// silenceMost bounds the wait for the next event of a stream that could be
// resumed elsewhere, and for its first one. Callers give a stream up after two seconds
// without an event at the least: what is left has to do for another back end's first.
const silenceMost = 1200 * time.Millisecond

// watchdog ends an attempt at a stream that could go on elsewhere once nothing has come
// for silenceMost.
type watchdog struct {
	timer *time.Timer
	// begun tells that an event has come.
	begun atomic.Bool
}

// watch sets a watchdog on an attempt. It never ends one that could not go on elsewhere.
func (t *try) watch(backend string, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(silenceMost, func() {
		if !w.begun.Load() && t.queued(backend) {
			cancel(errQueued)
			return
		}
		cancel(errSilent)
	})
	if !t.repeatable() {
		w.timer.Stop()
	}
	return w
}

// queued tells whether a request that is under way at a back end is taken to wait for a
// place there: others wait, or have all the places.
func (t *try) queued(backend string) bool {
	b, found := t.forwarder.config.Fleet.Get(backend, time.Now())
	b.InFlight--
	return found && !free(&b)
}

// endedBy returns the failure of an attempt with the cause that this node ended it for,
// if it did.
func endedBy(attempt context.Context, err error) error {
	var failure *upstream.Error
	cause := context.Cause(attempt)
	if (errors.Is(cause, errSilent) || errors.Is(cause, errQueued)) && errors.As(err, &failure) {
		failure.Cause = cause
	}
	return err
}

// pump passes whole events on until the stream's end, which it returns as nil.
func (t *try) pump(watchdog *watchdog, state *streamState, backend fleet.Backend, answer *upstream.Answer) error {
	reader := eventstream.NewReader(answer.Body, t.forwarder.config.VersionField)
	previous := time.Now()
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if event.HasID && state.hasLast && event.ID != state.last+1 {
			return errGap
		}
		watchdog.begun.Store(true)
		if t.repeatable() {
			watchdog.timer.Reset(silenceMost)
		}
		now := time.Now()
		t.noteBegan(now)
		t.forwarder.config.Fleet.ObservePace(backend.ID, now.Sub(previous), now)
		previous = now
		if _, err := state.writer.Write(event.Raw); err != nil {
			return err
		}
		state.flush()
		if event.HasID {
			state.last, state.hasLast = event.ID, true
		}
	}
}

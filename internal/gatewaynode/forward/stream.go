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

// errSilent is the cause of a failure if a backend sent no event for too long.
var errSilent = fmt.Errorf("no event: %w", upstream.ErrSilent)

// errQueued is the cause of a failure if a backend sent no first event for too long while it
// had no free slot. It counts neither against the backend nor against its connections.
var errQueued = errors.New("backend had no free slot for too long")

// errEventGap means that a resumed stream did not continue with the next event.
var errEventGap = errors.New("event id out of sequence")

// errNoEvent means that the connection to a backend ended after the head of a stream. A backend that
// ends itself closes its connections like one that has nothing more to send.
var errNoEvent = errors.New("connection ended before the first event")

// streamState is the progress of a stream towards the caller.
type streamState struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	started bool
	// begun tells that an event was passed on.
	begun   bool
	last    int64
	hasLast bool
	// release lifts the bound of the writes to the caller, once started.
	release func() error
}

// serveStream serves requests whose response is an event stream, and passes complete events on
// as they arrive. If a backend fails and the route allows it, the stream resumes at another
// backend after the last event; the response header stays that of the first backend.
func (x *try) serveStream(ctx context.Context, w http.ResponseWriter) Report {
	state := &streamState{writer: w}
	state.flusher, _ = w.(http.Flusher)
	for {
		backend, found := x.choose(time.Now())
		if !found || !x.maySend() {
			return x.endStream(state, ctx.Err())
		}
		x.sends++
		x.tried[backend.ID]++
		x.last = backend.ID
		report, done := x.streamFrom(ctx, state, backend)
		if done {
			return report
		}
		if ctx.Err() != nil {
			return x.endStream(state, ctx.Err())
		}
	}
}

// endStream ends a stream that no backend can continue.
func (x *try) endStream(state *streamState, ended error) Report {
	if !state.started {
		if x.sends == 0 && x.refusals == 0 && x.cause == "" {
			x.cause = causeNoBackend
		}
		return x.giveUp(state.writer, ended)
	}
	return Report{Outcome: OutcomeBroken, Cause: x.cause, Backend: x.last}
}

// streamFrom passes on the events of one backend. done reports whether the request has ended.
func (x *try) streamFrom(ctx context.Context, state *streamState, backend fleet.Backend) (Report, bool) {
	end := x.forwarder.config.Fleet.Begin(backend.ID)
	defer end()
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := x.startWatchdog(backend.ID, cancel)
	defer watchdog.timer.Stop()
	call := x.call(backend)
	if state.hasLast {
		call.Resume, call.ResumeAfter = true, state.last
		x.forwarder.config.Log.Info(eventlog.StreamResumed, eventlog.Fields{
			eventlog.Request: x.request.ID, eventlog.Backend: backend.ID, "after": state.last, eventlog.Cause: x.cause,
		})
	}
	answer, err := x.forwarder.config.Client.Do(attempt, call)
	if err != nil {
		x.recordFailure(backend, endedBy(attempt, err))
		return Report{}, false
	}
	defer func() { _ = answer.Body.Close() }()
	observeLoad(x.forwarder.config.Fleet, backend.ID, answer.Meta)
	if !isEventStream(answer) {
		return x.relayPlain(watchdog, state, backend, answer)
	}
	if !state.started {
		if err := state.start(answer, x.endTime()); err != nil {
			x.cause = err.Error()
			return Report{Outcome: OutcomeBroken, Cause: x.cause, Backend: backend.ID}, true
		}
	}
	if err := x.pump(watchdog, state, backend, answer); err != nil {
		if ctx.Err() != nil {
			// The backend was working on the request, even if no event has arrived.
			x.recordLikelyRun(answer.Sent)
			return Report{}, false
		}
		x.recordFailure(backend, endedBy(attempt, answer.BodyError(err)))
		return Report{}, false
	}
	if err := state.release(); err != nil {
		return Report{Outcome: OutcomeBroken, Cause: err.Error(), Backend: backend.ID}, true
	}
	return Report{Outcome: OutcomeAnswered, Status: answer.Status, Backend: backend.ID}, true
}

func isEventStream(answer *upstream.Answer) bool {
	kind := answer.Header.Get("Content-Type")
	return answer.Status == http.StatusOK && strings.HasPrefix(kind, "text/event-stream")
}

// relayPlain handles a response that is not an event stream, usually an error. One of more than
// maxBufferedBody bytes is passed on as it arrives.
func (x *try) relayPlain(watchdog *watchdog, state *streamState, backend fleet.Backend, answer *upstream.Answer) (Report, bool) {
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody+1))
	if err == nil && state.started {
		err = errors.New("backend responded with " + http.StatusText(answer.Status))
	}
	if err != nil {
		x.recordFailure(backend, answer.BodyError(err))
		return Report{}, false
	}
	x.recordRun(answer.Sent)
	if answer.Status >= http.StatusInternalServerError && x.repeatable() && x.maySend() {
		x.mayHaveRun = true
		return Report{}, false
	}
	watchdog.timer.Stop()
	result := attemptResult{backend: backend, answer: answer, content: content, complete: len(content) <= maxBufferedBody}
	return x.relay(state.writer, result), true
}

// start writes the head of the response. Writes to the caller fail after until.
func (s *streamState) start(answer *upstream.Answer, until time.Time) (err error) {
	s.release, err = boundWrites(s.writer, until)
	if err != nil {
		return err
	}
	copyHeader(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.Status)
	s.started = true
	s.flush()
	return nil
}

func (s *streamState) flush() {
	if s.flusher != nil {
		s.flusher.Flush()
	}
}

// maxStreamSilence bounds the wait for the first and each further event of a stream that can
// resume at another backend. Callers abandon a stream after two seconds or more without an
// event, so the other backend needs time to send its first event before that.
const maxStreamSilence = 1200 * time.Millisecond

// watchdog ends an attempt at a resumable stream if no event arrives for maxStreamSilence.
type watchdog struct {
	timer *time.Timer
	// begun tells that an event has arrived.
	begun atomic.Bool
}

// startWatchdog starts a watchdog for an attempt. It does not run if the stream cannot be resumed.
func (x *try) startWatchdog(backend string, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(maxStreamSilence, func() {
		if !w.begun.Load() && x.queued(backend) {
			cancel(errQueued)
			return
		}
		cancel(errSilent)
	})
	if !x.repeatable() {
		w.timer.Stop()
	}
	return w
}

// queued reports whether a running request likely waits for a slot at the backend: others wait,
// or the other running requests take all slots.
func (x *try) queued(backend string) bool {
	b, found := x.forwarder.config.Fleet.Get(backend, time.Now())
	b.InFlight--
	return found && !hasFreeSlot(&b)
}

// endedBy sets the cause of a failed attempt to the one for which this node ended it, if it
// did.
func endedBy(attempt context.Context, err error) error {
	var failure *upstream.Error
	cause := context.Cause(attempt)
	if (errors.Is(cause, errSilent) || errors.Is(cause, errQueued)) && errors.As(err, &failure) {
		failure.Cause = cause
	}
	return err
}

// pump passes complete events on until the end of the stream, for which it returns nil.
func (x *try) pump(watchdog *watchdog, state *streamState, backend fleet.Backend, answer *upstream.Answer) error {
	reader := eventstream.NewReader(answer.Body, x.forwarder.config.VersionField)
	previous := time.Now()
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && !state.begun && answer.EndsWithConnection {
			return errNoEvent
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if event.HasID && state.hasLast && event.ID != state.last+1 {
			return errEventGap
		}
		watchdog.begun.Store(true)
		if x.repeatable() {
			watchdog.timer.Reset(maxStreamSilence)
		}
		now := time.Now()
		x.recordRun(now)
		x.forwarder.config.Fleet.ObservePace(backend.ID, now.Sub(previous), now)
		previous = now
		if _, err := state.writer.Write(event.Raw); err != nil {
			return err
		}
		state.flush()
		state.begun = true
		if event.HasID {
			state.last, state.hasLast = event.ID, true
		}
	}
}

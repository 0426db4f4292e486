package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// relay writes a backend's response to the caller.
func (x *try) relay(w http.ResponseWriter, result attemptResult) Report {
	report := Report{Outcome: OutcomeAnswered, Status: result.answer.Status, Backend: result.backend.ID}
	copyHeader(w.Header(), result.answer.Header)
	if result.complete {
		setContentLength(w.Header(), x.request.Method, result)
		w.WriteHeader(result.answer.Status)
		_, _ = w.Write(result.content)
		return report
	}
	if err := x.passOn(w, result); err != nil {
		report.Outcome, report.Cause = OutcomeBroken, err.Error()
	}
	return report
}

// passOn writes a response that is too long to be buffered as it arrives. It ends when the
// request does, also if the caller takes nothing at that time.
func (x *try) passOn(w http.ResponseWriter, result attemptResult) error {
	defer func() { _ = result.answer.Body.Close() }()
	if result.answer.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(result.answer.Length, 10))
	}
	release, err := boundWrites(w, x.endTime())
	if err != nil {
		return err
	}
	w.WriteHeader(result.answer.Status)
	if _, err := w.Write(result.content); err != nil {
		return err
	}
	body := &sourceReader{source: result.answer.Body}
	if _, err := io.Copy(w, body); err != nil {
		x.recordBrokenBody(result.backend, body.failure)
		return err
	}
	return release()
}

// recordBrokenBody records that a response failed while it was passed on, unless the caller or
// the end of the request ended it. failure is nil if the backend did not fail.
func (x *try) recordBrokenBody(backend fleet.Backend, failure error) {
	if failure == nil || x.ctx.Err() != nil || !time.Now().Before(x.endTime()) {
		return
	}
	x.forwarder.config.Fleet.ObserveFailure(backend.ID, failure.Error(), time.Now())
	x.forwarder.config.Log.Warn(eventlog.AttemptFailed, eventlog.Fields{
		eventlog.Request: x.request.ID, eventlog.Backend: backend.ID, eventlog.Fate: upstream.Answered.String(),
		eventlog.Cause: failure.Error(), eventlog.Work: x.fingerprint.String(),
	})
}

// sourceReader remembers the error of a reader, to tell it from that of a writer in io.Copy.
type sourceReader struct {
	source  io.Reader
	failure error
}

// Read implements io.Reader.
func (r *sourceReader) Read(content []byte) (int, error) {
	n, err := r.source.Read(content)
	if err != nil && !errors.Is(err, io.EOF) {
		r.failure = err
	}
	return n, err
}

// boundWrites makes writes to a caller fail after until. release lifts the bound, so that the
// connection can carry further requests. Writers without deadlines are not bounded.
func boundWrites(w http.ResponseWriter, until time.Time) (release func() error, err error) {
	controller := http.NewResponseController(w)
	err = controller.SetWriteDeadline(until)
	if errors.Is(err, http.ErrNotSupported) {
		return func() error { return nil }, nil
	}
	return func() error { return controller.SetWriteDeadline(time.Time{}) }, err
}

// setContentLength sets the length of a complete response. For a HEAD request it is that which
// the backend sent.
func setContentLength(header http.Header, method string, result attemptResult) {
	length := int64(len(result.content))
	if method == http.MethodHead && result.answer.Length >= 0 {
		length = result.answer.Length
	}
	if result.answer.Status != http.StatusNoContent && result.answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// copyHeader copies the end-to-end fields of a header.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !HopByHop(name, from) {
			to[name] = values
		}
	}
}

// giveUp ends a request after its last attempt failed. The request is refused if it certainly
// has not run, and fails otherwise.
func (x *try) giveUp(w http.ResponseWriter, ended error) Report {
	if !x.mayHaveRun {
		return x.refuse(w, x.cause)
	}
	status, cause := http.StatusBadGateway, x.cause
	if ended != nil {
		status, cause = http.StatusGatewayTimeout, x.timeoutCause()
	}
	Fail(w, status, 0)
	return Report{Outcome: OutcomeFailed, Status: status, Cause: cause, Backend: x.last}
}

// timeoutCause names the time limit that ended the request.
func (x *try) timeoutCause() string {
	if x.forwarder.stopped() {
		return errStopped.Error()
	}
	if x.limit.Before(x.request.Deadline) {
		return "route timeout of " + x.route.Timeout.String() + " exceeded"
	}
	return "caller's deadline exceeded"
}

// refuse answers 503 with Retry-After, which promises that the request has not run.
func (x *try) refuse(w http.ResponseWriter, cause string) Report {
	now := time.Now()
	survey := x.survey(now)
	switch {
	case survey.Reasons[eligibility.LabelQuarantined] > 0:
		cause = causeQuarantined
	case survey.Eligible == 0:
		cause = causeNoBackend
	}
	Fail(w, http.StatusServiceUnavailable, x.retryAfter(cause, survey, now))
	return Report{Outcome: OutcomeRefused, Status: http.StatusServiceUnavailable, Cause: cause, Reasons: survey.Reasons}
}

const (
	minRetryAfter = 50 * time.Millisecond
	// noBackendRetryShare is the share of the remaining time after which a caller should
	// retry if there is no backend. Registry entries expire while the store is unreachable
	// and return with the next heartbeats, which takes longer than a slot takes to become free.
	noBackendRetryShare = 0.33
)

// causeNoBackend is the cause of a refusal if no backend is known or none is eligible.
const causeNoBackend = "no back end"

// causeQuarantined is the cause of a refusal if the request's fingerprint is quarantined,
// since backends terminated while they ran requests like it.
const causeQuarantined = "back ends ended under requests like it"

// retryAfter returns the Retry-After of a refusal.
func (x *try) retryAfter(cause string, survey eligibility.Survey, now time.Time) time.Duration {
	if cause == causeQuarantined {
		return max(x.forwarder.config.Trials.Retry(x.fingerprint), minRetryAfter)
	}
	// If this node's share of the cold backends allows no request before the deadline, that of
	// another node may: the caller should then retry earlier.
	if cause == causeNoBackend && survey.ColdWait > 0 && survey.ColdWait < x.request.Deadline.Sub(now) {
		return max(survey.ColdWait, minRetryAfter)
	}
	if cause == causeNoBackend {
		return max(time.Duration(noBackendRetryShare*float64(x.request.Deadline.Sub(now))), minRetryAfter)
	}
	return x.capacityRetryDelay(now)
}

// Fail writes a response of the node itself, without a body. A positive retryAfter sets
// Retry-After.
func Fail(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

package forward

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// Evidence is the kind of evidence that a request began to run.
type Evidence string

// Kinds of evidence.
const (
	// EvidenceAnswer: a backend responded, or the first event of a stream arrived.
	EvidenceAnswer Evidence = "answer"
	// EvidenceSent: an attempt was sent and likely ran, but got no response.
	EvidenceSent Evidence = "sent"
)

const (
	// maxUnreadDelay is how long, beyond a round trip, a connection may stay open after a call
	// was sent on it that the peer never reads: its process may wait for a CPU.
	maxUnreadDelay = 50 * time.Millisecond
	// maxBackendSilence is the least time, beyond a round trip, after which a connection that
	// closes without a response is taken for one lost on a dead link. The time is longer on
	// routes for which hedgeLatencies usual latencies are longer.
	maxBackendSilence = 200 * time.Millisecond
)

// likelyBegan reports whether the backend likely began to run the call that failed with err.
// Only a call with an unknown fate can have begun. usual is the usual latency of the route, 0
// if not known. A result of false does not prove that the call has not run: only the backend
// can tell that.
//
// A call that this node aborted began, and so did one after which data arrived from the
// backend, unless the call was only partly read. For other calls whose connection the peer
// closed, the first of these that applies decides:
//
//   - a connection that closed late, on a route with a known usual latency, is taken for one
//     lost on a dead link: not begun;
//   - a call that was read whole began;
//   - a reset call began unless the reset came sooner than responses usually do: a proxy in
//     front of a dead backend resets every connection unread, whereas a backend that crashes
//     resets the running ones, once.
func likelyBegan(err error, usual time.Duration) bool {
	var failure *upstream.Error
	if !errors.As(err, &failure) || failure.Fate != upstream.Unknown {
		return false
	}
	after := failure.After - failure.RoundTrip
	switch {
	case failure.End != upstream.EndLost:
		return true
	case failure.Receipt == upstream.ReceiptPartial:
		return false
	case failure.Heard:
		return true
	case usual > 0 && after > max(maxBackendSilence, hedgeLatencies*usual):
		return false
	case failure.Receipt == upstream.ReceiptComplete:
		return true
	}
	return after > max(usual, maxUnreadDelay)
}

// likelyBegan reports whether the backend likely began to run a failed attempt.
func (x *try) likelyBegan(err error) bool {
	return likelyBegan(err, x.forwarder.latencies.usual(x.route.Name))
}

// addSendFields adds to the log fields of a failed attempt what tells whether it began.
func (x *try) addSendFields(fields eventlog.Fields, err error) {
	var failure *upstream.Error
	if !errors.As(err, &failure) || failure.Fate != upstream.Unknown {
		return
	}
	fields[eventlog.AfterMillis] = float64(failure.After) / float64(time.Millisecond)
	fields[eventlog.Receipt], fields[eventlog.LikelyBegan] = failure.Receipt.String(), x.likelyBegan(err)
}

// sendTime is when a call left this process, if it did. It is safe for concurrent use.
type sendTime struct{ at atomic.Pointer[time.Time] }

// watch makes call record its send time: the moment after it passed the admission gate.
func (s *sendTime) watch(call *upstream.Call) {
	admit := call.Admit
	call.Admit = func() error {
		if err := admit(); err != nil {
			return err
		}
		now := time.Now()
		s.at.Store(&now)
		return nil
	}
}

// recordAborted records a pending call that this node aborts, if it was sent.
func (x *try) recordAborted(s *sendTime) {
	if at := s.at.Load(); at != nil {
		x.recordLikelyRun(*at)
	}
}

// beganAt returns when the request began to run and the evidence for it, zero if it did not.
func (x *try) beganAt() (time.Time, Evidence) {
	switch {
	case !x.answeredAt.IsZero():
		return x.answeredAt, EvidenceAnswer
	case !x.likelyRunAt.IsZero():
		return x.likelyRunAt, EvidenceSent
	}
	return time.Time{}, ""
}

// recordRun records that a backend ran the request from a moment on.
func (x *try) recordRun(moment time.Time) {
	if x.answeredAt.IsZero() || moment.Before(x.answeredAt) {
		x.answeredAt = moment
	}
}

// recordUnanswered records the send time of a failed attempt, unless it waited for a slot at
// the backend, and that it likely ran if likelyBegan says so.
func (x *try) recordUnanswered(err error) {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return
	}
	if !errors.Is(err, errQueued) {
		x.unansweredAt = failure.Sent
	}
	if x.likelyBegan(err) {
		x.recordLikelyRun(failure.Sent)
	}
}

// recordLikelyRun records that an attempt without a response likely ran.
func (x *try) recordLikelyRun(sent time.Time) {
	if x.likelyRunAt.IsZero() || sent.Before(x.likelyRunAt) {
		x.likelyRunAt = sent
	}
}

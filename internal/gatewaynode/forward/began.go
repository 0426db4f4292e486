package forward

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// Evidence is what tells that a request began to run.
type Evidence string

// Kinds of evidence.
const (
	// EvidenceAnswer: a back end answered, or a stream's first event came.
	EvidenceAnswer Evidence = "answer"
	// EvidenceSent: an attempt was sent that no answer came to, and likely ran.
	EvidenceSent Evidence = "sent"
)

const (
	// unreadMost is for how long, beyond a round trip, a connection may stand after a call was
	// sent on it that its other side never reads: processes wait for a processor.
	unreadMost = 50 * time.Millisecond
	// quietMost is for how long a back end of which nothing is heard is taken to be at work on
	// a call, if answers take less as a rule.
	quietMost = 200 * time.Millisecond
)

// likelyBegan tells whether the back end is taken to have begun the call that failed with
// an error; only one of an unknown fate may have begun. usual is how long answers of its route usually take, 0 if that
// is not known. It never tells that a call has not run: that takes a word of the back end. It
// is pure.
//
// A call that this node ended found a connection that stood, and one counts after which the
// back end was heard, unless it was not read whole. Of other calls whose connection the other
// side ended,
//
//   - one that ended late is taken for lost on a link that had fallen silent;
//   - one that was read whole began;
//   - one that was reset began unless that came before answers usually do: what stands before a
//     back end that is gone resets each request's connection unread for as long as that
//     lasts, one that breaks down at work those under way, once.
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
	case usual > 0 && after > max(quietMost, hedgeLatencies*usual):
		return false
	case failure.Receipt == upstream.ReceiptWhole:
		return true
	}
	return after > max(usual, unreadMost)
}

// likelyBegan tells whether the back end is taken to have begun an attempt that failed.
func (t *try) likelyBegan(err error) bool {
	return likelyBegan(err, t.forwarder.latencies.usual(t.route.Name))
}

// noteSending adds to the fields of a failed attempt's line what tells whether it began.
func (t *try) noteSending(fields eventlog.Fields, err error) {
	var failure *upstream.Error
	if !errors.As(err, &failure) || failure.Fate != upstream.Unknown {
		return
	}
	fields[eventlog.AfterMillis] = float64(failure.After) / float64(time.Millisecond)
	fields[eventlog.Receipt], fields[eventlog.LikelyBegan] = failure.Receipt.String(), t.likelyBegan(err)
}

// sending is when a call left this process. It is safe for concurrent use.
type sending struct{ at atomic.Pointer[time.Time] }

// follow makes a call tell when it leaves the process: once it is admitted.
func (s *sending) follow(call *upstream.Call) {
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

// noteSent records a call under way that this node ends, if it was sent.
func (t *try) noteSent(s *sending) {
	if at := s.at.Load(); at != nil {
		t.noteUnanswered(*at)
	}
}

// beganAt returns when the request began to run and what tells it, zero if it did not.
func (t *try) beganAt() (time.Time, Evidence) {
	switch {
	case !t.answered.IsZero():
		return t.answered, EvidenceAnswer
	case !t.maybe.IsZero():
		return t.maybe, EvidenceSent
	}
	return time.Time{}, ""
}

// noteBegan records that a back end ran the request from a moment on.
func (t *try) noteBegan(moment time.Time) {
	if t.answered.IsZero() || moment.Before(t.answered) {
		t.answered = moment
	}
}

// noteMaybe records an attempt without an answer that may have run.
func (t *try) noteMaybe(err error) {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return
	}
	if !errors.Is(err, errQueued) {
		t.unanswered = failure.Sent
	}
	if t.likelyBegan(err) {
		t.noteUnanswered(failure.Sent)
	}
}

// noteUnanswered records an attempt without an answer that likely ran.
func (t *try) noteUnanswered(sent time.Time) {
	if t.maybe.IsZero() || sent.Before(t.maybe) {
		t.maybe = sent
	}
}

package forward

import (
	"errors"
	"sync/atomic"
	"time"

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

// closeMost is for how long, beyond a round trip, a connection may stand after a call was
// sent on it that its other side does not read: as long as processes wait for a processor.
const closeMost = 5 * time.Millisecond

// likelyBegan tells whether the back end is taken to have begun the call that failed with
// an error of an unknown fate. It never tells that a call has not run: that takes a word of
// the back end. A call that this node ended found a connection that stood. One whose
// connection the other side ended was begun if it was read whole before. Else, a back end that
// is gone, or what stands before it, ends connections unread about when they are made; the
// end of one that broke down at work comes later. It is pure.
func likelyBegan(err error) bool {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return false
	}
	return failure.End != upstream.EndLost || failure.Taken || failure.After > failure.RoundTrip+closeMost
}

// afterSending returns how long after it was sent a call failed, 0 for one that was not.
func afterSending(err error) time.Duration {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		return 0
	}
	return failure.After
}

// milliseconds returns a duration for logs, with its fractions.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
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
	if likelyBegan(err) {
		t.noteUnanswered(failure.Sent)
	}
}

// noteUnanswered records an attempt without an answer that likely ran.
func (t *try) noteUnanswered(sent time.Time) {
	if t.maybe.IsZero() || sent.Before(t.maybe) {
		t.maybe = sent
	}
}

package quarantine

import (
	"context"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

const (
	// trialAfter is how long a work is quarantined before its trial. By then, backends that
	// failed together, whatever the reason, have usually restarted.
	trialAfter = 10 * time.Second
	// trialPrefix is the prefix of the keys of trial rows.
	trialPrefix = "trial/"
	// askLimit is the timeout of the store transaction that acquires a trial, askRest the
	// minimum time from a failed one to the next. Together they limit how many requests wait
	// for a store that does not respond.
	askLimit = 500 * time.Millisecond
	askRest  = 5 * time.Second
)

// trial is the state of the trial of a quarantined work, as far as this node knows.
type trial int

const (
	// trialOpen means that the trial can be acquired.
	trialOpen trial = iota
	// trialAsked means that this node is acquiring the trial.
	trialAsked
	// trialTaken means that some node has acquired the trial.
	trialTaken
)

// trialID returns the id of the row whose creation acquires the trial of a work.
func trialID(work fingerprint.Fingerprint) rowstore.RowID {
	return rowstore.RowID{Table: Table, Key: trialPrefix + work.String()}
}

// endTrial deletes the row of a work's trial, if there is one, so that another trial is
// possible. The caller holds t.mu.
func (t *Tracker) endTrial(s *suspect) {
	if s.trial == trialTaken {
		t.outbox.remove(rowKey(trialID(s.work).Key))
	}
}

// trialOf returns the work in the key of a trial row and reports whether it is one.
func trialOf(key string) (fingerprint.Fingerprint, bool) {
	text, found := strings.CutPrefix(key, trialPrefix)
	if !found {
		return fingerprint.Fingerprint{}, false
	}
	work, err := fingerprint.Parse(text)
	return work, err == nil
}

// Retry returns the time after which a client may retry a quarantined work: until its trial
// or, if the trial was taken, until one of its failures is forgotten.
func (t *Tracker) Retry(work fingerprint.Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[work]
	if s == nil || !s.held {
		return 0
	}
	if s.trial == trialTaken {
		return max(FailureTTL-time.Since(s.changed), trialAfter)
	}
	return max(trialAfter-time.Since(s.heldSince), 0)
}

// Try acquires the trial of a quarantined work and reports whether this node has it. The
// node may then send the work once, to one backend. There is one trial for all nodes, which
// belongs to the node that creates its row. If the trial succeeds, the work is cleared;
// otherwise it stays quarantined until one of its failures is forgotten.
func (t *Tracker) Try(ctx context.Context, work fingerprint.Fingerprint) bool {
	if !t.ask(work) {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	id := trialID(work)
	_, err := t.config.Store.Commit(bounded, rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: id}}, Puts: []rowstore.Row{{RowID: id, Value: []byte(t.config.Node)}},
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[work]
	if s == nil || !s.held {
		return false
	}
	if err != nil {
		// Another node has the trial, or the outcome of the transaction is unknown. Asking
		// again is safe, since the transaction fails once the row exists.
		if s.trial == trialAsked {
			s.trial, s.askAgain = trialOpen, time.Now().Add(askRest)
		}
		return false
	}
	s.trial = trialTaken
	t.config.Log.Warn(eventlog.QuarantineTrial, eventlog.Fields{
		eventlog.Work: work.String(), "ends": len(s.failures), "held_ms": time.Since(s.heldSince).Milliseconds(),
	})
	return true
}

// mayTry reports whether the trial of a suspect, which may be nil, may be requested now. The
// caller holds t.mu.
func (t *Tracker) mayTry(s *suspect) bool {
	return s != nil && s.held && s.trial == trialOpen && time.Since(s.heldSince) >= trialAfter && !time.Now().Before(s.askAgain)
}

// ask marks the trial of a work as being acquired by this node and reports whether that was
// possible.
func (t *Tracker) ask(work fingerprint.Fingerprint) bool {
	if t.Held(work) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[work]
	if !t.mayTry(s) {
		return false
	}
	s.trial = trialAsked
	return true
}

// sawTrial handles a change of a trial row. The caller holds t.mu.
func (t *Tracker) sawTrial(work fingerprint.Fingerprint, deleted bool) {
	s := t.suspects[work]
	if s == nil {
		return
	}
	s.trial = trialTaken
	if deleted {
		s.trial = trialOpen
	}
}

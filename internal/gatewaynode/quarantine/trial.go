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
	// trialAfter is how long a work is quarantined before it may be tried once: back ends
	// that ended together for another reason, as a zone that lost its power, are back by
	// then, and so are those that a deadly work ended.
	trialAfter = 10 * time.Second
	// trialPrefix begins the keys of the rows of trials.
	trialPrefix = "trial/"
	// askLimit bounds the asking for a trial, askRest is the least time between two: while
	// the store gives no answer, few requests wait for it.
	askLimit = 500 * time.Millisecond
	askRest  = 5 * time.Second
)

// trial is how far the one trial of a quarantined work is.
type trial int

const (
	trialOpen trial = iota
	// trialAsked: this node is asking for it.
	trialAsked
	// trialTaken: a node has it, or had it.
	trialTaken
)

func trialID(work fingerprint.Fingerprint) rowstore.RowID {
	return rowstore.RowID{Table: Table, Key: trialPrefix + work.String()}
}

// endTrial takes the row of a work's trial away, if there is one, so that there may be
// another. The lock is held.
func (b *Book) endTrial(s *suspect) {
	if s.trial == trialTaken {
		b.outbox.remove(rowKey(trialID(s.work).Key))
	}
}

// trialOf returns the work of the row of a trial.
func trialOf(key string) (fingerprint.Fingerprint, bool) {
	text, found := strings.CutPrefix(key, trialPrefix)
	if !found {
		return fingerprint.Fingerprint{}, false
	}
	work, err := fingerprint.Parse(text)
	return work, err == nil
}

// Retry returns after what time a quarantined work may come back: when it may be tried or,
// if it was, when one of its ends is forgotten.
func (b *Book) Retry(work fingerprint.Fingerprint) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[work]
	if s == nil || !s.held {
		return 0
	}
	if s.trial == trialTaken {
		return max(KeepEnd-time.Since(s.changed), trialAfter)
	}
	return max(trialAfter-time.Since(s.heldSince), 0)
}

// Try asks for the one trial of a quarantined work, and tells whether this node has it: it
// may then send the work on once, at one back end. All nodes together have one trial, which
// the node has that writes its row. If it succeeds the work is cleared; else it stays
// quarantined until an end is forgotten.
func (b *Book) Try(ctx context.Context, work fingerprint.Fingerprint) bool {
	if !b.ask(work) {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	id := trialID(work)
	_, err := b.config.Store.Commit(bounded, rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: id}}, Puts: []rowstore.Row{{RowID: id, Value: []byte(b.config.Node)}},
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[work]
	if s == nil || !s.held {
		return false
	}
	if err != nil {
		// Another node has it, or nobody knows: it may be asked for again, and is refused
		// once its row is there.
		if s.trial == trialAsked {
			s.trial, s.askAgain = trialOpen, time.Now().Add(askRest)
		}
		return false
	}
	s.trial = trialTaken
	b.config.Log.Warn(eventlog.QuarantineTrial, eventlog.Fields{
		eventlog.Work: work.String(), "ends": len(s.ends), "held_ms": time.Since(s.heldSince).Milliseconds(),
	})
	return true
}

// MayTry tells whether the trial of a quarantined work may be asked for.
func (b *Book) MayTry(work fingerprint.Fingerprint) bool {
	if b.Held(work) == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayTry(b.suspects[work])
}

// mayTry is MayTry of what is known of the work. The lock is held.
func (b *Book) mayTry(s *suspect) bool {
	return s != nil && s.held && s.trial == trialOpen && time.Since(s.heldSince) >= trialAfter && !time.Now().Before(s.askAgain)
}

// ask tells whether the trial of a work may be asked for, and that it is.
func (b *Book) ask(work fingerprint.Fingerprint) bool {
	if b.Held(work) == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[work]
	if !b.mayTry(s) {
		return false
	}
	s.trial = trialAsked
	return true
}

// sawTrial takes that the row of a trial is there, or gone. The lock is held.
func (b *Book) sawTrial(work fingerprint.Fingerprint, deleted bool) {
	s := b.suspects[work]
	if s == nil {
		return
	}
	s.trial = trialTaken
	if deleted {
		s.trial = trialOpen
	}
}

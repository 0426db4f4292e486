package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// Outcome is the answer to a submitted change.
type Outcome string

const (
	// OutcomeAccepted means that the change is in the log with Result.Revision.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeConflict means that revision Result.BeatenBy came first. The change
	// is not in the log and never will be.
	OutcomeConflict Outcome = "conflict"
	// OutcomeInvalid means that the change does not apply. It is not in the log
	// and never will be.
	OutcomeInvalid Outcome = "invalid"
	// OutcomeUnknown means that the change may be in the log, or may yet get
	// there: ask again by its id.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeUnavailable means that the table could not be reached before
	// anything was written.
	OutcomeUnavailable Outcome = "unavailable"
)

// Result tells the fate of a change.
type Result struct {
	Outcome Outcome `json:"outcome"`
	ID      string  `json:"id"`
	// Revision is the change's revision where it was accepted, else the newest
	// that the node knew.
	Revision int64 `json:"revision"`
	// BeatenBy is the revision that came first, of a conflict.
	BeatenBy int64 `json:"beaten_by,omitempty"`
	// OpenRevision is the revision that a change of unknown fate may be or may
	// yet become. Once the log has that revision, the fate is settled.
	OpenRevision int64 `json:"open_revision,omitempty"`
	// Code is the machine-readable reason where the change was not accepted.
	Code    api.Code `json:"code,omitempty"`
	Message string   `json:"message"`
}

const (
	retryDelayMin = 20 * time.Millisecond
	retryDelayMax = 500 * time.Millisecond
)

// submission is one run of Submit: a loop of reading the newest log and trying
// to write the next row, until the fate of the change is known or ctx ends.
type submission struct {
	store  *Store
	change Change
	log    *Log
	// openRow is the row of an attempt whose answer was lost; zero if none.
	openRow int64
	// applied is the newest log on which the change did apply; nil if none.
	applied *Log
	delay   time.Duration
}

// Submit brings change into the log and returns its fate with the newest log
// that it saw. Attempts go on until ctx ends.
func (s *Store) Submit(ctx context.Context, known *Log, change Change) (Result, *Log) {
	run := &submission{store: s, change: change, log: known, delay: retryDelayMin}
	for {
		result, decided := run.attempt(ctx)
		if decided {
			return result, run.log
		}
		if !run.pause(ctx) {
			return run.giveUp(ctx.Err()), run.log
		}
	}
}

// attempt reads the log and writes the next row.
func (r *submission) attempt(ctx context.Context) (Result, bool) {
	v, err := r.store.read(ctx, r.log)
	if err != nil {
		if isContradiction(err) {
			return r.giveUp(err), true
		}
		return Result{}, false
	}
	r.observe(v.log)
	if revision, ok := v.log.Find(r.change.ID); ok {
		return acceptedResult(r.change.ID, revision), true
	}
	entry := Entry{Revision: v.log.Revision() + 1, Change: r.change}
	next, err := v.log.Extend(entry)
	if err != nil {
		return r.refuse(err), true
	}
	r.applied = v.log
	switch err := r.store.commit(ctx, v, entry); {
	case err == nil:
		r.log = next
		return acceptedResult(r.change.ID, entry.Revision), true
	case definiteCode(err) == api.CodeConditionFailed:
		r.delay = retryDelayMin
	case definiteCode(err) == "":
		r.openRow = entry.Revision
	}
	return Result{}, false
}

// observe takes note of a log that was just read. An attempt with a lost answer
// is settled once its row is there: it holds the change, or nothing will.
func (r *submission) observe(log *Log) {
	r.log = log
	if r.openRow != 0 && log.Revision() >= r.openRow {
		r.openRow = 0
	}
}

// refuse answers a change that does not apply to the newest log.
func (r *submission) refuse(err error) Result {
	result := Result{Outcome: OutcomeInvalid, ID: r.change.ID, Revision: r.log.Revision(), Code: codeOf(err), Message: err.Error()}
	switch {
	case errors.Is(err, ErrConflict):
		result.BeatenBy = min(r.change.IfRevision+1, r.log.Revision())
	case r.applied != nil:
		result.BeatenBy = r.log.firstConflict(r.applied, r.change)
	default:
		return result
	}
	result.Outcome = OutcomeConflict
	result.Code = api.CodeRevisionConflict
	if winner, ok := r.log.entry(result.BeatenBy); ok {
		result.Message = fmt.Sprintf("revision %d by %q (%s) came first: %s",
			winner.Revision, winner.Change.Author, winner.Change.Operation, err)
	}
	return result
}

// giveUp answers a change whose fate could not be settled.
func (r *submission) giveUp(cause error) Result {
	result := Result{ID: r.change.ID, Revision: r.log.Revision(), Code: api.CodeStoreUnavailable}
	if r.openRow != 0 {
		result.Outcome = OutcomeUnknown
		result.OpenRevision = r.openRow
		result.Message = fmt.Sprintf("the answer for revision %d was lost and %s; ask again for id %s",
			r.openRow, describeCause(cause), r.change.ID)
		return result
	}
	result.Outcome = OutcomeUnavailable
	result.Message = "nothing was changed: " + describeCause(cause)
	return result
}

// describeCause tells a table that is silent from one whose rows contradict what
// this node knows.
func describeCause(cause error) string {
	if isContradiction(cause) {
		return fmt.Sprintf("the table's log cannot be followed (%v)", cause)
	}
	return fmt.Sprintf("the table does not answer (%v)", cause)
}

func isContradiction(err error) bool {
	return errors.Is(err, ErrTableBehind) || errors.Is(err, ErrCorrupt)
}

// pause waits before the next attempt and tells whether there is time for it.
// The jitter keeps racing submitters from meeting again.
func (r *submission) pause(ctx context.Context) bool {
	timer := time.NewTimer(r.store.jitter.spread(r.delay))
	defer timer.Stop()
	r.delay = min(2*r.delay, retryDelayMax)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func acceptedResult(id string, revision int64) Result {
	return Result{Outcome: OutcomeAccepted, ID: id, Revision: revision, Message: fmt.Sprintf("accepted as revision %d", revision)}
}

func codeOf(err error) api.Code {
	switch {
	case errors.Is(err, ErrConflict):
		return api.CodeRevisionConflict
	case errors.Is(err, ErrUnknownPool):
		return api.CodeUnknownPool
	case errors.Is(err, ErrVersionNotMonotone):
		return api.CodeVersionNotMonotone
	case errors.Is(err, ErrNotFound):
		return api.CodeNotFound
	}
	return api.CodeInvalid
}

package engine

import (
	"net/http"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// State says how far a request came.
type State string

const (
	// StateNotSent means that no byte of the request left this process.
	StateNotSent State = "not_sent"
	// StateRefused means that the back end said it did not run the request.
	StateRefused State = "refused"
	// StatePartial means that the request may have run, in part or whole.
	StatePartial State = "partial"
	// StateComplete means that the whole answer arrived and was checked.
	StateComplete State = "complete"
)

const (
	// ErrTransport tags failures of the connection.
	ErrTransport = errs.Tag("engine: transport")
	// ErrCut tags streams that ended without their end marker.
	ErrCut = errs.Tag("engine: stream cut")
	// ErrGap tags streams that miss a frame.
	ErrGap = errs.Tag("engine: gap in stream")
	// ErrCorrupt tags answers whose totals or checksum do not match.
	ErrCorrupt = errs.Tag("engine: corrupt answer")
	// ErrEnded tags streams that the engine ended on request (cancel or export).
	ErrEnded = errs.Tag("engine: stream ended early")
	// ErrAnswer tags answers with an unexpected status.
	ErrAnswer = errs.Tag("engine: unexpected answer")
)

// Result is the outcome of one generate request. Text, Tokens and Segments
// cover this stream only, not what it resumed from.
type Result struct {
	State    State
	Text     string
	Tokens   int
	Segments []api.Segment
	// FinishReason is set where the end marker arrived.
	FinishReason api.FinishReason
	// Load is the engine's load as carried on the last frame; may be nil.
	Load *api.LoadReport
	// Err is nil only in StateComplete. In StateRefused errors.As finds the
	// *api.Error of the engine.
	Err error
}

// InvokeResult is the outcome of one request to an application instance.
type InvokeResult struct {
	State State
	Body  string
	Load  *api.LoadReport
	Err   error
}

// refusedByBackend tells whether an error answer says for certain that the
// request did not run.
func refusedByBackend(answer *api.Error) bool {
	if answer.Outcome != api.OutcomeRefused {
		return false
	}
	switch answer.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return true
	}
	// Others do not say so for certain: a conflict, for one, may mean that the
	// same attempt is known there already.
	return false
}

// failureState returns the state of a request whose answer was answer.
func failureState(answer *api.Error) State {
	if refusedByBackend(answer) {
		return StateRefused
	}
	return StatePartial
}

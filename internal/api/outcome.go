package api

import (
	"fmt"
	"net/http"
)

// Outcome is the final word on a request. Callers may rely on it: only
// OutcomeRefused says that nothing ran.
type Outcome string

const (
	// OutcomeCompleted means that the whole answer is in this response.
	OutcomeCompleted Outcome = "completed"
	// OutcomeRefused means that no byte of the request reached any back end.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed means that the request ran at least in part and that it
	// will not complete.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Code is a stable, machine-readable reason of an error. Codes are never
// renamed once released.
type Code string

const (
	CodeMalformed          Code = "malformed_body"
	CodeTooLarge           Code = "body_too_large"
	CodeInvalid            Code = "invalid_field"
	CodeUnknownPool        Code = "unknown_pool"
	CodeUnknownStep        Code = "unknown_step"
	CodeUnknownTrainer     Code = "unknown_trainer"
	CodeDuplicateStep      Code = "duplicate_step"
	CodeDeadlinePassed     Code = "deadline_passed"
	CodeMissingKey         Code = "missing_idempotency_key"
	CodeAlreadyClaimed     Code = "already_claimed"
	CodeClaimUnavailable   Code = "claim_unavailable"
	CodeOverloaded         Code = "overloaded"
	CodeCallerLimit        Code = "caller_limit"
	CodeNoBackend          Code = "no_backend"
	CodeBackendFailed      Code = "backend_failed"
	CodeRetryBudget        Code = "retry_budget_exhausted"
	CodeStopping           Code = "node_stopping"
	CodeNotReady           Code = "node_not_ready"
	CodeNotOwner           Code = "not_step_owner"
	CodeStoreUnavailable   Code = "store_unavailable"
	CodeRevisionConflict   Code = "revision_conflict"
	CodeSyntax             Code = "syntax_error"
	CodeFenced             Code = "fenced"
	CodeNotFound           Code = "not_found"
	CodeRateLimited        Code = "rate_limited"
	CodeConditionFailed    Code = "condition_failed"
	CodeCursorOutOfRange   Code = "cursor_out_of_range"
	CodeVersionNotMonotone Code = "version_not_monotone"
	CodeInternal           Code = "internal_error"
)

// Error is the body of every response that is not a success, and the value
// that clients in this project return for one.
type Error struct {
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Message string  `json:"message"`
	// RequestID names the request where it is known.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMS says when coming back helps; zero means that it does not.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Status is the HTTP status code; it is not part of the body.
	Status int `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// Refusal returns an Error for a request of which nothing was sent to a back
// end. retryAfterMS of zero means that coming back does not help.
func Refusal(status int, code Code, retryAfterMS int64, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: OutcomeRefused, Message: fmt.Sprintf(format, args...), RetryAfterMS: retryAfterMS, Status: status}
}

// Invalid returns a refusal with status 400 for a field that is out of bounds.
func Invalid(format string, args ...any) *Error {
	return Refusal(http.StatusBadRequest, CodeInvalid, 0, format, args...)
}

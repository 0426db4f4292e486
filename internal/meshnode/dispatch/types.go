package dispatch

import (
	"context"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// Request is one request to a pool.
type Request struct {
	// RequestID must be unique among the requests of all nodes.
	RequestID string
	// Caller is counted against the limit per caller where it is not empty.
	Caller   string
	Pool     string
	Priority api.Priority
	// Deadline ends the request; zero means that only the context does.
	Deadline       time.Time
	Repeatable     bool
	IdempotencyKey string
	Prompt         string
	MaxTokens      int
	// MinVersion is the lowest version that may begin or continue the request.
	MinVersion int64
	// FirstAttempt is the number of the first attempt. Whoever sends the same
	// request id again passes the NextAttempt of the last result.
	FirstAttempt int
	// Resume continues an earlier, incomplete result.
	Resume *Resume
	// OnFrame, which may be nil, sees the frames as they arrive. They are
	// advisory: only the Result was checked as a whole. An error gives the
	// request up. A request with OnFrame is not hedged.
	OnFrame func(Progress) error
}

// Resume is what was already received of a request's answer.
type Resume struct {
	Text     string
	Tokens   int
	Segments []api.Segment
	// Handle names exported cache content; empty if there is none.
	Handle string
}

// Progress is one frame of a running request.
type Progress struct {
	Backend string
	Attempt int
	Frame   api.StreamFrame
}

// Result is the final word on a request.
type Result struct {
	RequestID string
	Outcome   api.Outcome
	// Err is nil only for OutcomeCompleted.
	Err *api.Error
	// Text, Tokens and Segments are what was received. For an outcome other
	// than completed they can be passed on as a Resume.
	Text     string
	Tokens   int
	Segments []api.Segment
	// Backend ran the last attempt.
	Backend string
	// Attempts counts the attempts, NextAttempt is the first unused number.
	Attempts    int
	NextAttempt int
}

// ClaimResult is the answer to a claim.
type ClaimResult struct {
	// Granted means that this request, and no other, may be sent.
	Granted bool
	// Holder is the request id that holds the key otherwise.
	Holder string
	// Answer is the holder's answer where it is known to have completed.
	Answer *api.LiveResponse
}

// Claimer grants each idempotency key at most once.
type Claimer interface {
	// Claim asks for the key. With an error the claim may or may not stand, so
	// the request must not be sent.
	Claim(ctx context.Context, key, requestID string) (ClaimResult, error)
	// Complete records how the request that held the key ended. OutcomeRefused
	// frees the key, because nothing ran. answer is nil unless the outcome is
	// completed.
	Complete(ctx context.Context, key, requestID string, outcome api.Outcome, answer *api.LiveResponse) error
}

// Engines sends requests to back ends; *engine.Client implements it.
type Engines interface {
	Generate(ctx context.Context, address string, request api.GenerateRequest, onFrame func(api.StreamFrame) error) engine.Result
	Invoke(ctx context.Context, address string, request api.InvokeRequest) engine.InvokeResult
	Cancel(ctx context.Context, address string, request api.CancelRequest) (api.CancelResponse, error)
	Export(ctx context.Context, address string, request api.CancelRequest) (api.KVState, error)
}

// Backends is the node's view of back ends; *backend.Set implements it.
type Backends interface {
	PoolSnapshot(pool string) (routing.Pool, bool)
	Acquire(pool, name string) (backend.Ticket, bool)
}

package rollout

import (
	"context"

	"github.com/sliplift/sliplift/internal/api"
)

// RunRequest asks a Runner for one sample.
type RunRequest struct {
	// RequestID is "<trainer>/<step>/<index>/<attempt>".
	RequestID  string
	Pool       string
	Priority   api.Priority
	Prompt     string
	MaxTokens  int
	MinVersion int64
	Attempt    int
	// OnSegment is called, possibly more than once, with each version that
	// the engine's stream reports. It does not block.
	OnSegment func(version int64)
}

// RunResult is what became of a RunRequest. Text, Tokens and Segments are whole
// if Outcome is api.OutcomeCompleted, Err is set otherwise.
type RunResult struct {
	Outcome  api.Outcome
	Text     string
	Tokens   int
	Segments []api.Segment
	Err      *api.Error
}

// Runner runs samples on engines. Run returns soon after ctx is cancelled and
// then ends the stream at the engine too.
type Runner interface {
	Run(ctx context.Context, request RunRequest) RunResult
}

package api

import "time"

// Priority orders requests that wait for the same back end; lower values go
// first.
type Priority int

const (
	// PriorityLive is for requests that a person or an application waits for.
	PriorityLive Priority = 0
	// PriorityStepTail is for the last samples of a trainer's step.
	PriorityStepTail Priority = 5
	// PriorityTraining is for rollout samples.
	PriorityTraining Priority = 10
	// PriorityLowest is the largest value that is accepted.
	PriorityLowest Priority = 20
)

// LiveRequest is the body of POST /v1/requests on the caller port.
type LiveRequest struct {
	// RequestID is chosen by the caller; the node assigns one if it is empty.
	RequestID string `json:"request_id,omitempty"`
	// Caller names the calling application, for limits and logs.
	Caller   string   `json:"caller,omitempty"`
	Pool     string   `json:"pool"`
	Priority Priority `json:"priority"`
	// DeadlineMS is the time the caller is willing to wait, counted from
	// receipt. It must be positive.
	DeadlineMS int64 `json:"deadline_ms"`
	// Repeatable says that running the request twice does no harm.
	Repeatable bool `json:"repeatable"`
	// IdempotencyKey is required where Repeatable is false.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Prompt is the text for an engine pool, or the body for an application pool.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer of an engine; ignored by applications.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// LiveResponse is the answer to a LiveRequest that completed.
type LiveResponse struct {
	RequestID string    `json:"request_id"`
	Outcome   Outcome   `json:"outcome"`
	Text      string    `json:"text"`
	Tokens    int       `json:"tokens"`
	Segments  []Segment `json:"segments,omitempty"`
	Backend   string    `json:"backend"`
	Attempts  int       `json:"attempts"`
}

// Segment is a run of consecutive tokens that one weight version produced, as
// reported by the stream of the engine that produced them.
type Segment struct {
	Version int64  `json:"version"`
	Tokens  int    `json:"tokens"`
	Engine  string `json:"engine"`
}

// StepRequest is the body of POST /v1/trainers/{trainer}/steps/{step}.
type StepRequest struct {
	Pool             string   `json:"pool"`
	Prompts          []string `json:"prompts"`
	SamplesPerPrompt int      `json:"samples_per_prompt"`
	MaxTokens        int      `json:"max_tokens"`
	// VersionBound is the largest allowed difference between the trainer's
	// version at hand-out and the oldest segment of a sample.
	VersionBound int64 `json:"version_bound"`
}

// SampleCount returns the number of samples that the step asks for.
func (r StepRequest) SampleCount() int { return len(r.Prompts) * r.SamplesPerPrompt }

// StepResponse is the answer to a StepRequest that was accepted.
type StepResponse struct {
	Trainer string `json:"trainer"`
	Step    int64  `json:"step"`
	Samples int    `json:"samples"`
	Epoch   int64  `json:"epoch"`
	Owner   string `json:"owner"`
}

// Sample is one finished rollout.
type Sample struct {
	Trainer string `json:"trainer"`
	Step    int64  `json:"step"`
	// Index is in [0, SampleCount) and belongs to prompt Index/SamplesPerPrompt.
	Index   int `json:"index"`
	Attempt int `json:"attempt"`
	// RequestID is the id under which the engines ran the attempt.
	RequestID string    `json:"request_id"`
	Text      string    `json:"text"`
	Tokens    int       `json:"tokens"`
	Segments  []Segment `json:"segments"`
	Score     float64   `json:"score"`
}

// OldestVersion returns the lowest version among the segments, and false where
// the sample has none.
func (s Sample) OldestVersion() (int64, bool) {
	if len(s.Segments) == 0 {
		return 0, false
	}
	oldest := s.Segments[0].Version
	for _, segment := range s.Segments[1:] {
		oldest = min(oldest, segment.Version)
	}
	return oldest, true
}

// PullResponse is the answer to GET /v1/trainers/{trainer}/steps/{step}/samples
// with query parameters cursor, version, limit and wait_ms. Pulling the same
// cursor again returns the same samples, save those that became too old.
type PullResponse struct {
	Samples []Sample `json:"samples"`
	// NextCursor is the cursor for the next pull, and for the acknowledgement
	// once the samples of this response are safe with the trainer.
	NextCursor int64 `json:"next_cursor"`
	// Done says that no sample follows NextCursor.
	Done bool `json:"done"`
	// Epoch is the owner's fence. A trainer ignores a response whose epoch is
	// lower than one it has seen for the step.
	Epoch int64 `json:"epoch"`
}

// AckRequest is the body of POST /v1/trainers/{trainer}/steps/{step}/ack.
type AckRequest struct {
	Cursor int64 `json:"cursor"`
}

// AckResponse is the answer to an AckRequest.
type AckResponse struct {
	Cursor int64 `json:"cursor"`
	Done   bool  `json:"done"`
}

// VersionRequest is the body of POST /v1/trainers/{trainer}/versions: a new
// weight version of the pool's model is in the weight store.
type VersionRequest struct {
	Pool    string `json:"pool"`
	Version int64  `json:"version"`
}

// VersionResponse is the answer to a VersionRequest.
type VersionResponse struct {
	Pool    string `json:"pool"`
	Version int64  `json:"version"`
	// Revision is the configuration revision that carries the version.
	Revision int64 `json:"revision"`
}

// Milliseconds converts a wire duration.
func Milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

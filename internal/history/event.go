// Package history records what callers, trainers, operators, nodes and the
// stand-ins saw, as JSON lines, and judges such a record against the promises
// of the product.
//
// The truth about what ran comes only from back ends (the emulator's engines
// and applications); what was received comes only from callers and trainers.
// The checker compares the two and never trusts a node's own account.
package history

import "github.com/sliplift/sliplift/internal/api"

// Kind names what an Event tells.
type Kind string

const (
	// KindRequestSent is written by a caller before it sends a live request;
	// a retry with the same idempotency key is a new event with a new RequestID.
	KindRequestSent Kind = "request_sent"
	// KindRequestAnswered is written by a caller when it has the final answer,
	// or OutcomeUnknown where the connection broke.
	KindRequestAnswered Kind = "request_answered"
	// KindStreamStarted is written by an engine when a stream begins to run.
	KindStreamStarted Kind = "stream_started"
	// KindStreamEnded is written by an engine when a stream ends, with the
	// segments it truly produced.
	KindStreamEnded Kind = "stream_ended"
	// KindInvoked is written by an application instance when a request has
	// taken effect.
	KindInvoked Kind = "invoked"
	// KindInvokeStarted is written by an application instance when a request has
	// reached it, before it waits or runs. Promises about new work on a back end
	// are judged by it, because KindInvoked comes only with the effect.
	KindInvokeStarted Kind = "invoke_started"
	// KindStepPosted is written by a trainer when a step was accepted.
	KindStepPosted Kind = "step_posted"
	// KindSampleDelivered is written by a trainer when it takes a sample into
	// its batch, once it has decided to move its cursor past it.
	KindSampleDelivered Kind = "sample_delivered"
	// KindStepDone is written by a trainer when a step's samples are all there.
	KindStepDone Kind = "step_done"
	// KindDrainAccepted is written when a drain of Backend was accepted; no
	// stream may start there later than LimitMS after it.
	KindDrainAccepted Kind = "drain_accepted"
	// KindResumeAccepted ends a drain of Backend.
	KindResumeAccepted Kind = "resume_accepted"
	// KindStopBegan is written by a node that begins a planned stop.
	KindStopBegan Kind = "stop_began"
	// KindStopEnded is written by a node that ends a planned stop; Cut counts
	// the requests that were in flight and got no final answer.
	KindStopEnded Kind = "stop_ended"
	// KindConfigAccepted is written by an operator whose change was accepted
	// with Revision; it must be applied by every node within LimitMS.
	KindConfigAccepted Kind = "config_accepted"
	// KindConfigApplied is written by a node that applied Revision.
	KindConfigApplied Kind = "config_applied"
	// KindNodeStarted is written by a node that starts a new incarnation.
	KindNodeStarted Kind = "node_started"
	// KindNodeReady is written by a node that begins to serve. What it has
	// applied then must not be lower than what it had applied before a restart.
	KindNodeReady Kind = "node_ready"
	// KindNodeUnreachable is written by whoever freezes a node or cuts it off, so
	// that the checker does not ask it to hear of revisions until
	// KindNodeReachable; from then on it has LimitMS again.
	KindNodeUnreachable Kind = "node_unreachable"
	// KindNodeReachable ends KindNodeUnreachable.
	KindNodeReachable Kind = "node_reachable"
	// KindNodeEnded is written by whoever stopped or killed a node, so that the
	// checker does not wait for it to apply later revisions.
	KindNodeEnded Kind = "node_ended"
)

// Event is one line of a history. Fields that do not apply to a Kind are empty.
type Event struct {
	// AtMicros is the writer's clock in Unix microseconds. Histories are judged
	// on one machine's clock.
	AtMicros int64 `json:"at_us"`
	Kind     Kind  `json:"kind"`
	// Process names the writer: a caller, trainer, node, engine or application.
	Process   string `json:"process"`
	RequestID string `json:"request_id,omitempty"`
	Attempt   int    `json:"attempt,omitempty"`
	// Key is the idempotency key.
	Key        string `json:"key,omitempty"`
	Repeatable bool   `json:"repeatable,omitempty"`
	Pool       string `json:"pool,omitempty"`
	// Node is the node that a caller sent its request to.
	Node     string        `json:"node,omitempty"`
	Backend  string        `json:"backend,omitempty"`
	Outcome  api.Outcome   `json:"outcome,omitempty"`
	Segments []api.Segment `json:"segments,omitempty"`
	// Checksum is xxhash64 (hex) of the text that was generated or received;
	// PromptChecksum that of the prompt or body that was sent or run.
	Checksum       string           `json:"checksum,omitempty"`
	PromptChecksum string           `json:"prompt_checksum,omitempty"`
	FinishReason   api.FinishReason `json:"finish_reason,omitempty"`
	// ResumedTokens counts the tokens of the text that a stream was resumed
	// from, and ResumedChecksum is that of this text. WholeChecksum covers this
	// text and what the stream generated; it may be left out where nothing was
	// resumed. Segments and Checksum leave out what was resumed from.
	ResumedTokens   int    `json:"resumed_tokens,omitempty"`
	ResumedChecksum string `json:"resumed_checksum,omitempty"`
	WholeChecksum   string `json:"whole_checksum,omitempty"`
	Trainer         string `json:"trainer,omitempty"`
	Step            int64  `json:"step,omitempty"`
	Index           int    `json:"index,omitempty"`
	// Count is the number of samples of a posted step.
	Count int `json:"count,omitempty"`
	// TrainerVersion and VersionBound belong to a delivered sample.
	TrainerVersion int64 `json:"trainer_version,omitempty"`
	VersionBound   int64 `json:"version_bound,omitempty"`
	Revision       int64 `json:"revision,omitempty"`
	LimitMS        int64 `json:"limit_ms,omitempty"`
	// Cut counts requests without a final answer. A caller whose connection
	// broke before an answer writes OutcomeUnknown with a Cut of 1.
	Cut int `json:"cut,omitempty"`
}

// Sink takes events. Implementations are safe for concurrent use and set
// AtMicros where it is zero.
type Sink interface {
	Record(Event)
}

// Discard is a Sink that drops everything.
type Discard struct{}

// Record implements Sink.
func (Discard) Record(Event) {}

package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// Key names a stream.
type Key struct {
	RequestID string
	Attempt   int
}

// Request asks a machine for a stream.
type Request struct {
	Key      Key
	Priority api.Priority
	Prompt   string
	// MaxTokens bounds the whole answer, resumed tokens included; zero means no
	// bound.
	MaxTokens int
	// Resumed is the number of tokens that earlier streams produced.
	Resumed int
	// Imported says that the KV cache of the prompt and of the resumed tokens
	// comes with the request and need not be computed.
	Imported bool
}

// Progress is what a stream has produced.
type Progress struct {
	PromptHash uint64
	// Start is the position of the first token in the answer.
	Start int
	// Tokens is the sum of the segments' tokens.
	Tokens   int
	Segments []Segment
}

// Text returns the text that the stream has produced.
func (p Progress) Text() string { return Text(p.PromptHash, p.Start, p.Segments) }

// After returns the progress without its first tokens.
func (p Progress) After(tokens int) Progress {
	rest := Progress{PromptHash: p.PromptHash, Start: p.Start + tokens, Tokens: p.Tokens - tokens}
	for _, segment := range p.Segments {
		skipped := min(tokens, segment.Tokens)
		tokens -= skipped
		if segment.Tokens > skipped {
			rest.Segments = append(rest.Segments, Segment{Version: segment.Version, Tokens: segment.Tokens - skipped})
		}
	}
	return rest
}

// EventKind says what an Event tells.
type EventKind string

const (
	// EventStarted tells that a stream takes part in a step for the first time.
	EventStarted EventKind = "started"
	// EventPreempted tells that a stream went back to the waiting queue.
	EventPreempted EventKind = "preempted"
	// EventEnded tells that a stream produced its last token.
	EventEnded EventKind = "ended"
	// EventLoaded tells that a weight version is in use.
	EventLoaded EventKind = "loaded"
	// EventLoadFailed tells that a swap failed; the old version stays in use.
	EventLoadFailed EventKind = "load_failed"
	// EventCached and EventEvicted tell of a block of the prefix cache.
	EventCached  EventKind = "cached"
	EventEvicted EventKind = "evicted"
)

// Event is something that happened inside a machine.
type Event struct {
	At   time.Duration
	Kind EventKind
	// Key is set where the event is about a stream.
	Key Key
	// Reason and Progress are set on EventEnded.
	Reason   api.FinishReason
	Progress Progress
	// Version is set on EventLoaded and EventLoadFailed, Failure on the latter.
	Version int64
	Failure string
	// Block is set on EventCached and EventEvicted.
	Block uint64
}

// Load is the state of a machine at one moment.
type Load struct {
	Running   int
	Waiting   int
	Capacity  int
	Version   int64
	Loading   int64
	CacheUsed int
	CacheSize int
}

// Totals are sums since a machine's start.
type Totals struct {
	// Tokens counts produced tokens.
	Tokens int64
	// PrefillTokens counts tokens that were computed before the first step of a
	// stream, CachedTokens those that the prefix cache or an import spared.
	PrefillTokens int64
	CachedTokens  int64
	Preemptions   int64
}

package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// Trace tells where a request ran and why there.
type Trace struct {
	RequestID  string       `json:"request_id"`
	Pool       string       `json:"pool"`
	Caller     string       `json:"caller,omitempty"`
	Priority   api.Priority `json:"priority"`
	Repeatable bool         `json:"repeatable"`
	// StartedMS and EndedMS are in Unix milliseconds by the node's clock;
	// EndedMS is zero while the request runs.
	StartedMS int64 `json:"started_unix_ms"`
	EndedMS   int64 `json:"ended_unix_ms,omitempty"`
	// Outcome and Code are empty while the request runs.
	Outcome  api.Outcome    `json:"outcome,omitempty"`
	Code     api.Code       `json:"code,omitempty"`
	Attempts []AttemptTrace `json:"attempts"`
}

// AttemptTrace tells of one attempt.
type AttemptTrace struct {
	Attempt     int                 `json:"attempt"`
	Backend     string              `json:"backend"`
	StartedMS   int64               `json:"started_unix_ms"`
	EndedMS     int64               `json:"ended_unix_ms,omitempty"`
	State       engine.State        `json:"state,omitempty"`
	Tokens      int                 `json:"tokens,omitempty"`
	Error       string              `json:"error,omitempty"`
	Explanation routing.Explanation `json:"explanation"`
}

// Trace returns what is known about a request that this node ran lately or is
// running, and false if there is nothing.
func (d *Dispatcher) Trace(requestID string) (Trace, bool) { return d.traces.find(requestID) }

// Running returns the traces of the requests in flight, the oldest first.
func (d *Dispatcher) Running() []Trace { return d.traces.unfinished() }

// traceRing remembers the latest requests. It is safe for concurrent use.
type traceRing struct {
	mu     sync.Mutex
	ring   []*Trace
	next   int
	byID   map[string]*Trace
	active map[*Trace]struct{}
}

func newTraceRing(size int) *traceRing {
	size = max(1, size)
	return &traceRing{ring: make([]*Trace, size), byID: make(map[string]*Trace, size), active: map[*Trace]struct{}{}}
}

func (r *traceRing) begin(request *Request, now time.Time) *Trace {
	trace := &Trace{
		RequestID:  request.RequestID,
		Pool:       request.Pool,
		Caller:     request.Caller,
		Priority:   request.Priority,
		Repeatable: request.Repeatable,
		StartedMS:  now.UnixMilli(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.ring[r.next]; old != nil && r.byID[old.RequestID] == old {
		delete(r.byID, old.RequestID)
	}
	r.ring[r.next] = trace
	r.next = (r.next + 1) % len(r.ring)
	r.byID[trace.RequestID] = trace
	r.active[trace] = struct{}{}
	return trace
}

func (r *traceRing) end(trace *Trace, result *Result, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	trace.EndedMS = now.UnixMilli()
	trace.Outcome = result.Outcome
	if result.Err != nil {
		trace.Code = result.Err.Code
	}
	delete(r.active, trace)
}

func (r *traceRing) attemptStarted(a *attempt, explanation *routing.Explanation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.e.trace.Attempts = append(a.e.trace.Attempts, AttemptTrace{
		Attempt:     a.number,
		Backend:     a.backend.Name,
		StartedMS:   a.started.UnixMilli(),
		Explanation: *explanation,
	})
}

func (r *traceRing) attemptEnded(a *attempt, result *engine.Result, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range a.e.trace.Attempts {
		entry := &a.e.trace.Attempts[i]
		if entry.Attempt != a.number {
			continue
		}
		entry.EndedMS = now.UnixMilli()
		entry.State = result.State
		entry.Tokens = result.Tokens
		if result.Err != nil {
			entry.Error = result.Err.Error()
		}
	}
}

func (r *traceRing) find(requestID string) (Trace, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	trace, ok := r.byID[requestID]
	if !ok {
		return Trace{}, false
	}
	return trace.clone(), true
}

func (r *traceRing) unfinished() []Trace {
	r.mu.Lock()
	defer r.mu.Unlock()
	traces := make([]Trace, 0, len(r.active))
	for trace := range r.active {
		traces = append(traces, trace.clone())
	}
	slices.SortFunc(traces, func(a, b Trace) int { return int(a.StartedMS - b.StartedMS) })
	return traces
}

func (t *Trace) clone() Trace {
	copied := *t
	copied.Attempts = slices.Clone(t.Attempts)
	return copied
}

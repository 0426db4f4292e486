package experiment

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
)

// request is a sample attempt or a live request on its way through its streams.
type request struct {
	id         string
	prompt     string
	prefix     uint64
	length     int
	priority   api.Priority
	minVersion int64
	live       bool
	// urgency returns the priority as of now; nil for one that stays.
	urgency func() api.Priority
	// expected is the expected length, for the order in the queue.
	expected float64
	sequence int

	resumed  int
	segments []api.Segment
	imported bool
	excluded []string
	router   *router
	// given says that a router has it.
	given   bool
	current *stream
	moving  bool
	// cancelled says that nobody wants the result.
	cancelled bool
	started   func(version int64)
	done      func()
}

func (q *request) runningSample(now time.Duration) rollout.RunningSample {
	s := q.current
	return rollout.RunningSample{
		ID: q.id, Engine: s.engine.name, Tokens: q.resumed + s.engine.produced(s), Since: now - s.sentAt, MinVersion: q.minVersion,
	}
}

// requestQueue is a heap of requests that wait for a slot.
type requestQueue []*request

func (q requestQueue) Len() int { return len(q) }
func (q requestQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.expected != b.expected {
		return a.expected > b.expected
	}
	return a.sequence < b.sequence
}
func (q requestQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *requestQueue) Push(value any) { *q = append(*q, value.(*request)) }

// Pop implements heap.Interface.
func (q *requestQueue) Pop() any {
	last := len(*q) - 1
	value := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return value
}

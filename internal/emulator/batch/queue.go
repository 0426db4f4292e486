package batch

import (
	"container/heap"
	"slices"

	"github.com/sliplift/sliplift/internal/api"
)

// stream is a request inside a machine.
type stream struct {
	request    Request
	promptHash uint64
	blocks     []uint64
	arrival    uint64
	remaining  int
	reason     api.FinishReason
	produced   int
	segments   []Segment
	started    bool
	running    bool
	imported   bool
	queueIndex int
}

// before orders streams by priority, then by arrival.
func (s *stream) before(other *stream) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority < other.request.Priority
	}
	return s.arrival < other.arrival
}

func (s *stream) produce(version int64, tokens int) {
	if tokens == 0 {
		return
	}
	s.produced += tokens
	s.remaining -= tokens
	last := len(s.segments) - 1
	if last >= 0 && s.segments[last].Version == version {
		s.segments[last].Tokens += tokens
		return
	}
	s.segments = append(s.segments, Segment{Version: version, Tokens: tokens})
}

func (s *stream) progress() Progress {
	return Progress{
		PromptHash: s.promptHash,
		Start:      s.request.Resumed,
		Tokens:     s.produced,
		Segments:   slices.Clone(s.segments),
	}
}

// waitingQueue is a heap of streams; the one that goes first is at index 0.
type waitingQueue []*stream

func (q waitingQueue) Len() int           { return len(q) }
func (q waitingQueue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q waitingQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *waitingQueue) Push(value any) {
	s := value.(*stream)
	s.queueIndex = len(*q)
	*q = append(*q, s)
}

// Pop implements heap.Interface.
func (q *waitingQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

func (q *waitingQueue) add(s *stream)    { heap.Push(q, s) }
func (q *waitingQueue) take() *stream    { return heap.Pop(q).(*stream) }
func (q *waitingQueue) remove(s *stream) { heap.Remove(q, s.queueIndex) }

package configspread

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/configlog"
)

const (
	regions = 3
	seeds   = 3
	// Heartbeats: each node exchanges digests with one random peer per second.
	heartbeatInterval = time.Second
	pollInterval      = configlog.DefaultPollInterval
	// askInterval is the time between two rounds of questions by the operator's node.
	askInterval   = 100 * time.Millisecond
	localLatency  = time.Millisecond
	remoteLatency = 10 * time.Millisecond
	tableLatency  = 5 * time.Millisecond

	warmUp      = 30 * time.Second
	healthyTime = 90 * time.Second
	cutTime     = 180 * time.Second
)

// simulation is a heap of events in virtual time.
type simulation struct {
	now    time.Duration
	rng    *rand.Rand
	nodes  int
	loss   float64
	events eventHeap
	count  int
	// messages counts the messages between nodes.
	messages int
	// linked tells whether a message gets from one node to another now.
	linked func(from, to int) bool
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newSimulation(nodes int, loss float64, seed uint64) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), nodes: nodes, loss: loss,
		linked: func(int, int) bool { return true },
	}
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now + delay, order: s.count, run: run})
}

func (s *simulation) runUntil(done func() bool) {
	for len(s.events) > 0 && !done() {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// every runs a task of each node at a random phase and then once per interval.
func (s *simulation) every(interval time.Duration, node int, task func(node int)) {
	var again func()
	again = func() {
		task(node)
		s.after(interval, again)
	}
	s.after(time.Duration(s.rng.Float64()*float64(interval)), again)
}

// send delivers a message, or loses it.
func (s *simulation) send(from, to int, receive func()) {
	s.messages++
	if s.rng.Float64() < s.loss || !s.linked(from, to) {
		return
	}
	latency := localLatency
	if region(from) != region(to) {
		latency = remoteLatency
	}
	s.after(time.Duration((0.5+s.rng.Float64())*float64(latency)), receive)
}

func (s *simulation) peerOf(node int) int {
	return (node + 1 + s.rng.IntN(s.nodes-1)) % s.nodes
}

func region(node int) int { return node % regions }

func isReader(node int) bool { return node < regions*configlog.DefaultReadersPerRegion }

func quantile(values []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

package configlog

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestSimulation gives the figures of docs/design/configuration.md: how long a
// change takes to be in force, and what a freshness rule stops.
func TestSimulation(t *testing.T) {
	datadriven.RunTest(t, "testdata/simulation", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "confirmation":
			fanout := DefaultPushFanout
			d.MaybeScanArgs(t, "fanout", &fanout)
			return tabulate(simLosses, func(nodes int, loss float64) string {
				return confirmationRow(nodes, loss, fanout, !d.HasArg("nobody-asks"))
			})
		case "freshness":
			return tabulate(simLosses, freshnessRow)
		case "cut":
			return tabulate(simLosses[1:2], func(nodes int, loss float64) string { return stoppedRow(nodes, loss, cutRegion) })
		case "table-down":
			return tabulate(simLosses[1:2], func(nodes int, loss float64) string { return stoppedRow(nodes, loss, cutTable) })
		}
		return "unknown command"
	})
}

const (
	simRegions = 3
	simSeeds   = 3
	// Heartbeats: each node exchanges digests with one random peer per second.
	simHeartbeat = time.Second
	simPoll      = DefaultPollInterval
	// simAsk is the time between two rounds of questions by the operator's node.
	simAsk       = 100 * time.Millisecond
	simLocal     = time.Millisecond
	simRemote    = 10 * time.Millisecond
	simTableTime = 5 * time.Millisecond

	simWarmUp  = 30 * time.Second
	simHealthy = 90 * time.Second
	simCut     = 180 * time.Second
)

var simLosses = []float64{0, 0.01, 0.1}

func tabulate(losses []float64, row func(nodes int, loss float64) string) string {
	var text strings.Builder
	for _, nodes := range []int{10, 30, 100, 330} {
		for _, loss := range losses {
			fmt.Fprintf(&text, "nodes=%-3d loss=%-4v %s\n", nodes, loss, row(nodes, loss))
		}
	}
	return text.String()
}

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
	latency := simLocal
	if region(from) != region(to) {
		latency = simRemote
	}
	s.after(time.Duration((0.5+s.rng.Float64())*float64(latency)), receive)
}

func (s *simulation) peerOf(node int) int {
	return (node + 1 + s.rng.IntN(s.nodes-1)) % s.nodes
}

func region(node int) int { return node % simRegions }

func isSimulatedReader(node int) bool { return node < simRegions*DefaultReadersPerRegion }

// spread is one change on its way.
type spread struct {
	*simulation
	fanout    int
	applied   []bool
	confirmed []bool
	missing   int
}

// confirmationTime returns how long after its acceptance at node 0 a change is
// known there to be in force everywhere, when the last node applied it, and the
// messages that were sent. If nobody asks, only the second is measured.
func confirmationTime(nodes int, loss float64, seed uint64, fanout int, ask bool) (confirmed, applied time.Duration, messages int) {
	s := &spread{
		simulation: newSimulation(nodes, loss, seed), fanout: fanout,
		applied: make([]bool, nodes), confirmed: make([]bool, nodes), missing: nodes,
	}
	left := nodes
	onApply := func() {
		if left--; left == 0 {
			applied = s.now
		}
	}
	for node := range nodes {
		s.every(simHeartbeat, node, func(node int) { s.exchange(node, onApply) })
		if isSimulatedReader(node) {
			s.every(simPoll, node, func(node int) { s.after(simTableTime, func() { s.apply(node, onApply) }) })
		}
	}
	s.apply(0, onApply)
	if ask {
		s.ask(onApply)
	}
	s.runUntil(func() bool { return s.missing == 0 || !ask && left == 0 })
	return s.now, applied, s.messages
}

// apply is the node's first sight of the change: it pushes once.
func (s *spread) apply(node int, onApply func()) {
	if s.applied[node] {
		return
	}
	s.applied[node] = true
	onApply()
	for range min(s.fanout, s.nodes-1) {
		to := s.peerOf(node)
		s.send(node, to, func() { s.apply(to, onApply) })
	}
}

// exchange compares revisions with one peer; the one behind pulls.
func (s *spread) exchange(node int, onApply func()) {
	to := s.peerOf(node)
	s.send(node, to, func() { s.compare(to, node, onApply) })
	s.send(to, node, func() { s.compare(node, to, onApply) })
}

func (s *spread) compare(node, peer int, onApply func()) {
	if s.applied[node] || !s.applied[peer] {
		return
	}
	s.send(node, peer, func() { s.send(peer, node, func() { s.apply(node, onApply) }) })
}

// ask puts the question to all members that have not confirmed. One that is
// behind pulls from the asker.
func (s *spread) ask(onApply func()) {
	for node := range s.nodes {
		if s.confirmed[node] {
			continue
		}
		s.send(0, node, func() {
			if s.applied[node] {
				s.send(node, 0, func() { s.confirm(node) })
			}
			s.compare(node, 0, onApply)
		})
	}
	s.after(simAsk, func() { s.ask(onApply) })
}

func (s *spread) confirm(node int) {
	if !s.confirmed[node] {
		s.confirmed[node] = true
		s.missing--
	}
}

func confirmationRow(nodes int, loss float64, fanout int, ask bool) string {
	const runs = 20
	var confirmed, applied []time.Duration
	messages := 0
	for seed := range uint64(runs) {
		c, a, m := confirmationTime(nodes, loss, seed, fanout, ask)
		confirmed, applied = append(confirmed, c), append(applied, a)
		messages += m
	}
	text := fmt.Sprintf("applied by all: median %4d ms, longest %4d ms; ", quantile(applied, 0.5).Milliseconds(), quantile(applied, 1).Milliseconds())
	if ask {
		text += fmt.Sprintf("confirmed: median %4d ms, longest %4d ms; ", quantile(confirmed, 0.5).Milliseconds(), quantile(confirmed, 1).Milliseconds())
	}
	return text + fmt.Sprintf("%d messages", messages/runs)
}

func quantile(values []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

// freshness is the spread of "as of this instant nothing is missing", which an
// activation rule needs all the time: readers read the instant from the table,
// and heartbeats carry it to random peers.
type freshness struct {
	*simulation
	asOf    []time.Duration
	tableUp func(node int) bool
	// ages is what each node's age was just before it heard something newer.
	ages []time.Duration
}

func newFreshness(nodes int, loss float64, seed uint64) *freshness {
	f := &freshness{simulation: newSimulation(nodes, loss, seed), asOf: make([]time.Duration, nodes)}
	f.tableUp = func(int) bool { return true }
	for node := range nodes {
		f.every(simHeartbeat, node, f.exchange)
		if isSimulatedReader(node) {
			f.every(simPoll, node, f.poll)
		}
	}
	return f
}

func (f *freshness) exchange(node int) {
	to := f.peerOf(node)
	own, other := f.asOf[node], f.asOf[to]
	f.send(node, to, func() { f.hear(to, own) })
	f.send(to, node, func() { f.hear(node, other) })
}

func (f *freshness) poll(node int) {
	asked := f.now
	if f.tableUp(node) {
		f.after(simTableTime, func() { f.hear(node, asked) })
	}
}

func (f *freshness) hear(node int, asOf time.Duration) {
	if asOf <= f.asOf[node] {
		return
	}
	if f.now > simWarmUp {
		f.ages = append(f.ages, f.now-f.asOf[node])
	}
	f.asOf[node] = asOf
}

type delayKey struct {
	nodes int
	loss  float64
}

// delays keeps the results of smallestDelay.
var delays sync.Map

// smallestDelay returns the delay duration that no node exceeded in healthy
// runs: less would stop nodes though nothing is broken.
func smallestDelay(nodes int, loss float64) time.Duration {
	if known, ok := delays.Load(delayKey{nodes, loss}); ok {
		return known.(time.Duration)
	}
	longest := time.Duration(0)
	for seed := range uint64(simSeeds) {
		f := newFreshness(nodes, loss, seed)
		f.runUntil(func() bool { return f.now > simHealthy })
		longest = max(longest, slices.Max(f.ages))
	}
	delays.Store(delayKey{nodes, loss}, longest)
	return longest
}

func freshnessRow(nodes int, loss float64) string {
	return fmt.Sprintf("smallest delay without stops: %5d ms", smallestDelay(nodes, loss).Milliseconds())
}

// cutRegion cuts one region off from the others and the table; cutTable makes
// the table unreachable for all.
func cutRegion(f *freshness) {
	f.linked = func(from, to int) bool { return !f.inCut() || (region(from) == 0) == (region(to) == 0) }
	f.tableUp = func(node int) bool { return !f.inCut() || region(node) != 0 }
}

func cutTable(f *freshness) { f.tableUp = func(int) bool { return !f.inCut() } }

func (f *freshness) inCut() bool { return f.now >= simWarmUp && f.now < simWarmUp+simCut }

// stoppedRow counts the time that nodes are stopped by the rule during a fault
// of simCut, with the smallest delay that healthy runs allow.
func stoppedRow(nodes int, loss float64, fault func(*freshness)) string {
	delay := smallestDelay(nodes, loss)
	f := newFreshness(nodes, loss, simSeeds)
	fault(f)
	stopped := time.Duration(0)
	const step = 100 * time.Millisecond
	var sample func()
	sample = func() {
		for _, asOf := range f.asOf {
			if f.now > simWarmUp && f.now-asOf > delay {
				stopped += step
			}
		}
		f.after(step, sample)
	}
	f.after(0, sample)
	f.runUntil(func() bool { return f.now > simWarmUp+simCut+simWarmUp })
	total := float64(nodes) * simCut.Seconds()
	return fmt.Sprintf("stopped: %6.0f node-seconds of %6.0f (%.0f%%)", stopped.Seconds(), total, 100*stopped.Seconds()/total)
}

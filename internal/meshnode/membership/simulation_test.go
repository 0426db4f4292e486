package membership

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	latencyWithinRegion = 500 * time.Microsecond
	latencyAcross       = 3 * time.Millisecond
)

// simulation runs Machines in virtual time: one event after the other, with a
// seeded source of randomness, so that a run can be repeated exactly.
type simulation struct {
	now    time.Time
	random *rand.Rand
	events eventHeap
	order  int
	nodes  map[string]*simulatedNode
	// loss is the share of messages that get lost.
	loss float64
	// cuts holds pairs of node or region names whose link is cut.
	cuts map[[2]string]bool
	// onChange, if set, is told of each change in a node's view.
	onChange func(observer string, change Change)
	// counting turns on the counting of messages and their encoded bytes.
	counting        bool
	messages, bytes int
}

type simulatedNode struct {
	identity Identity
	machine  *Machine
	down     bool
	frozen   bool
	// backlog holds what came in while the node was frozen.
	backlog []event
}

type event struct {
	at      time.Time
	order   int
	to      string
	from    string
	process int64
	payload Payload // nil for a tick
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		now:    time.Unix(1_700_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 0)),
		nodes:  map[string]*simulatedNode{},
		cuts:   map[[2]string]bool{},
	}
}

// cluster starts nodes n0, n1, ... spread over regions r0, r1, ... with three
// zones each.
func cluster(seed uint64, nodes, regions int) *simulation {
	s := newSimulation(seed)
	for i := range nodes {
		region := fmt.Sprintf("r%d", i%regions)
		zone := fmt.Sprintf("%sz%d", region, i/regions%3)
		s.start(Identity{Name: fmt.Sprintf("n%d", i), Incarnation: 1, PeerAddress: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), CallerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), OperatorAddress: fmt.Sprintf("10.0.%d.%d:7200", i/250, i%250), Zone: zone, Region: region})
	}
	return s
}

// joined is a cluster whose nodes have found each other.
func joined(seed uint64, nodes, regions int) *simulation {
	s := cluster(seed, nodes, regions)
	for _, name := range s.names() {
		machine := s.nodes[name].machine
		for _, other := range s.names() {
			identity := s.nodes[other].identity
			machine.apply(s.now, name, Update{Name: other, Incarnation: 1, State: StateAlive, Identity: &identity})
		}
		machine.news = newNewsQueue()
	}
	s.run(2 * time.Second)
	return s
}

func (s *simulation) names() []string { return slices.Sorted(maps.Keys(s.nodes)) }

func (s *simulation) start(identity Identity) {
	random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
	machine := NewMachine(DefaultConfig(), identity, random, s.now)
	for i := range 3 {
		machine.AddSeeds(Seed{fmt.Sprintf("n%d", i), "seed"})
	}
	s.nodes[identity.Name] = &simulatedNode{identity: identity, machine: machine}
	s.schedule(event{at: s.now.Add(time.Duration(s.random.Int64N(int64(tickInterval)))), to: identity.Name, process: identity.Incarnation})
}

func (s *simulation) restart(name string) {
	identity := s.nodes[name].identity
	identity.Incarnation++
	s.start(identity)
}

func (s *simulation) schedule(e event) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

// run lets virtual time pass.
func (s *simulation) run(span time.Duration) {
	end := s.now.Add(span)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		s.handle(e)
	}
	s.now = end
}

func (s *simulation) handle(e event) {
	node := s.nodes[e.to]
	if node.down || node.identity.Incarnation != e.process {
		return
	}
	if node.frozen {
		node.backlog = append(node.backlog, e)
		return
	}
	if e.payload == nil {
		s.send(node, node.machine.Tick(s.now))
		s.schedule(event{at: s.now.Add(tickInterval), to: e.to, process: e.process})
	} else {
		out, _ := node.machine.Receive(s.now, e.from, e.payload)
		s.send(node, out)
	}
	s.observe(node)
}

func (s *simulation) thaw(name string) {
	node := s.nodes[name]
	node.frozen = false
	for _, e := range node.backlog {
		e.at = s.now
		s.schedule(e)
	}
	node.backlog = nil
}

func (s *simulation) send(from *simulatedNode, envelopes []Envelope) {
	for _, envelope := range envelopes {
		if s.counting {
			s.count(envelope)
		}
		to := s.nodes[envelope.To]
		if to == nil || s.isCut(from.identity, to.identity) || s.random.Float64() < s.loss {
			continue
		}
		latency := latencyWithinRegion
		if from.identity.Region != to.identity.Region {
			latency = latencyAcross
		}
		s.schedule(event{at: s.now.Add(latency), to: envelope.To, from: from.identity.Name, process: to.identity.Incarnation, payload: envelope.Payload})
	}
}

func (s *simulation) count(envelope Envelope) {
	const frame = len(`{"kind":"","body":}` + "\n")
	body, _ := json.Marshal(envelope.Payload)
	s.messages++
	s.bytes += frame + len(envelope.Payload.Kind()) + len(body)
}

// cost words what was counted.
func (s *simulation) cost(span time.Duration) string {
	share := 1 / (float64(len(s.nodes)) * span.Seconds())
	return fmt.Sprintf("%.2f messages and %.0f bytes sent per node and second", float64(s.messages)*share, float64(s.bytes)*share)
}

func (s *simulation) isCut(a, b Identity) bool {
	for _, pair := range [][2]string{{a.Name, b.Name}, {b.Name, a.Name}, {a.Region, b.Region}, {b.Region, a.Region}} {
		if s.cuts[pair] {
			return true
		}
	}
	return false
}

func (s *simulation) observe(node *simulatedNode) {
	for _, change := range node.machine.TakeChanges() {
		if s.onChange != nil {
			s.onChange(node.identity.Name, change)
		}
	}
}

// up returns the nodes that run and are not frozen.
func (s *simulation) up() []*simulatedNode {
	var up []*simulatedNode
	for _, name := range s.names() {
		if node := s.nodes[name]; !node.down && !node.frozen {
			up = append(up, node)
		}
	}
	return up
}

// converged tells whether every running node sees exactly those running as
// alive.
func (s *simulation) converged() bool {
	up := s.up()
	for _, node := range up {
		if node.alive() != len(up) {
			return false
		}
	}
	return true
}

// alive counts the members that the node sees alive, itself included.
func (n *simulatedNode) alive() int {
	alive := 0
	for _, e := range n.machine.members {
		if e.state == StateAlive && !n.machine.regionUnreached(e.Region) {
			alive++
		}
	}
	return alive
}

// until runs until the condition holds and returns how long that took.
func (s *simulation) until(limit time.Duration, condition func() bool) (time.Duration, bool) {
	const step = 100 * time.Millisecond
	for elapsed := time.Duration(0); elapsed <= limit; elapsed += step {
		if condition() {
			return elapsed, true
		}
		s.run(step)
	}
	return limit, false
}

// seenBy counts the running nodes that see the member in that state.
func (s *simulation) seenBy(name string, state State) int {
	count := 0
	for _, node := range s.up() {
		if member, known := node.machine.Member(name); known && member.State == state && node.identity.Name != name {
			count++
		}
	}
	return count
}

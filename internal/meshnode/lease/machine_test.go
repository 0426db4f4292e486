package lease

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/sliplift/sliplift/internal/steptest"
)

// machineWorld is one shard's row and the machines of several nodes, in virtual
// time.
type machineWorld struct {
	now      time.Time
	row      Row
	revision int64
	machines map[string]*Machine
	ranks    map[string]int
	writes   map[string][]Write
	nonce    int
}

// TestMachine plays one shard's lease, with duration 6s, margin 600ms and
// stagger 1.5s.
func TestMachine(t *testing.T) {
	datadriven.Walk(t, "testdata/machine", func(t *testing.T, path string) {
		world := &machineWorld{
			now: time.Unix(0, 0), machines: map[string]*Machine{}, ranks: map[string]int{}, writes: map[string][]Write{},
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return steptest.Run(t, d, world.run) })
	})
}

// run takes a step of each node that is named; names have one letter. Nodes that
// start are ranked in the order of their names in the step.
func (w *machineWorld) run(t *testing.T, d *datadriven.TestData) string {
	if d.Cmd == "wait" {
		duration, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		w.now = w.now.Add(duration)
		return ""
	}
	var printed []string
	for rank, argument := range d.CmdArgs {
		if len(argument.Key) == 1 {
			printed = append(printed, w.act(t, d, argument.Key, rank))
		}
	}
	return strings.TrimLeft(strings.Join(printed, ", ")+"\n", ", \n")
}

func (w *machineWorld) act(t *testing.T, d *datadriven.TestData, node string, rank int) string {
	var successor string
	d.MaybeScanArgs(t, "to", &successor)
	machine := w.machines[node]
	switch d.Cmd {
	case "start":
		w.machines[node] = NewMachine("shard", node, NewTiming(6*time.Second), Faults{})
		w.ranks[node] = rank
		return ""
	case "read":
		machine.Observe(w.now, w.row)
		return w.describe(node)
	case "write": // decide, and send the write unless nothing is due
		want := Want{Rank: w.ranks[node], Release: d.HasArg("release"), Successor: successor}
		action, due := machine.Decide(w.now, want)
		if !due {
			return "nothing due"
		}
		w.nonce++
		write := machine.Begin(w.now, action, want, strconv.Itoa(w.nonce))
		if d.HasArg("sent-only") {
			w.writes[node] = append(w.writes[node], write)
			return string(action) + " sent; " + w.describe(node)
		}
		return string(action) + " " + w.arrive(machine, write, d.HasArg("answer-lost")) + "; " + w.describe(node)
	case "no-answer": // the node gives up waiting for its answers
		machine.Unsettled()
		return w.describe(node)
	case "arrive": // the node's oldest write reaches the table now, unknown to it
		write := w.writes[node][0]
		w.writes[node] = w.writes[node][1:]
		if !w.put(write) {
			return "refused"
		}
		return "done"
	case "held":
		return w.describe(node)
	}
	return "unknown command"
}

func (w *machineWorld) arrive(machine *Machine, write Write, answerLost bool) string {
	if !w.put(write) {
		machine.Unsettled()
		return "refused"
	}
	if answerLost {
		machine.Unsettled()
		return "done, answer lost"
	}
	machine.Committed(w.now, write, w.revision)
	return "done"
}

func (w *machineWorld) put(write Write) bool {
	if write.Condition != w.row.Revision {
		return false
	}
	w.revision++
	w.row = Row{Record: write.Record, Revision: w.revision}
	return true
}

func (w *machineWorld) describe(node string) string {
	epoch, ok := w.machines[node].Held(w.now)
	if !ok {
		return node + " does not act"
	}
	return fmt.Sprintf("%s acts with epoch %d", node, epoch)
}

// TestNeverTwoHolders lets nodes with clocks that differ in rate read, write
// and pause at random, with writes that arrive late and answers that get lost.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runHolders(t, Faults{}) })
}

// TestHoldersWithFaults shows that the check above fails without the
// mechanisms.
func TestHoldersWithFaults(t *testing.T) {
	for name, faults := range map[string]Faults{
		"holder ignores its clock": {IgnoreClock: true},
		"take over at once":        {TakeOverAtOnce: true},
		"no condition":             {NoCondition: true},
	} {
		t.Run(name, func(t *testing.T) {
			if !failsSomewhere(func(t *rapid.T) { runHolders(t, faults) }) {
				t.Fatal("no run had two holders")
			}
		})
	}
}

const exampleRuns = 2000

// failsSomewhere tells whether the property fails for some of many seeds.
func failsSomewhere(property func(*rapid.T)) bool {
	simulation := rapid.Custom(func(t *rapid.T) (failed bool) {
		defer func() {
			if found, ok := recover().(twoHolders); ok {
				failed = true
				t.Logf("%s", string(found))
			}
		}()
		property(t)
		return false
	})
	for seed := range exampleRuns {
		if simulation.Example(seed) {
			return true
		}
	}
	return false
}

// twoHolders is the panic of a simulation that broke its invariant.
type twoHolders string

type simulatedNode struct {
	machine *Machine
	// rate is the speed of the node's clock in percent.
	rate   int
	paused int
}

type flyingWrite struct {
	node    int
	write   Write
	arrives int
	// answered is when the answer comes back; negative if it is lost.
	answered int
}

const (
	simulationNodes = 3
	simulationSteps = 250
	stepTime        = 100 * time.Millisecond
)

type simulation struct {
	t        *rapid.T
	faults   Faults
	step     int
	row      Row
	revision int64
	nodes    []*simulatedNode
	flying   []flyingWrite
	epoch    int64
}

func runHolders(t *rapid.T, faults Faults) {
	s := &simulation{t: t, faults: faults}
	for i := range simulationNodes {
		s.nodes = append(s.nodes, &simulatedNode{
			machine: NewMachine("shard", strconv.Itoa(i), NewTiming(2*time.Second), faults),
			rate:    rapid.IntRange(90, 110).Draw(t, "rate"),
		})
	}
	for s.step = range simulationSteps {
		s.deliver()
		for i, node := range s.nodes {
			if node.paused > 0 {
				node.paused--
				continue
			}
			s.act(i, node)
		}
		s.check()
	}
}

func (s *simulation) clock(node *simulatedNode) time.Time {
	return time.Unix(0, 0).Add(time.Duration(s.step) * stepTime * time.Duration(node.rate) / 100)
}

func (s *simulation) act(i int, node *simulatedNode) {
	now := s.clock(node)
	switch choice := rapid.IntRange(0, 19).Draw(s.t, "choice"); {
	case choice == 0:
		node.paused = rapid.IntRange(1, 40).Draw(s.t, "pause")
	case choice < 8 || node.machine.NeedsRead():
		node.machine.Observe(now, s.row)
	case choice < 17:
		want := Want{Rank: (i + s.step/80) % simulationNodes, Release: choice == 16, Successor: "1"}
		action, due := node.machine.Decide(now, want)
		if !due {
			return
		}
		write := node.machine.Begin(now, action, want, fmt.Sprintf("%d/%d", i, s.step))
		flight := flyingWrite{node: i, write: write, arrives: s.step + rapid.IntRange(0, 3).Draw(s.t, "late"), answered: -1}
		if rapid.IntRange(0, 9).Draw(s.t, "lost") == 0 {
			flight.arrives += 20 // it may land long after the sender gave up
			node.machine.Unsettled()
		} else {
			flight.answered = flight.arrives
		}
		s.flying = append(s.flying, flight)
	}
}

// deliver lets writes that are due reach the table.
func (s *simulation) deliver() {
	var rest []flyingWrite
	for _, flight := range s.flying {
		if flight.arrives > s.step {
			rest = append(rest, flight)
			continue
		}
		node := s.nodes[flight.node]
		done := flight.write.Condition == s.row.Revision || s.faults.NoCondition
		if done {
			s.revision++
			s.row = Row{Record: flight.write.Record, Revision: s.revision}
		}
		switch {
		case flight.answered < 0:
		case done:
			node.machine.Committed(s.clock(node), flight.write, s.revision)
		default:
			node.machine.Unsettled()
		}
	}
	s.flying = rest
}

// check panics if two nodes act, or one acts with an epoch below that of an
// earlier holder. A paused node does not act: it checks again when it wakes.
func (s *simulation) check() {
	holders := 0
	for _, node := range s.nodes {
		epoch, ok := node.machine.Held(s.clock(node))
		if !ok || node.paused > 0 {
			continue
		}
		holders++
		if epoch < s.epoch {
			panic(twoHolders(fmt.Sprintf("step %d: epoch %d after %d", s.step, epoch, s.epoch)))
		}
		s.epoch = epoch
	}
	if holders > 1 {
		panic(twoHolders(fmt.Sprintf("step %d: %d holders", s.step, holders)))
	}
}

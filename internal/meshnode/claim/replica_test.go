package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/steptest"
)

// scenario is three replicas r1 to r3 and any number of rounds, moved by hand.
type scenario struct {
	now      time.Time
	config   ReplicaConfig
	replicas map[string]*Replica
	rounds   map[string]*Round
}

var scenarioMembers = []Member{{Name: "r1", Zone: "a"}, {Name: "r2", Zone: "b"}, {Name: "r3", Zone: "c"}}

func newScenario() *scenario {
	s := &scenario{
		now:      time.Unix(0, 0),
		config:   ReplicaConfig{Retention: 11 * time.Second, MaxEntries: 4, MaxAnswerBytes: 8},
		replicas: make(map[string]*Replica),
		rounds:   make(map[string]*Round),
	}
	for _, member := range scenarioMembers {
		s.replicas[member.Name] = NewReplica(s.config, s.now)
		s.replicas[member.Name].Registered(true)
	}
	return s
}

// TestScenarios plays testdata/scenarios. Every block begins anew. A step is a
// verb, whom it is about, and the replicas concerned, one after the other.
func TestScenarios(t *testing.T) {
	datadriven.RunTest(t, "testdata/scenarios", func(t *testing.T, d *datadriven.TestData) string {
		return steptest.Run(t, d, newScenario().step)
	})
}

func (s *scenario) step(t *testing.T, d *datadriven.TestData) string {
	subject, replicas := d.CmdArgs[0], d.CmdArgs[1:]
	if len(replicas) == 0 {
		return strings.TrimLeft(s.act(t, d.Cmd, subject, "")+"\n", "\n")
	}
	var printed []string
	for _, replica := range replicas {
		printed = append(printed, s.act(t, d.Cmd, subject, replica.Key))
	}
	return strings.TrimLeft(strings.Join(printed, "; ")+"\n", "; \n")
}

func (s *scenario) act(t *testing.T, verb string, subject datadriven.CmdArg, replica string) string {
	name := subject.Key
	switch verb {
	case "wait":
		duration, err := time.ParseDuration(name)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(duration)
	case "restart":
		s.replicas[name] = NewReplica(s.config, s.now)
		s.replicas[name].Registered(false)
	case "restart-unregistered":
		s.replicas[name] = NewReplica(s.config, s.now)
	case "revision":
		s.replicas[name].SetRevision(2)
	case "open":
		s.rounds[name] = NewRound(Token{Claimant: name}, [][]Member{scenarioMembers}, s.now.Add(time.Second))
	case "claim":
		return s.claim(name, replica, "key")
	case "claim-other-key":
		return s.claim(name, replica, "key of "+name)
	case "lose":
		s.rounds[name].Fail(replica)
		return s.decision(name)
	case "decide":
		return s.decision(name)
	case "release":
		s.replicas[replica].Release(Release{Key: "key", Token: Token{Claimant: name}}, s.now)
	case "complete": // claimant=answer
		record := Record{Outcome: api.OutcomeCompleted, Answer: &api.LiveResponse{Text: subject.Vals[0]}}
		s.replicas[replica].Complete(Complete{Key: "key", Token: Token{Claimant: name}, Record: record}, s.now)
	default:
		t.Fatalf("unknown verb %q", verb)
	}
	return ""
}

// claim carries a claim to a replica and its vote back.
func (s *scenario) claim(claimant, replica, key string) string {
	vote := s.replicas[replica].Claim(Request{Key: key, Token: Token{Claimant: claimant}, Revision: 1}, s.now)
	text := string(vote.Kind)
	if vote.Kind == VoteHeld {
		text += " by " + vote.Holder.Claimant
	}
	if vote.Record != nil {
		text += " " + string(vote.Record.Outcome)
	}
	if vote.Record != nil && vote.Record.Answer != nil {
		text += " " + vote.Record.Answer.Text
	}
	if s.rounds[claimant] == nil {
		return text
	}
	s.rounds[claimant].Vote(replica, vote)
	return text + ", " + s.decision(claimant)
}

func (s *scenario) decision(claimant string) string {
	names := map[Decision]string{DecisionPending: "pending", DecisionWon: "WON", DecisionHeld: "held", DecisionLost: "lost"}
	return names[s.rounds[claimant].Decide(s.now)]
}

func TestGroupForSpreadsOverZonesAndMovesLittle(t *testing.T) {
	var members []Member
	for i := range 12 {
		members = append(members, Member{Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	moved := 0
	const keys = 600
	for i := range keys {
		key := fmt.Sprint("key", i)
		group := GroupFor(key, members, 3)
		if len(group) != 3 || group[0].Zone == group[1].Zone || group[1].Zone == group[2].Zone || group[0].Zone == group[2].Zone {
			t.Fatalf("group %v", group)
		}
		if !sameNames(group, GroupFor(key, members[:11], 3)) {
			moved++
		}
	}
	// The member that left was one of 4 in its zone.
	if moved < keys/8 || moved > keys/2 {
		t.Fatalf("%d of %d groups moved with one member", moved, keys)
	}
	for count, want := range []int{0, 1, 1, 3, 3, 5, 5} {
		if got := len(GroupFor("key", members[:count], 5)); got != want {
			t.Errorf("%d members: group of %d, want %d", count, got, want)
		}
	}
}

func TestViewsKeepFormerGroupsForTheWindow(t *testing.T) {
	list := func(names ...string) (members []Member) {
		for _, name := range names {
			members = append(members, Member{Name: name, Zone: name})
		}
		return members
	}
	start := time.Unix(0, 0)
	views := NewViews(ViewsConfig{GroupSize: 3, Window: 10 * time.Second, MaxAge: time.Second})
	if views.Fresh(start) {
		t.Fatal("a node that knows no list may claim")
	}
	views.Observe(View{Revision: 1, Members: list("a", "b", "c"), Previous: [][]Member{list("z")}, ConfirmedAt: start}, start)
	if got := len(views.Groups("key")); got != 2 {
		t.Fatalf("%d groups at the start", got)
	}
	changed := start.Add(9 * time.Second)
	views.Observe(View{Revision: 2, Members: list("d", "e", "f"), ConfirmedAt: changed}, changed)
	views.Observe(View{Revision: 1, Members: list("a", "b", "c"), ConfirmedAt: changed}, changed)
	if got := len(views.Groups("key")); got != 3 || views.Revision() != 2 {
		t.Fatalf("%d groups after the change", got)
	}
	if !views.Fresh(changed) || views.Fresh(changed.Add(2*time.Second)) {
		t.Fatal("the age of the view is not watched")
	}
	later := start.Add(19 * time.Second)
	views.Observe(View{Revision: 2, Members: list("d", "e", "f"), ConfirmedAt: later}, later)
	if got := len(views.Groups("key")); got != 1 {
		t.Fatalf("%d groups after the window", got)
	}
}

// TestNamedFormerListOutlivesItsWindow covers a region that was cut off before
// it learned of a change: the list it acts on stays in the view until whoever
// keeps the view knows that nobody acts on it.
func TestNamedFormerListOutlivesItsWindow(t *testing.T) {
	start := time.Unix(0, 0)
	views := NewViews(ViewsConfig{GroupSize: 1, Window: time.Minute})
	view := View{Revision: 2, Members: []Member{{Name: "b"}}, Previous: [][]Member{{{Name: "a"}}}}
	views.Observe(view, start)
	late := start.Add(time.Hour)
	views.Observe(view, late)
	if got := len(views.Groups("key")); got != 2 {
		t.Errorf("%d groups while the view names the former list, want 2", got)
	}
	view.Revision, view.Previous = 3, nil
	views.Observe(view, late)
	views.Observe(view, late.Add(time.Minute))
	if got := len(views.Groups("key")); got != 1 {
		t.Errorf("%d groups after the list was dropped and the window passed, want 1", got)
	}
}

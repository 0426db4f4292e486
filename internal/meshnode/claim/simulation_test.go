package claim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sliplift/sliplift/internal/api"
)

const (
	simulatedValidity = 10 * time.Second
	simulatedRound    = time.Second
	simulatedViewAge  = 2 * time.Second
	simulatedSteps    = 100
)

// simulation is one key, five nodes that replicate it under two member lists,
// and claimants. Every choice comes from choose, so that rapid can shrink a run
// and a seed can repeat one.
type simulation struct {
	choose    func(label string, n int) int
	faults    Faults
	now       time.Time
	changedAt time.Time
	replicas  map[string]*Replica
	heirs     map[string]*Heir
	// incarnations counts the starts of each node.
	incarnations map[string]int64
	network      []simulatedMessage
	claimants    []*simulatedClaimant
	firstClaim   time.Time
	sequence     uint64
	dispatched   []Token
	// adoptions counts the successors that took over registers.
	adoptions int
}

type simulatedClaimant struct {
	views *Views
	round *Round
}

// simulatedMessage is under way. to is a replica's name, or empty for a vote on
// its way back.
type simulatedMessage struct {
	to       string
	request  *Request
	release  *Release
	report   *Complete
	handOver *HandOver
	recover  *RecoverRequest
	adopt    *simulatedAdoption
	from     string
	vote     Vote
	token    Token
}

// simulatedAdoption is what an heir sends to a successor.
type simulatedAdoption struct {
	incarnation int64
	entries     []HandedEntry
}

func simulatedLists() (before, after []Member) {
	member := func(name string) Member { return Member{Name: name, Zone: name} }
	return []Member{member("a"), member("b"), member("c")}, []Member{member("c"), member("d"), member("e")}
}

func newSimulation(faults Faults, choose func(string, int) int) *simulation {
	s := &simulation{choose: choose, faults: faults, now: time.Unix(100, 0), replicas: make(map[string]*Replica), heirs: make(map[string]*Heir), incarnations: make(map[string]int64)}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		s.start(name)
		s.replicas[name].Registered(true)
	}
	for range 3 {
		s.claimants = append(s.claimants, &simulatedClaimant{views: NewViews(ViewsConfig{
			GroupSize: 3,
			Window:    simulatedValidity + simulatedRound + simulatedViewAge,
			MaxAge:    simulatedViewAge,
		})})
	}
	return s
}

func (s *simulation) start(name string) {
	config := ReplicaConfig{Retention: simulatedValidity + simulatedRound, MaxEntries: 100, Faults: s.faults}
	s.replicas[name] = NewReplica(config, s.now)
	s.heirs[name] = NewHeir(config.Retention)
	s.incarnations[name]++
}

// restart loses a node's memory. A planned one hands it over first, and the
// successor asks for it, perhaps before it has arrived. One that crashed has
// handed over nothing, but an earlier incarnation may have.
func (s *simulation) restart(name string, planned bool) {
	if planned {
		s.handOver(name)
	}
	s.start(name)
	s.replicas[name].Registered(false)
	for _, heir := range []string{"a", "b", "c", "d", "e"} {
		if heir != name {
			s.network = append(s.network, simulatedMessage{to: heir, recover: &RecoverRequest{Name: name, Incarnation: s.incarnations[name]}})
		}
	}
}

func (s *simulation) handOver(name string) {
	entries, ok := s.replicas[name].Seal(s.now)
	heir := s.node("heir")
	if !ok || heir == name {
		return
	}
	ticket := fmt.Sprint(name, s.incarnations[name])
	s.heirs[heir].Ticket(TicketRequest{Name: name, Incarnation: s.incarnations[name]}, ticket, s.now)
	s.network = append(s.network, simulatedMessage{to: heir, handOver: &HandOver{Name: name, Incarnation: s.incarnations[name], Ticket: ticket, Entries: entries}})
}

func (s *simulation) node(label string) string { return string(rune('a' + s.choose(label, 5))) }

// run plays a random history and returns the tokens that dispatched.
func (s *simulation) run() []Token {
	for range simulatedSteps {
		s.step()
	}
	return s.dispatched
}

func (s *simulation) step() {
	switch s.choose("action", 24) {
	case 0, 1:
		s.open(s.claimants[s.choose("claimant", len(s.claimants))])
	case 2:
		s.now = s.now.Add(time.Duration(s.choose("tenths", 40)) * 100 * time.Millisecond)
	case 3:
		s.restart(s.node("replica"), s.choose("planned", 3) > 0)
	case 4:
		s.change()
	case 5:
		s.giveUp(s.claimants[s.choose("claimant", len(s.claimants))])
	default:
		s.deliver()
	}
}

// change puts the second member list in force; claimants may learn of it late.
func (s *simulation) change() {
	if s.changedAt.IsZero() {
		s.changedAt = s.now
	}
}

func (s *simulation) observe(c *simulatedClaimant) {
	before, after := simulatedLists()
	old := View{Revision: 1, Members: before, ConfirmedAt: s.now}
	if s.changedAt.IsZero() {
		c.views.Observe(old, s.now)
		return
	}
	hears := s.choose("hears", 3) > 0
	if hears {
		c.views.Observe(View{Revision: 2, Members: after, Previous: [][]Member{before}, ConfirmedAt: s.now}, s.now)
		return
	}
	old.ConfirmedAt = s.changedAt
	c.views.Observe(old, s.now)
}

// open starts a round, unless the key is too old to be used.
func (s *simulation) open(c *simulatedClaimant) {
	if s.firstClaim.IsZero() {
		s.firstClaim = s.now
	}
	s.observe(c)
	if c.round != nil || !c.views.Fresh(s.now) || s.now.Sub(s.firstClaim) > simulatedValidity {
		return
	}
	s.sequence++
	token := Token{Claimant: "claimant", Sequence: s.sequence}
	c.round = NewRound(token, c.views.Groups("key"), s.now.Add(simulatedRound))
	for _, member := range c.round.Members() {
		request := &Request{Key: "key", Token: token, Revision: c.views.Revision()}
		s.network = append(s.network, simulatedMessage{to: member.Name, request: request})
	}
}

// deliver hands over, duplicates or loses a random message.
func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := s.choose("message", len(s.network))
	message := s.network[i]
	fate := s.choose("fate", 10)
	if fate > 0 {
		s.network = slices.Delete(s.network, i, i+1)
	}
	if fate == 1 {
		return
	}
	s.receive(message)
}

func (s *simulation) receive(message simulatedMessage) {
	switch {
	case message.request != nil:
		vote := s.replicas[message.to].Claim(*message.request, s.now)
		s.network = append(s.network, simulatedMessage{from: message.to, vote: vote, token: message.request.Token})
	case message.release != nil:
		s.replicas[message.to].Release(*message.release, s.now)
	case message.report != nil:
		s.replicas[message.to].Complete(*message.report, s.now)
	case message.handOver != nil:
		s.heirs[message.to].Accept(*message.handOver, s.now)
	case message.recover != nil:
		entries, found := s.heirs[message.to].Recover(*message.recover, s.now)
		if found {
			adoption := &simulatedAdoption{message.recover.Incarnation, entries}
			s.network = append(s.network, simulatedMessage{to: message.recover.Name, adopt: adoption})
		}
	case message.adopt != nil:
		if message.adopt.incarnation == s.incarnations[message.to] {
			s.adoptions++
			s.replicas[message.to].Adopt(message.adopt.entries, s.now)
		}
	default:
		s.receiveVote(message)
	}
}

func (s *simulation) receiveVote(message simulatedMessage) {
	for _, c := range s.claimants {
		if c.round != nil && c.round.token == message.token {
			c.round.Vote(message.from, message.vote)
			s.decide(c)
		}
	}
}

func (s *simulation) giveUp(c *simulatedClaimant) {
	if c.round == nil {
		return
	}
	for _, member := range c.round.Members() {
		c.round.Fail(member.Name)
	}
	s.decide(c)
}

// decide acts on a decision as Service does.
func (s *simulation) decide(c *simulatedClaimant) {
	round := c.round
	decision := round.Decide(s.now)
	if decision == DecisionPending {
		return
	}
	c.round = nil
	if decision == DecisionWon {
		s.dispatched = append(s.dispatched, round.token)
	}
	for _, member := range round.Members() {
		message := simulatedMessage{to: member.Name}
		if decision == DecisionWon {
			message.report = &Complete{Key: "key", Token: round.token, Record: Record{Outcome: api.OutcomeCompleted}}
		} else {
			message.release = &Release{Key: "key", Token: round.token}
		}
		s.network = append(s.network, message)
	}
}

func TestAtMostOneDispatchPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		if dispatched := newSimulation(Faults{}, choose).run(); len(dispatched) > 1 {
			t.Fatalf("dispatched %v", dispatched)
		}
	})
}

// TestSeededRuns goes through many more histories than rapid does, and shows
// that they find a breach where part of the mechanism is off.
func TestSeededRuns(t *testing.T) {
	const seeds = 3000
	cases := []struct {
		faults   Faults
		breaches bool
	}{
		{Faults{}, false},
		{Faults{RestartedVotes: true}, true},
		{Faults{GrantAlways: true}, true},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%+v", c.faults), func(t *testing.T) {
			won, breaches, adoptions := 0, 0, 0
			for seed := range uint64(seeds) {
				source := rand.New(rand.NewPCG(seed, 0))
				simulated := newSimulation(c.faults, func(_ string, n int) int { return source.IntN(n) })
				dispatched := simulated.run()
				adoptions += simulated.adoptions
				won += min(len(dispatched), 1)
				if len(dispatched) > 1 {
					breaches++
				}
			}
			t.Logf("%d histories, %d with a dispatch, %d with two or more, %d hand-overs taken", seeds, won, breaches, adoptions)
			if won < seeds/10 || adoptions == 0 || (breaches > 0) != c.breaches {
				t.Errorf("won %d, breaches %d, want breaches %v", won, breaches, c.breaches)
			}
		})
	}
}

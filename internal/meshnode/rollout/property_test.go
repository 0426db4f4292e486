package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sliplift/sliplift/internal/api"
)

// simulation interleaves owners and a trainer at random over a model of the
// row and of the objects. Former owners live on, as if paused, and go on
// answering pulls and trying to commit: the fence alone must keep the promises.
type simulation struct {
	draw    func(n int) int
	faults  Faults
	row     []byte
	rowTime int
	objects map[string][]api.Sample
	owners  []*simulatedOwner
	now     time.Time
	// numbers holds every attempt number that was ever given out.
	numbers map[int]bool
	trainer int64
	cursor  int64
	taken   map[int]int
	// safeCursor and safeTaken are what a trainer that crashed goes back to.
	safeCursor int64
	safeTaken  map[int]int
	breaches   []string
}

type simulatedOwner struct {
	ledger   *Ledger
	running  []Attempt
	proposal *Proposal
	rowTime  int
}

const (
	simulatedSamples = 5
	simulatedBound   = 1
	simulatedMoves   = 60
)

// simulate plays a random history and returns the breaches that the trainer
// or the engines saw.
func simulate(draw func(n int) int, faults Faults) []string {
	s := &simulation{
		draw: draw, faults: faults, objects: make(map[string][]api.Sample), now: time.Unix(0, 0),
		numbers: make(map[int]bool), taken: make(map[int]int), safeTaken: make(map[int]int),
	}
	s.owners = append(s.owners, &simulatedOwner{ledger: NewLedger(s.config(1))})
	s.save(Progress{})
	s.owners[0].rowTime = s.rowTime
	for range simulatedMoves {
		s.move()
	}
	s.settle()
	return s.breaches
}

func (s *simulation) config(epoch int64) LedgerConfig {
	return LedgerConfig{Samples: simulatedSamples, Bound: simulatedBound, Epoch: epoch, Concurrency: 3, BatchLimit: 2, Faults: s.faults}
}

func (s *simulation) breach(format string, args ...any) {
	s.breaches = append(s.breaches, fmt.Sprintf(format, args...))
}

func (s *simulation) save(progress Progress) {
	s.row, _ = json.Marshal(progress)
	s.rowTime++
}

// move does one random thing at one random owner, mostly the present one.
func (s *simulation) move() {
	owner := s.owners[len(s.owners)-1]
	if s.draw(4) == 0 {
		owner = s.owners[s.draw(len(s.owners))]
	}
	switch s.draw(9) {
	case 0, 1:
		s.start(owner)
	case 2, 3:
		s.finish(owner)
	case 4:
		s.commit(owner, s.draw(4) == 0)
	case 5:
		s.pull(owner, s.draw(3) == 0)
	case 6:
		s.trainer += int64(s.draw(2))
		owner.ledger.SetVersion(s.trainer, s.now)
	case 7:
		if s.draw(3) == 0 && len(s.owners) < 4 {
			s.takeOver()
			return
		}
		if owner.ledger.Acknowledge(s.cursor) == nil {
			s.safeCursor, s.safeTaken = s.cursor, maps.Clone(s.taken)
		}
	case 8:
		if s.draw(4) == 0 {
			s.cursor, s.taken = s.safeCursor, maps.Clone(s.safeTaken)
		}
	}
}

func (s *simulation) start(owner *simulatedOwner) {
	for _, attempt := range owner.ledger.Next(s.now) {
		if s.numbers[attempt.Number] {
			s.breach("attempt %d was started twice", attempt.Number)
		}
		s.numbers[attempt.Number] = true
		owner.running = append(owner.running, attempt)
	}
}

func (s *simulation) finish(owner *simulatedOwner) {
	if len(owner.running) == 0 {
		return
	}
	chosen := s.draw(len(owner.running))
	attempt := owner.running[chosen]
	owner.running = append(owner.running[:chosen], owner.running[chosen+1:]...)
	version := max(0, s.trainer-int64(s.draw(3)))
	owner.ledger.Segment(attempt.Number, version, s.now)
	sample := api.Sample{Segments: []api.Segment{{Version: version + 1}, {Version: version}}}
	owner.ledger.Finish(attempt.Number, api.OutcomeCompleted, sample, 0, s.now)
}

// commit tries the owner's proposal; with lost, the answer does not arrive and
// the owner finds out when it tries again.
func (s *simulation) commit(owner *simulatedOwner, lost bool) {
	if owner.proposal == nil {
		proposal := owner.ledger.Propose(s.now)
		owner.proposal = &proposal
		if lost {
			return
		}
	}
	if owner.rowTime != s.rowTime && !s.faults.IgnoreFence {
		return
	}
	if owner.proposal.Object != "" {
		s.objects[owner.proposal.Object] = owner.proposal.Samples
	}
	s.save(owner.proposal.Progress)
	owner.rowTime = s.rowTime
	if lost {
		return
	}
	owner.proposal = nil
	owner.ledger.Commit(s.now)
}

func (s *simulation) takeOver() {
	var progress Progress
	if err := json.Unmarshal(s.row, &progress); err != nil {
		s.breach("row: %v", err)
		return
	}
	ledger, err := RestoreLedger(s.config(int64(len(s.owners)+1)), progress, s.objects)
	if err != nil {
		s.breach("takeover: %v", err)
		return
	}
	s.save(progress)
	s.owners = append(s.owners, &simulatedOwner{ledger: ledger, rowTime: s.rowTime})
}

// pull takes the samples of an answer unless it is lost.
func (s *simulation) pull(owner *simulatedOwner, lost bool) {
	answer, err := owner.ledger.HandOut(s.cursor, s.trainer, 1+s.draw(3), s.now)
	if err != nil || lost {
		return
	}
	for _, sample := range answer.Samples {
		oldest, _ := sample.OldestVersion()
		if s.trainer-oldest > simulatedBound {
			s.breach("index %d of version %d was handed out at version %d", sample.Index, oldest, s.trainer)
		}
		s.taken[sample.Index]++
		if s.taken[sample.Index] > 1 {
			s.breach("index %d was delivered %d times", sample.Index, s.taken[sample.Index])
		}
	}
	s.cursor = answer.NextCursor
	if answer.Done && len(s.taken) != simulatedSamples {
		s.breach("done with %d of %d samples", len(s.taken), simulatedSamples)
	}
}

// settle lets the present owner finish the step.
func (s *simulation) settle() {
	s.takeOver()
	owner := s.owners[len(s.owners)-1]
	for range 200 {
		s.start(owner)
		s.finish(owner)
		s.commit(owner, false)
		s.pull(owner, false)
		if err := owner.ledger.Acknowledge(s.cursor); err != nil {
			s.breach("acknowledgement: %v", err)
			return
		}
		if owner.ledger.Done() {
			break
		}
	}
	for index := range simulatedSamples {
		if s.taken[index] != 1 {
			s.breach("index %d was delivered %d times at the end", index, s.taken[index])
		}
	}
}

func TestEveryIndexIsDeliveredOnceWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		if breaches := simulate(draw, Faults{}); len(breaches) > 0 {
			t.Fatal(breaches)
		}
	})
}

// TestSimulationFindsBreaches sees the property fail for each mechanism that
// is off, and hold over the same histories with all of them on.
func TestSimulationFindsBreaches(t *testing.T) {
	histories := func(faults Faults) (breached int) {
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 0))
			if len(simulate(random.IntN, faults)) > 0 {
				breached++
			}
		}
		return breached
	}
	if breached := histories(Faults{}); breached != 0 {
		t.Errorf("%d histories breached with every mechanism on", breached)
	}
	for name, faults := range map[string]Faults{
		"version check":       {SkipVersionCheck: true},
		"commit before pull":  {HandOutBeforeCommit: true},
		"attempts from epoch": {ReuseAttempts: true},
		"fence":               {IgnoreFence: true},
	} {
		t.Run(name, func(t *testing.T) {
			breached := histories(faults)
			t.Logf("%d of 300 histories breached", breached)
			if breached == 0 {
				t.Error("no breach was found with the mechanism off")
			}
		})
	}
}

func TestRowStaysSmall(t *testing.T) {
	const samples = 8192
	ledger := NewLedger(LedgerConfig{Samples: samples, Epoch: 1, Concurrency: samples, BatchLimit: 64})
	attempts := ledger.Next(time.Unix(0, 0))
	random := rand.New(rand.NewPCG(1, 0))
	largest := 0
	for finished, order := range random.Perm(samples) {
		sample := api.Sample{Segments: []api.Segment{{Version: 1}}}
		ledger.Finish(attempts[order].Number, api.OutcomeCompleted, sample, 0, time.Unix(0, 0))
		if finished%32 != 0 {
			continue
		}
		row, err := json.Marshal(ledger.Propose(time.Unix(0, 0)).Progress)
		if err != nil {
			t.Fatal(err)
		}
		ledger.Commit(time.Unix(0, 0))
		largest = max(largest, len(row))
	}
	t.Logf("largest row with no acknowledgement at all: %d bytes", largest)
	if largest > 64<<10 {
		t.Errorf("a row of %d bytes", largest)
	}
}

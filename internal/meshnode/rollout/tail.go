package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// The functions of this file decide where and when samples run so that a
// trainer waits little for the last of them. They are pure: the caller takes
// the snapshots and carries the decisions out.

// TailConfig bounds what PlanMoves does.
type TailConfig struct {
	// TailShare is the share of a step's samples that may be left when moves
	// begin; before that, moves only trade places.
	TailShare float64
	// MinimumGain is the least number of streams by which the new engine must
	// be emptier than the present one, the moved sample counted.
	MinimumGain int
	// Settle is the least time between two moves of one sample.
	Settle time.Duration
	// MaxMoves bounds the moves of one plan.
	MaxMoves int
}

// DefaultTailConfig returns the limits that docs/design/routing.md was measured
// with.
func DefaultTailConfig() TailConfig {
	return TailConfig{TailShare: 0.02, MinimumGain: 4, Settle: 2 * time.Second, MaxMoves: 64}
}

// RunningSample is a sample that may be moved.
type RunningSample struct {
	// ID is the id under which its request runs.
	ID     string
	Engine string
	// Tokens is the number of tokens produced so far.
	Tokens int
	// Since is the time since it began to run at Engine.
	Since time.Duration
	// MinVersion is the lowest version that may go on with it.
	MinVersion int64
}

// EngineLoad is an engine that samples may be moved to or from.
type EngineLoad struct {
	Name string
	// Streams counts the requests there, Slots how many it runs at once.
	Streams int
	Slots   int
	Version int64
	// Closed says that it takes no sample: it drains, is suspect or swaps.
	Closed bool
}

// Move tells to export a sample and to resume it at another engine.
type Move struct {
	ID   string
	From string
	To   string
}

// InTail tells whether so few of a step's samples are left that moving them
// pays.
func (c TailConfig) InTail(left, samples int) bool {
	return float64(left) <= c.TailShare*float64(samples)
}

// PlanMoves returns the moves that spread the last samples of a step over the
// emptiest engines, where a step of the batch takes the least time. Samples with
// the most tokens go first: with a long-tailed distribution of lengths they are
// also expected to have the most left.
func PlanMoves(config TailConfig, samples []RunningSample, engines []EngineLoad) []Move {
	loads := slices.Clone(engines)
	byName := make(map[string]int, len(loads))
	for i, engine := range loads {
		byName[engine.Name] = i
	}
	ordered := slices.Clone(samples)
	slices.SortFunc(ordered, func(a, b RunningSample) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.ID, b.ID))
	})
	var moves []Move
	for _, sample := range ordered {
		if len(moves) >= config.MaxMoves {
			break
		}
		from, known := byName[sample.Engine]
		if !known || sample.Since < config.Settle {
			continue
		}
		to := emptiest(loads, from, sample.MinVersion)
		if to < 0 || loads[from].Streams-loads[to].Streams-1 < config.MinimumGain {
			continue
		}
		loads[from].Streams--
		loads[to].Streams++
		moves = append(moves, Move{ID: sample.ID, From: sample.Engine, To: loads[to].Name})
	}
	return moves
}

// emptiest returns the index of the engine with the fewest streams that may
// take a sample, and -1 if there is none.
func emptiest(loads []EngineLoad, except int, minVersion int64) int {
	best := -1
	for i := range loads {
		engine := &loads[i]
		if i == except || engine.Closed || engine.Streams >= engine.Slots || engine.Version < minVersion {
			continue
		}
		if best < 0 || engine.Streams < loads[best].Streams {
			best = i
		}
	}
	return best
}

// PriorityAhead is for samples of a step that its trainer does not need yet.
const PriorityAhead = api.PriorityTraining + 2

// StartVersion returns the lowest version with which the samples of a step may
// begin that its trainer does not need yet, so that they will meet its bound.
// poolVersion is the newest version, stepsBefore the number of steps that the
// trainer takes before this one, each of which is expected to end with a version
// of its own. Where it is above poolVersion, nothing can begin yet: it would be
// generated again. It is a forecast; once the trainer asks for the step, only
// the ledger's own minimum counts.
func StartVersion(poolVersion, stepsBefore, bound int64) int64 {
	return max(0, poolVersion+stepsBefore-bound)
}

// StartDelay returns how long to hold back the samples of a step that was
// posted before its trainer needs it. untilNeeded is the expected time until
// the trainer asks for it, generation the expected time that its samples take.
//
// With an idle weight of 1 the samples are expected to be done, with a margin,
// when the trainer asks for them; with 0 they begin only then, with the
// trainer's newest version. What lies between lets that share of the generation
// overlap with the training.
func StartDelay(idleWeight float64, untilNeeded, generation time.Duration) time.Duration {
	const margin = 1.25
	lead := time.Duration(idleWeight * margin * float64(generation))
	return max(0, untilNeeded-lead)
}

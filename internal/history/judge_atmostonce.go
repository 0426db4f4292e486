package history

import (
	"maps"
	"slices"
)

// atMostOnceJudge counts the runs of each idempotency key of requests that are
// not repeatable.
type atMostOnceJudge struct{ index *index }

// runSign is an event that shows a run.
type runSign struct {
	run  runID
	mark mark
}

// runID is one sending of a request to one back end.
type runID struct {
	requestID string
	attempt   int
	backend   string
}

func newAtMostOnceJudge(index *index) *atMostOnceJudge { return &atMostOnceJudge{index: index} }

// observe does nothing: the index holds all that is needed.
func (j *atMostOnceJudge) observe(*Event, Position) {}

func (j *atMostOnceJudge) verdict() Verdict {
	verdict := newVerdict(PromiseAtMostOnce, "keys that ran")
	strangers := j.index.strangers()
	for _, key := range slices.Sorted(maps.Keys(j.index.holders)) {
		signs := j.signs(slices.Concat(j.index.holders[key], strangers[key]))
		if j.repeatable(key) || len(signs) == 0 {
			continue
		}
		verdict.Judged++
		if runs := countRuns(signs); runs > 1 {
			verdict.breach(signEvidence(signs), "idempotency key %q ran %d times", key, runs)
		}
	}
	return verdict.settled()
}

// repeatable tells whether every request with the key was.
func (j *atMostOnceJudge) repeatable(key string) bool {
	return !slices.ContainsFunc(j.index.holders[key], func(id string) bool { return !j.index.request(id).repeatable })
}

// signs returns the signs of runs of the requests.
func (j *atMostOnceJudge) signs(requestIDs []string) []runSign {
	var signs []runSign
	for _, id := range requestIDs {
		for _, run := range j.index.request(id).runs {
			signs = append(signs, runSign{runID{id, run.attempt, run.mark.process()}, run.mark})
		}
	}
	return signs
}

// countRuns counts the runs behind the signs: a run may show by its start, by
// its effect, or by both.
func countRuns(signs []runSign) int {
	starts := make(map[runID]int)
	effects := make(map[runID]int)
	ids := make(map[runID]bool)
	for _, sign := range signs {
		ids[sign.run] = true
		if sign.mark.kind() == KindInvoked {
			effects[sign.run]++
		} else {
			starts[sign.run]++
		}
	}
	runs := 0
	for id := range ids {
		runs += max(starts[id], effects[id])
	}
	return runs
}

func signEvidence(signs []runSign) []Evidence {
	marks := make([]mark, 0, len(signs))
	for _, sign := range signs {
		marks = append(marks, sign.mark)
	}
	return evidence(marks...)
}

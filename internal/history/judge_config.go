package history

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// configurationJudge follows the revisions that each node applied, and asks for
// every accepted revision at every live node in time.
type configurationJudge struct {
	found    *Verdict
	accepted []revisionMark
	nodes    map[string][]revisionMark
	// lastMicros is the latest time seen: what was due later cannot be judged.
	lastMicros int64
}

type revisionMark struct {
	mark     mark
	revision int64
	limit    time.Duration
}

func newConfigurationJudge() *configurationJudge {
	return &configurationJudge{
		found: newVerdict(PromiseConfiguration, "revisions at nodes"),
		nodes: make(map[string][]revisionMark),
	}
}

func (j *configurationJudge) observe(event *Event, at Position) {
	j.lastMicros = max(j.lastMicros, event.AtMicros)
	seen := revisionMark{newMark(event, at), event.Revision, time.Duration(event.LimitMS) * time.Millisecond}
	switch event.Kind {
	case KindConfigAccepted:
		j.accepted = append(j.accepted, seen)
	case KindConfigApplied, KindNodeStarted, KindNodeReady, KindNodeEnded, KindStopEnded, KindNodeUnreachable, KindNodeReachable:
		j.nodes[event.Process] = append(j.nodes[event.Process], seen)
	}
}

func (j *configurationJudge) verdict() Verdict {
	slices.SortStableFunc(j.accepted, byTime)
	for _, node := range slices.Sorted(maps.Keys(j.nodes)) {
		events := j.nodes[node]
		if !isNode(events) {
			continue
		}
		slices.SortStableFunc(events, byTime)
		j.judgeOrder(node, events)
		j.judgeSpread(node, events)
	}
	return j.found.settled()
}

func byTime(a, b revisionMark) int { return cmp.Compare(a.mark.atMicros, b.mark.atMicros) }

// isNode tells nodes from other processes whose end is told.
func isNode(events []revisionMark) bool {
	return slices.ContainsFunc(events, func(e revisionMark) bool {
		return e.mark.kind() == KindNodeStarted || e.mark.kind() == KindConfigApplied
	})
}

// judgeOrder looks for a revision that is lower than an earlier one: within an
// incarnation always, and across a restart once the node is ready. A node that
// does not tell when it is ready counts as ready with its first revision.
func (j *configurationJudge) judgeOrder(node string, events []revisionMark) {
	tellsReady := slices.ContainsFunc(events, func(e revisionMark) bool { return e.mark.kind() == KindNodeReady })
	// highest is what was in force before this incarnation, current what this
	// one applied last.
	var highest, current revisionMark
	ready := true
	for _, event := range events {
		switch event.mark.kind() {
		case KindNodeStarted:
			highest = higher(highest, current)
			current = revisionMark{}
			ready = false
		case KindNodeReady:
			ready = true
			j.judgeStart(node, event.mark, highest, current)
		case KindConfigApplied:
			j.judgeStep(node, current, event)
			current = event
			if !tellsReady && !ready {
				ready = true
				j.judgeStart(node, event.mark, highest, current)
			}
		}
	}
}

func (j *configurationJudge) judgeStep(node string, current, next revisionMark) {
	j.found.Judged++
	if next.revision < current.revision {
		j.found.breach(evidence(current.mark, next.mark), "node %s went back from revision %d to %d", node, current.revision, next.revision)
	}
}

func (j *configurationJudge) judgeStart(node string, ready mark, highest, current revisionMark) {
	if current.revision < highest.revision {
		j.found.breach(evidence(highest.mark, ready), "node %s is ready with revision %d after a restart, it had %d", node, current.revision, highest.revision)
	}
}

func higher(a, b revisionMark) revisionMark {
	if b.revision > a.revision {
		return b
	}
	return a
}

// judgeSpread asks for every accepted revision, or a higher one, at the node.
func (j *configurationJudge) judgeSpread(node string, events []revisionMark) {
	highs := highMarks(events)
	life := lifecycle(events)
	for _, accepted := range j.accepted {
		since, live := liveSince(life, accepted)
		if !live {
			continue
		}
		due := since + accepted.limit.Microseconds()
		applied, ok := firstApplied(highs, accepted.revision)
		inTime := ok && applied.mark.atMicros <= due
		if !inTime && j.lastMicros < due {
			j.found.Unjudged++
			continue
		}
		j.found.Judged++
		if ok && !inTime {
			j.found.breach(evidence(accepted.mark, applied.mark), "node %s applied revision %d %s late", node, accepted.revision, microseconds(applied.mark.atMicros-due))
		}
		if !ok {
			j.found.breach(evidence(accepted.mark), "node %s never applied revision %d", node, accepted.revision)
		}
	}
}

// highMarks returns the events that applied a revision higher than any before.
func highMarks(events []revisionMark) []revisionMark {
	var highs []revisionMark
	for _, event := range events {
		if event.mark.kind() == KindConfigApplied && (len(highs) == 0 || event.revision > highs[len(highs)-1].revision) {
			highs = append(highs, event)
		}
	}
	return highs
}

// firstApplied returns when the node first applied the revision or a higher one.
func firstApplied(highs []revisionMark, revision int64) (revisionMark, bool) {
	at, _ := slices.BinarySearchFunc(highs, revision, func(high revisionMark, wanted int64) int {
		return cmp.Compare(high.revision, wanted)
	})
	if at == len(highs) {
		return revisionMark{}, false
	}
	return highs[at], true
}

// lifecycle returns the events that say whether the node is there. A node whose
// start was not recorded is there from its first revision on.
func lifecycle(events []revisionMark) []revisionMark {
	var life []revisionMark
	for _, event := range events {
		if event.mark.kind() != KindConfigApplied || len(life) == 0 {
			life = append(life, event)
		}
	}
	return life
}

// liveSince returns from when the node had the accepted revision's limit to
// apply it without a break, and false if it never had: its incarnation ended, or
// it was out of reach.
func liveSince(life []revisionMark, accepted revisionMark) (int64, bool) {
	since, live := int64(0), false
	for _, event := range life {
		at := event.mark.atMicros
		if live && at > max(since, accepted.mark.atMicros)+accepted.limit.Microseconds() {
			break
		}
		switch event.mark.kind() {
		case KindNodeStarted, KindNodeReachable, KindConfigApplied:
			since, live = at, true
		case KindNodeEnded, KindStopEnded, KindNodeUnreachable:
			live = false
		}
	}
	return max(since, accepted.mark.atMicros), live
}

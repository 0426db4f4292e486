package history

import (
	"cmp"
	"maps"
	"slices"
)

// stopJudge looks for requests that a planned stop cut off: by the node's own
// count, by callers whose connection broke during the stop, and by requests
// that never got an answer.
type stopJudge struct {
	events     map[string][]mark
	cutCounts  map[mark]int
	unanswered map[string]sentRequest
	broken     []sentRequest
	ended      map[string]bool
}

// sentRequest is a request that a caller sent to a node; node is empty where
// the caller does not tell.
type sentRequest struct {
	mark mark
	id   string
	node string
}

func newStopJudge() *stopJudge {
	return &stopJudge{
		events:     make(map[string][]mark),
		cutCounts:  make(map[mark]int),
		unanswered: make(map[string]sentRequest),
		ended:      make(map[string]bool),
	}
}

func (j *stopJudge) observe(event *Event, at Position) {
	switch event.Kind {
	case KindStopBegan, KindStopEnded, KindNodeStarted, KindNodeEnded:
		j.observeNode(event, at)
	case KindRequestSent, KindRequestAnswered:
		j.observeRequest(event, at)
	}
}

func (j *stopJudge) observeNode(event *Event, at Position) {
	seen := newMark(event, at)
	j.events[event.Process] = append(j.events[event.Process], seen)
	if event.Cut > 0 {
		j.cutCounts[seen] = event.Cut
	}
	if event.Kind == KindNodeEnded {
		j.ended[event.Process] = true
	}
}

// observeRequest keeps what is not yet paired with its other half: the two may
// come in either order.
func (j *stopJudge) observeRequest(event *Event, at Position) {
	request := sentRequest{mark: newMark(event, at), id: event.RequestID, node: event.Node}
	if event.Kind == KindRequestAnswered && event.Cut > 0 {
		j.broken = append(j.broken, request)
	}
	other, paired := j.unanswered[event.RequestID]
	if paired && other.mark.kind() != event.Kind {
		delete(j.unanswered, event.RequestID)
		return
	}
	j.unanswered[event.RequestID] = request
}

func (j *stopJudge) verdict() Verdict {
	verdict := newVerdict(PromisePlannedStop, "planned stops")
	for _, node := range slices.Sorted(maps.Keys(j.events)) {
		j.judgeNode(verdict, node)
	}
	return verdict.settled()
}

func (j *stopJudge) judgeNode(verdict *Verdict, node string) {
	events := j.events[node]
	slices.SortStableFunc(events, func(a, b mark) int { return cmp.Compare(a.atMicros, b.atMicros) })
	for i, began := range events {
		if began.kind() != KindStopBegan {
			continue
		}
		end, ended := stopEnd(events[i+1:])
		switch {
		case !ended:
			verdict.Judged++
			verdict.breach(evidence(began), "node %s began a planned stop and did not end it", node)
		case end.kind() == KindNodeEnded:
			// It was killed meanwhile, so this was no planned stop.
			verdict.Unjudged++
		default:
			verdict.Judged++
			j.judgeStop(verdict, node, began, end)
		}
	}
}

// stopEnd returns the event that ended a planned stop, and false if there is
// none before the next incarnation.
func stopEnd(events []mark) (mark, bool) {
	for _, event := range events {
		if event.kind() == KindNodeStarted {
			return mark{}, false
		}
		if event.kind() == KindStopEnded || event.kind() == KindNodeEnded {
			return event, true
		}
	}
	return mark{}, false
}

func (j *stopJudge) judgeStop(verdict *Verdict, node string, began, ended mark) {
	if cut := j.cutCounts[ended]; cut > 0 {
		verdict.breach(evidence(began, ended), "the planned stop of %s cut %d requests", node, cut)
	}
	for _, request := range j.broken {
		during := request.mark.atMicros >= began.atMicros && request.mark.atMicros <= ended.atMicros+brokenGraceMicros
		if request.node == node && during {
			verdict.breach(evidence(began, ended, request.mark), "the planned stop of %s broke request %q", node, request.id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(j.unanswered)) {
		request := j.unanswered[id]
		if request.mark.kind() != KindRequestSent || j.ended[request.mark.process()] {
			continue
		}
		atNode := request.node == node || request.node == ""
		if atNode && request.mark.atMicros <= ended.atMicros {
			verdict.breach(evidence(began, ended, request.mark), "request %q was never answered", request.id)
		}
	}
}

// brokenGraceMicros is how long after the end of a stop a caller may notice that
// its connection broke.
const brokenGraceMicros = 1_000_000

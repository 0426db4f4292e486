package history

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// drainJudge looks for work that began on a drained back end.
type drainJudge struct {
	orders map[string][]drainOrder
	starts map[string][]mark
}

// drainOrder is the acceptance or the end of a drain.
type drainOrder struct {
	mark   mark
	resume bool
	limit  time.Duration
}

func newDrainJudge() *drainJudge {
	return &drainJudge{orders: make(map[string][]drainOrder), starts: make(map[string][]mark)}
}

func (j *drainJudge) observe(event *Event, at Position) {
	switch event.Kind {
	case KindDrainAccepted, KindResumeAccepted:
		j.orders[event.Backend] = append(j.orders[event.Backend], drainOrder{
			mark:   newMark(event, at),
			resume: event.Kind == KindResumeAccepted,
			limit:  time.Duration(event.LimitMS) * time.Millisecond,
		})
	case KindStreamStarted, KindInvokeStarted:
		j.starts[event.Process] = append(j.starts[event.Process], newMark(event, at))
	}
}

func (j *drainJudge) verdict() Verdict {
	verdict := newVerdict(PromiseDrained, "drains of back ends that had worked")
	for _, backend := range slices.Sorted(maps.Keys(j.orders)) {
		j.judgeBackend(verdict, backend)
	}
	return verdict.settled()
}

func (j *drainJudge) judgeBackend(verdict *Verdict, backend string) {
	orders := j.orders[backend]
	slices.SortStableFunc(orders, func(a, b drainOrder) int { return cmp.Compare(a.mark.atMicros, b.mark.atMicros) })
	starts := j.starts[backend]
	for i, order := range orders {
		repeated := i > 0 && !orders[i-1].resume
		if order.resume || repeated {
			continue
		}
		if len(starts) == 0 {
			verdict.Unjudged++
			continue
		}
		verdict.Judged++
		end, ends := nextResume(orders[i+1:])
		from := order.mark.atMicros + order.limit.Microseconds()
		for _, start := range starts {
			if start.atMicros > from && (!ends || start.atMicros < end) {
				verdict.breach(evidence(order.mark, start), "%s took new work %s after its drain was accepted, the limit is %s",
					backend, microseconds(start.atMicros-order.mark.atMicros), order.limit)
			}
		}
	}
}

// nextResume returns when the drain ends, and false if it does not.
func nextResume(orders []drainOrder) (int64, bool) {
	for _, order := range orders {
		if order.resume {
			return order.mark.atMicros, true
		}
	}
	return 0, false
}

func microseconds(count int64) time.Duration { return time.Duration(count) * time.Microsecond }

package history

import (
	"github.com/sliplift/sliplift/internal/api"
)

// answeredRequest is a caller's account of an answer.
type answeredRequest struct {
	mark      mark
	requestID string
	segments  []api.Segment
	sum       string
}

func newAnsweredRequest(event *Event, at Position) answeredRequest {
	return answeredRequest{
		mark:      newMark(event, at),
		requestID: event.RequestID,
		segments:  event.Segments,
		sum:       event.Checksum,
	}
}

// answersJudge compares completed answers with what the back ends produced for
// the same request.
type answersJudge struct {
	index   *index
	answers []answeredRequest
}

func newAnswersJudge(index *index) *answersJudge { return &answersJudge{index: index} }

func (j *answersJudge) observe(event *Event, at Position) {
	if event.Kind == KindRequestAnswered && event.Outcome == api.OutcomeCompleted {
		j.answers = append(j.answers, newAnsweredRequest(event, at))
	}
}

func (j *answersJudge) verdict() Verdict {
	verdict := newVerdict(PromiseRightAnswer, "answers")
	for i := range j.answers {
		j.judgeAnswer(verdict, &j.answers[i])
	}
	return verdict.settled()
}

func (j *answersJudge) judgeAnswer(verdict *Verdict, answer *answeredRequest) {
	asked := j.index.request(answer.requestID)
	marks := []mark{answer.mark}
	lost := false
	for _, id := range j.sources(answer.requestID) {
		truth := j.index.request(id)
		if truth.produced(asked.promptChecksum, answer) {
			verdict.Judged++
			return
		}
		marks = append(marks, truth.streamMarks()...)
		marks = append(marks, truth.runMarks()...)
		lost = lost || truth.startedWithoutEnd()
	}
	if lost {
		verdict.Unjudged++
		return
	}
	verdict.Judged++
	verdict.breach(evidence(marks...), "answer of request %q: no back end produced text %s for its prompt", answer.requestID, answer.sum)
}

// sources returns the request ids whose answer the request may be given: its
// own and, where it is not repeatable, those of the same idempotency key.
func (j *answersJudge) sources(id string) []string {
	asked := j.index.request(id)
	if asked.key == "" || asked.repeatable {
		return []string{id}
	}
	return j.index.holders[asked.key]
}

// produced tells whether a back end produced the answer, whole, from the prompt.
func (t *requestTruth) produced(promptSum string, answer *answeredRequest) bool {
	for i := range t.runs {
		run := &t.runs[i]
		if run.mark.kind() == KindInvoked && run.checksum == answer.sum && samePrompt(run.promptSum, promptSum) {
			return true
		}
	}
	for i := range t.streams {
		stream := &t.streams[i]
		whole := stream.finished && stream.wholeSum == answer.sum
		if whole && samePrompt(stream.promptSum, promptSum) {
			return len(answer.segments) == 0 || t.explains(answer.segments, answer.sum)
		}
	}
	return false
}

// samePrompt compares checksums of prompts; one that is not known is equal.
func samePrompt(run, asked string) bool { return run == "" || asked == "" || run == asked }

func (t *requestTruth) runMarks() []mark {
	marks := make([]mark, 0, len(t.runs))
	for i := range t.runs {
		marks = append(marks, t.runs[i].mark)
	}
	return marks
}

// refusalJudge looks for runs of refused requests.
type refusalJudge struct {
	index   *index
	refused []answeredRequest
}

func newRefusalJudge(index *index) *refusalJudge { return &refusalJudge{index: index} }

func (j *refusalJudge) observe(event *Event, at Position) {
	if event.Kind == KindRequestAnswered && event.Outcome == api.OutcomeRefused {
		j.refused = append(j.refused, newAnsweredRequest(event, at))
	}
}

func (j *refusalJudge) verdict() Verdict {
	verdict := newVerdict(PromiseRefusedNotRun, "refusals")
	for _, refusal := range j.refused {
		verdict.Judged++
		marks := j.index.request(refusal.requestID).runMarks()
		if len(marks) > 0 {
			verdict.breach(evidence(append([]mark{refusal.mark}, marks...)...), "request %q was refused and ran", refusal.requestID)
		}
	}
	return verdict.settled()
}

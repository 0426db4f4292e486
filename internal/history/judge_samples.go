package history

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sliplift/sliplift/internal/api"
)

// versionsJudge compares the segments of delivered samples with what the
// engines produced.
type versionsJudge struct {
	index   *index
	samples []deliveredSample
}

type deliveredSample struct {
	mark      mark
	requestID string
	segments  []api.Segment
	sum       string
}

func newVersionsJudge(index *index) *versionsJudge { return &versionsJudge{index: index} }

func (j *versionsJudge) observe(event *Event, at Position) {
	if event.Kind != KindSampleDelivered {
		return
	}
	j.samples = append(j.samples, deliveredSample{
		mark:      newMark(event, at),
		requestID: event.RequestID,
		segments:  event.Segments,
		sum:       event.Checksum,
	})
}

func (j *versionsJudge) verdict() Verdict {
	verdict := newVerdict(PromiseTrueVersions, "samples")
	for i := range j.samples {
		j.judgeSample(verdict, &j.samples[i])
	}
	return verdict.settled()
}

func (j *versionsJudge) judgeSample(verdict *Verdict, sample *deliveredSample) {
	truth, known := j.index.requests[sample.requestID]
	if known && truth.explains(sample.segments, sample.sum) {
		verdict.Judged++
		return
	}
	if known && truth.startedWithoutEnd() {
		verdict.Unjudged++
		return
	}
	verdict.Judged++
	marks := []mark{sample.mark}
	if known {
		marks = append(marks, truth.streamMarks()...)
	}
	verdict.breach(evidence(marks...), "sample of request %q: no stream or chain of streams produced %v with text %s", sample.requestID, sample.segments, sample.sum)
}

func (t *requestTruth) streamMarks() []mark {
	marks := make([]mark, 0, len(t.streams))
	for i := range t.streams {
		marks = append(marks, t.streams[i].mark)
	}
	return marks
}

// boundJudge tests the age of samples at delivery.
type boundJudge struct{ found *Verdict }

func newBoundJudge() *boundJudge {
	return &boundJudge{found: newVerdict(PromiseVersionBound, "samples")}
}

func (j *boundJudge) observe(event *Event, at Position) {
	if event.Kind != KindSampleDelivered {
		return
	}
	j.found.Judged++
	sample := api.Sample{Segments: event.Segments}
	oldest, known := sample.OldestVersion()
	if !known {
		j.found.breach(evidence(newMark(event, at)), "sample %d of step %d of %s names no version", event.Index, event.Step, event.Trainer)
		return
	}
	if oldest < event.TrainerVersion-event.VersionBound {
		j.found.breach(evidence(newMark(event, at)), "sample %d of step %d of %s: version %d is older than %d less the bound of %d",
			event.Index, event.Step, event.Trainer, oldest, event.TrainerVersion, event.VersionBound)
	}
}

func (j *boundJudge) verdict() Verdict { return j.found.settled() }

// deliveryJudge counts deliveries.
type deliveryJudge struct {
	found *Verdict
	steps map[stepID]*stepTruth
}

type stepID struct {
	trainer string
	step    int64
}

type stepTruth struct {
	posted    bool
	count     int
	done      *mark
	delivered map[int]mark
}

func newDeliveryJudge() *deliveryJudge {
	return &deliveryJudge{found: newVerdict(PromiseExactlyOnce, "done steps"), steps: make(map[stepID]*stepTruth)}
}

func (j *deliveryJudge) observe(event *Event, at Position) {
	switch event.Kind {
	case KindStepPosted:
		step := j.step(event)
		step.posted = true
		step.count = event.Count
	case KindStepDone:
		done := newMark(event, at)
		j.step(event).done = &done
	case KindSampleDelivered:
		j.deliver(event, at)
	}
}

func (j *deliveryJudge) deliver(event *Event, at Position) {
	step := j.step(event)
	again := newMark(event, at)
	if first, twice := step.delivered[event.Index]; twice {
		j.found.breach(evidence(first, again), "sample %d of step %d of %s was delivered twice", event.Index, event.Step, event.Trainer)
		return
	}
	step.delivered[event.Index] = again
}

func (j *deliveryJudge) step(event *Event) *stepTruth {
	id := stepID{event.Trainer, event.Step}
	step := j.steps[id]
	if step == nil {
		step = &stepTruth{delivered: make(map[int]mark)}
		j.steps[id] = step
	}
	return step
}

func (j *deliveryJudge) verdict() Verdict {
	for _, id := range j.sortedSteps() {
		j.judgeStep(id, j.steps[id])
	}
	return j.found.settled()
}

func (j *deliveryJudge) sortedSteps() []stepID {
	ids := make([]stepID, 0, len(j.steps))
	for id := range j.steps {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b stepID) int {
		return cmp.Or(cmp.Compare(a.trainer, b.trainer), cmp.Compare(a.step, b.step))
	})
	return ids
}

func (j *deliveryJudge) judgeStep(id stepID, step *stepTruth) {
	if step.posted {
		j.judgeIndexes(id, step)
	}
	if step.done == nil {
		return
	}
	j.found.Judged++
	if !step.posted {
		j.found.breach(evidence(*step.done), "step %d of %s is done but was not posted", id.step, id.trainer)
		return
	}
	j.judgeMissing(id, step)
}

// judgeMissing names the first missing samples and counts the rest, so that a
// history with an absurd count is judged in the time of its lines.
func (j *deliveryJudge) judgeMissing(id stepID, step *stepTruth) {
	missing := max(step.count, 0)
	for index := range step.delivered {
		if index >= 0 && index < step.count {
			missing--
		}
	}
	named := 0
	for index := 0; named < min(missing, maxViolations); index++ {
		if _, delivered := step.delivered[index]; !delivered {
			j.found.breach(evidence(*step.done), "step %d of %s is done without sample %d of %d", id.step, id.trainer, index, step.count)
			named++
		}
	}
	j.found.ViolationCount += missing - named
}

// judgeIndexes looks for samples that the step never asked for.
func (j *deliveryJudge) judgeIndexes(id stepID, step *stepTruth) {
	for _, index := range slices.Sorted(maps.Keys(step.delivered)) {
		if index < 0 || index >= step.count {
			j.found.breach(evidence(step.delivered[index]), "step %d of %s has %d samples, sample %d was delivered", id.step, id.trainer, step.count, index)
		}
	}
}

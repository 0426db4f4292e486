package load

import (
	"context"
	"slices"
	"time"

	"github.com/dghubble/sling"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
)

// stepRun is the trainer's side of one step.
type stepRun struct {
	trainer *Trainer
	step    int64
	request api.StepRequest
	begun   time.Time

	cursor int64
	epoch  int64
	taken  map[int]bool
	lagSum int64
	batch  Batch
}

// pullQuery is the query string of a pull.
type pullQuery struct {
	Cursor  int64 `url:"cursor"`
	Version int64 `url:"version"`
	Limit   int   `url:"limit"`
	WaitMS  int64 `url:"wait_ms"`
}

// post is idempotent: posting the same step again gets the same answer.
func (r *stepRun) post(ctx context.Context) error {
	t := r.trainer
	path := t.stepPath(r.step, "")
	var response api.StepResponse
	err := t.retry(ctx, "post step", func() error {
		return t.nodes.doWithin(ctx, callTimeout, func(s *sling.Sling) *sling.Sling { return s.Post(path).BodyJSON(r.request) }, &response)
	})
	if err != nil {
		return err
	}
	r.epoch = response.Epoch
	r.batch.Accepted = time.Since(r.begun)
	event := r.event(history.KindStepPosted)
	event.Count = r.request.SampleCount()
	event.VersionBound = r.request.VersionBound
	t.sink.Record(event)
	return nil
}

// collect pulls and acknowledges until the step is done.
func (r *stepRun) collect(ctx context.Context) error {
	for {
		var done bool
		err := r.trainer.retry(ctx, "pull", func() error {
			var pullErr error
			done, pullErr = r.pull(ctx)
			return pullErr
		})
		if err != nil {
			return err
		}
		if done {
			return r.acknowledge(ctx)
		}
	}
}

// pull asks for the samples behind the cursor and takes them.
func (r *stepRun) pull(ctx context.Context) (done bool, err error) {
	t := r.trainer
	query := pullQuery{
		Cursor:  r.cursor,
		Version: t.Version(),
		Limit:   t.cfg.PullLimit,
		WaitMS:  t.cfg.PullWait.Milliseconds(),
	}
	path := t.stepPath(r.step, "/samples")
	pullContext, cancel := context.WithTimeout(ctx, t.cfg.PullWait+answerGrace)
	defer cancel()
	var response api.PullResponse
	err = t.nodes.do(pullContext, func(s *sling.Sling) *sling.Sling { return s.Get(path).QueryStruct(query) }, &response)
	if err != nil {
		return false, err
	}
	if response.Epoch < r.epoch {
		r.batch.Stale++
		t.nodes.next(t.nodes.node())
		return false, wait(ctx, t.cfg.RetryDelay)
	}
	r.epoch = response.Epoch
	r.take(response, query.Version)
	if response.Done || len(response.Samples) == 0 {
		return response.Done, nil
	}
	// The next pull's cursor says the same, so a lost acknowledgement only
	// delays what the owner may forget.
	if err := r.sendAcknowledgement(ctx); err != nil {
		t.lg.WithError(err).Debug("acknowledgement not answered")
	}
	return false, nil
}

// take moves the cursor past the samples of the answer.
func (r *stepRun) take(response api.PullResponse, version int64) {
	for _, sample := range response.Samples {
		r.takeSample(sample, version)
	}
	r.cursor = response.NextCursor
}

func (r *stepRun) takeSample(sample api.Sample, version int64) {
	event := r.event(history.KindSampleDelivered)
	event.Index = sample.Index
	event.Attempt = sample.Attempt
	event.RequestID = sample.RequestID
	event.Segments = sample.Segments
	event.Checksum = Checksum(sample.Text)
	event.TrainerVersion = version
	event.VersionBound = r.request.VersionBound
	r.trainer.sink.Record(event)

	if len(r.batch.Samples) == 0 {
		r.batch.First = time.Since(r.begun)
	}
	if oldest, known := sample.OldestVersion(); known {
		lag := version - oldest
		r.lagSum += lag
		r.batch.OldestLag = max(r.batch.OldestLag, lag)
	}
	r.taken[sample.Index] = true
	r.batch.Samples = append(r.batch.Samples, sample)
	r.batch.Last = time.Since(r.begun)
}

func (r *stepRun) acknowledge(ctx context.Context) error {
	return r.trainer.retry(ctx, "acknowledge", func() error { return r.sendAcknowledgement(ctx) })
}

func (r *stepRun) sendAcknowledgement(ctx context.Context) error {
	t := r.trainer
	path := t.stepPath(r.step, "/ack")
	request := api.AckRequest{Cursor: r.cursor}
	ackContext, cancel := context.WithTimeout(ctx, answerGrace)
	defer cancel()
	var response api.AckResponse
	return t.nodes.do(ackContext, func(s *sling.Sling) *sling.Sling { return s.Post(path).BodyJSON(request) }, &response)
}

// finish checks that every sample is there once.
func (r *stepRun) finish() (Batch, error) {
	count := r.request.SampleCount()
	if len(r.batch.Samples) > 0 {
		r.batch.MeanLag = float64(r.lagSum) / float64(len(r.batch.Samples))
	}
	if len(r.taken) != count || len(r.batch.Samples) != count {
		return r.batch, ErrIncomplete.Errorf("step %d: %d samples at %d of %d places", r.step, len(r.batch.Samples), len(r.taken), count)
	}
	slices.SortFunc(r.batch.Samples, func(a, b api.Sample) int { return a.Index - b.Index })
	r.trainer.sink.Record(r.event(history.KindStepDone))
	return r.batch, nil
}

func (r *stepRun) event(kind history.Kind) history.Event {
	return history.Event{
		Kind:    kind,
		Process: r.trainer.cfg.Name,
		Trainer: r.trainer.cfg.Name,
		Pool:    r.request.Pool,
		Step:    r.step,
	}
}

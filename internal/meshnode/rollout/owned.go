package rollout

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/pause"
)

// ownedStep is a step that this node owns: its ledger, its lease, and the two
// loops that run samples and commit.
type ownedStep struct {
	lg     logrus.FieldLogger
	config Config
	store  store
	key    stepKey
	spec   api.StepRequest
	// since is when this node came to own the step.
	since time.Time
	// posted is the record with which the step began here.
	posted StepRecord
	// ctx ends when the step ends here; its attempts run under it.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  *sync.WaitGroup
	// lengths is the service's book, which the step's samples add to.
	lengths *lengthBook

	// record is used by the commit loop alone once the step is adopted.
	record storedRecord

	mu       sync.Mutex
	ledger   *Ledger
	attempts map[int]context.CancelFunc
	// handOutUntil is the end of the time in which the lease surely holds.
	handOutUntil time.Time
	renewAt      time.Time
	commitAt     time.Time
	// releasing asks the commit loop to give the lease up once all is committed.
	releasing bool
	ended     bool
	// changed is closed and replaced whenever something changed.
	changed chan struct{}
}

// newOwnedStep returns a step whose row, record, was first sent at sentAt.
func (s *Service) newOwnedStep(key stepKey, spec api.StepRequest, ledger *Ledger, record storedRecord, sentAt time.Time) *ownedStep {
	ctx, cancel := context.WithCancel(s.ctx)
	step := &ownedStep{
		lg:       s.lg.WithFields(logrus.Fields{"trainer": key.trainer, "step": key.step, "epoch": record.Epoch}),
		config:   s.config,
		store:    s.store,
		since:    time.Now(),
		key:      key,
		spec:     spec,
		ctx:      ctx,
		cancel:   cancel,
		tasks:    &s.tasks,
		lengths:  s.lengths,
		record:   record,
		posted:   record.StepRecord,
		ledger:   ledger,
		attempts: make(map[int]context.CancelFunc),
		changed:  make(chan struct{}),
	}
	step.renewed(sentAt)
	return step
}

// renewed notes that the lease counts from sentAt; callers hold mu or are alone.
func (o *ownedStep) renewed(sentAt time.Time) {
	third := o.config.Lease / renewalsPerLease
	o.renewAt = sentAt.Add(third)
	o.handOutUntil = sentAt.Add(o.config.Lease - third)
}

// mayHandOut tells whether the lease surely holds; callers hold mu.
func (o *ownedStep) mayHandOut(now time.Time) bool {
	return !o.ended && (now.Before(o.handOutUntil) || o.config.Faults.IgnoreLease)
}

// update changes the ledger, and then does what the change asks for.
func (o *ownedStep) update(change func(*Ledger)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateLocked(change)
}

func (o *ownedStep) updateLocked(change func(*Ledger)) {
	if o.ended {
		return
	}
	before := o.ledger.signature()
	change(o.ledger)
	for _, number := range o.ledger.Cancels() {
		if cancel, ok := o.attempts[number]; ok {
			cancel()
		}
	}
	if o.ledger.signature() != before {
		o.signal()
	}
}

// signal wakes everyone who waits for a change; callers hold mu.
func (o *ownedStep) signal() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// end stops the step on this node.
func (o *ownedStep) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.ended {
		o.ended = true
		o.signal()
	}
	o.cancel()
}

// waitChange waits for a change or the instant; it returns false if the step
// ended.
func (o *ownedStep) waitChange(changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-o.ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// idleWait bounds a wait that has no instant of its own.
const idleWait = time.Hour

// scheduleLoop starts attempts.
func (o *ownedStep) scheduleLoop() {
	for {
		o.mu.Lock()
		now := time.Now()
		if !o.ended {
			o.startLocked(o.ledger.Next(now))
		}
		until, ok := o.ledger.NextStart()
		if !ok {
			until = now.Add(idleWait)
		}
		changed := o.changed
		o.mu.Unlock()
		if !o.waitChange(changed, until) {
			return
		}
	}
}

func (o *ownedStep) startLocked(attempts []Attempt) {
	for _, attempt := range attempts {
		ctx, cancel := context.WithCancel(o.ctx)
		o.attempts[attempt.Number] = cancel
		o.tasks.Add(1)
		go func() {
			defer o.tasks.Done()
			defer cancel()
			o.run(ctx, attempt)
		}()
	}
}

// run runs one attempt and tells the ledger its result.
func (o *ownedStep) run(ctx context.Context, attempt Attempt) {
	prompt := o.spec.Prompts[attempt.Index/o.spec.SamplesPerPrompt]
	request := RunRequest{
		RequestID:  fmt.Sprintf("%s/%d/%d/%d", o.key.trainer, o.key.step, attempt.Index, attempt.Number),
		Pool:       o.spec.Pool,
		Priority:   attempt.Priority,
		Prompt:     prompt,
		MaxTokens:  o.spec.MaxTokens,
		MinVersion: attempt.MinVersion,
		Attempt:    attempt.Number,
		OnSegment: func(version int64) {
			o.update(func(ledger *Ledger) { ledger.Segment(attempt.Number, version, time.Now()) })
		},
	}
	result := o.config.Runner.Run(ctx, request)
	sample := api.Sample{
		Trainer:   o.key.trainer,
		Step:      o.key.step,
		RequestID: request.RequestID,
		Text:      result.Text,
		Tokens:    result.Tokens,
		Segments:  result.Segments,
	}
	outcome := result.Outcome
	var delay time.Duration
	if result.Err != nil {
		delay = api.Milliseconds(result.Err.RetryAfterMS)
	}
	if outcome == api.OutcomeCompleted {
		o.lengths.observe(o.spec.Pool, prompt, result.Tokens)
		score, err := o.score(ctx, request, result.Text)
		if err != nil {
			outcome = api.OutcomeFailed
		}
		sample.Score = score
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.attempts, attempt.Number)
	o.updateLocked(func(ledger *Ledger) {
		verdict := ledger.Finish(attempt.Number, outcome, sample, delay, time.Now())
		if verdict == VerdictFailed {
			o.lg.WithField("request_id", request.RequestID).WithField("error", result.Err).Info("sample failed, will run again")
		}
	})
}

// score asks the scoring service, a bounded number of times.
func (o *ownedStep) score(ctx context.Context, request RunRequest, text string) (float64, error) {
	if o.config.Scorer == nil {
		return 0, nil
	}
	backoff := minRetryBackoff
	for attempt := 1; ; attempt++ {
		call, cancel := context.WithTimeout(ctx, o.config.CallTimeout)
		response, err := o.config.Scorer.Score(call, api.ScoreRequest{RequestID: request.RequestID, Prompt: request.Prompt, Text: text})
		cancel()
		if err == nil {
			return response.Score, nil
		}
		if attempt >= o.config.ScoreAttempts || !pause.For(ctx, max(backoff, retryAfter(err))) {
			return 0, err
		}
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

func (o *ownedStep) objectKey(name string) string {
	return objectKey(o.key.trainer, o.key.step, name)
}

func (o *ownedStep) status() StepStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	cursor, _ := o.ledger.Cursor()
	return StepStatus{
		Trainer:    o.key.trainer,
		Step:       o.key.step,
		Pool:       o.spec.Pool,
		Epoch:      o.posted.Epoch,
		Samples:    o.spec.SampleCount(),
		Version:    o.ledger.version,
		Cursor:     cursor,
		Counts:     o.ledger.Counts(),
		HandedOut:  o.ledger.HandedOut(),
		Since:      o.since,
		LeaseValid: o.mayHandOut(time.Now()),
	}
}

package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
)

// ownedStep is a step that this node owns: its ledger, its lease, and the two
// loops that run samples and commit.
type ownedStep struct {
	lg     logrus.FieldLogger
	config Config
	store  store
	key    stepKey
	spec   api.StepRequest
	// posted is the record with which the step began here.
	posted StepRecord
	// ctx ends when the step ends here; its attempts run under it.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  *sync.WaitGroup

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
		key:      key,
		spec:     spec,
		ctx:      ctx,
		cancel:   cancel,
		tasks:    &s.tasks,
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
	before := o.ledger.Signature()
	change(o.ledger)
	for _, number := range o.ledger.Cancels() {
		if cancel, ok := o.attempts[number]; ok {
			cancel()
		}
	}
	if o.ledger.Signature() != before {
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
	var pause time.Duration
	if result.Err != nil {
		pause = api.Milliseconds(result.Err.RetryAfterMS)
	}
	if outcome == api.OutcomeCompleted {
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
		verdict := ledger.Finish(attempt.Number, outcome, sample, pause, time.Now())
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
		if attempt >= o.config.ScoreAttempts || !sleep(ctx, max(backoff, retryAfter(err))) {
			return 0, err
		}
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

// commitLoop commits what changed and renews the lease, until the step is done,
// handed over or lost.
func (o *ownedStep) commitLoop() {
	defer o.end()
	for {
		proposal, ok := o.nextProposal()
		if !ok {
			return
		}
		err := o.commit(proposal)
		if errors.Is(err, errFenced) {
			o.lg.Warn("another node owns the step now")
			o.deleteObjects(proposal.Object)
			return
		}
		if err != nil {
			return
		}
		o.committed(proposal)
		if proposal.Progress.Done || o.record.Owner == "" {
			return
		}
	}
}

// nextProposal waits until a commit or a renewal is due.
func (o *ownedStep) nextProposal() (Proposal, bool) {
	for {
		o.mu.Lock()
		now := time.Now()
		due := o.renewAt
		if o.ledger.Pending() && o.commitAt.Before(due) {
			due = o.commitAt
		}
		if o.ledger.Done() || o.releasing {
			due = now
		}
		if !due.After(now) {
			proposal := o.ledger.Propose(now)
			o.mu.Unlock()
			return proposal, true
		}
		changed := o.changed
		o.mu.Unlock()
		if !o.waitChange(changed, due) {
			return Proposal{}, false
		}
	}
}

// commit writes the proposal's object and then the row.
func (o *ownedStep) commit(proposal Proposal) error {
	if proposal.Object != "" {
		if err := o.putSamples(proposal); err != nil {
			return err
		}
	}
	record := o.record.StepRecord
	record.Progress = proposal.Progress
	if o.mayRelease() {
		record.Owner, record.OwnerAddress = "", ""
	}
	return o.writeRow(record)
}

// mayRelease tells whether the commit that is under way may give the lease up:
// nothing runs and nothing is left to commit after it.
func (o *ownedStep) mayRelease() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.releasing && o.ledger.Running() == 0 && !o.ledger.Left()
}

// putSamples writes the object, and renews the lease as long as that takes.
func (o *ownedStep) putSamples(proposal Proposal) error {
	content, err := json.Marshal(proposal.Samples)
	if err != nil {
		panic(fmt.Sprintf("rollout: samples must encode: %v", err))
	}
	written := make(chan error, 1)
	o.tasks.Add(1)
	go func() {
		defer o.tasks.Done()
		written <- o.store.putObject(o.ctx, o.objectKey(proposal.Object), content)
	}()
	for {
		o.mu.Lock()
		renewAt := o.renewAt
		o.mu.Unlock()
		timer := time.NewTimer(time.Until(renewAt))
		select {
		case err := <-written:
			timer.Stop()
			return err
		case <-timer.C:
			if err := o.writeRow(o.record.StepRecord); err != nil {
				return err
			}
		}
	}
}

// writeRow writes the row and renews the lease by it.
func (o *ownedStep) writeRow(record StepRecord) error {
	sentAt := time.Now()
	written, err := o.store.write(o.ctx, RowKey(o.key.trainer, o.key.step), record, o.record.revision)
	if err != nil {
		return err
	}
	o.record = written
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renewed(sentAt)
	o.signal()
	return nil
}

// committed tells the ledger and everyone who waits, and deletes what nothing
// needs any more.
func (o *ownedStep) committed(proposal Proposal) {
	o.mu.Lock()
	now := time.Now()
	o.commitAt = now.Add(o.config.CommitInterval)
	o.ledger.Commit(now)
	o.signal()
	o.mu.Unlock()
	obsolete := proposal.Obsolete
	if proposal.Progress.Done {
		obsolete = append(obsolete, o.record.Spec)
	}
	o.deleteObjects(obsolete...)
}

// deleteObjects deletes objects by name in the background.
func (o *ownedStep) deleteObjects(names ...string) {
	var keys []string
	for _, name := range names {
		if name != "" {
			keys = append(keys, o.objectKey(name))
		}
	}
	if len(keys) == 0 {
		return
	}
	o.tasks.Add(1)
	go func() {
		defer o.tasks.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), o.config.CallTimeout)
		defer cancel()
		o.store.deleteObjects(ctx, keys)
	}()
}

func (o *ownedStep) objectKey(name string) string {
	return ObjectKey(o.key.trainer, o.key.step, name)
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
		LeaseValid: o.mayHandOut(time.Now()),
	}
}

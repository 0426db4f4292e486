package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// attemptsPerEpoch separates the attempt numbers of successive owners. The
// product with an epoch stays exact in JSON numbers up to epoch 2^29.
const attemptsPerEpoch = 1 << 24

// LedgerConfig describes a step to its Ledger.
type LedgerConfig struct {
	// Samples is the number of sample indexes of the step.
	Samples int
	// Bound is the step's version bound.
	Bound int64
	// Epoch is the fence of this owner; it must be positive.
	Epoch int64
	// Concurrency is the largest number of attempts that run at once.
	Concurrency int
	// TailShare, in [0,1], is the share of the step's indexes that count as its
	// tail: attempts that start while no more than that wait get
	// api.PriorityStepTail.
	TailShare float64
	// BatchLimit is the largest number of samples in a manifest.
	BatchLimit int
	// RetryBackoff is the pause before an index runs again after its first
	// failure; it doubles with each further failure up to MaxRetryBackoff.
	RetryBackoff    time.Duration
	MaxRetryBackoff time.Duration
	// SecondAfter starts a second attempt of an index whose only attempt has
	// run for so long while nothing else waits; zero means never.
	SecondAfter time.Duration
	// Order lists all indexes in the order in which they start; nil starts them
	// by number.
	Order  []int
	Faults Faults
}

type sampleState int

const (
	// sampleWaiting means that no attempt runs.
	sampleWaiting sampleState = iota
	// sampleRunning means that at least one attempt runs.
	sampleRunning
	// sampleFinished means that a whole sample waits for a manifest.
	sampleFinished
	// samplePlaced means that the sample has a position.
	samplePlaced
	// sampleAcknowledged means that the trainer has it.
	sampleAcknowledged
)

type sampleEntry struct {
	state     sampleState
	attempts  int
	failures  int
	notBefore time.Time
	body      *api.Sample
}

type runningAttempt struct {
	index   int
	started time.Time
	// oldest is the lowest version reported so far, valid if reported is set.
	oldest   int64
	reported bool
}

// Attempt is an order to run a sample index.
type Attempt struct {
	Index      int
	Number     int
	Priority   api.Priority
	MinVersion int64
}

// Verdict says what became of the result of an attempt.
type Verdict string

const (
	// VerdictKept means that the sample awaits its manifest.
	VerdictKept Verdict = "kept"
	// VerdictLate means that the attempt was cancelled, or another one won.
	VerdictLate Verdict = "late"
	// VerdictTooOld means that the sample can't meet the bound; the index runs
	// again.
	VerdictTooOld Verdict = "too_old"
	// VerdictFailed means that there is no whole sample; the index runs again
	// after a pause.
	VerdictFailed Verdict = "failed"
)

// Ledger is the state machine of one step under one owner. It is not safe for
// concurrent use.
type Ledger struct {
	config  LedgerConfig
	samples []sampleEntry
	running map[int]*runningAttempt
	cancels []int
	// lastNumber counts the attempts of this epoch.
	lastNumber int
	waiting    int
	finished   int
	// unacknowledged counts the indexes that the trainer does not have yet.
	unacknowledged int
	// version is the trainer's highest known version.
	version  int64
	delivery delivery
	// stopped means that no attempt starts any more.
	stopped bool
}

// NewLedger returns the ledger of a step of which nothing has run.
func NewLedger(config LedgerConfig) *Ledger {
	if config.Epoch <= 0 || config.Samples <= 0 {
		panic("rollout: a ledger needs a positive epoch and at least one sample")
	}
	return &Ledger{
		config:         config,
		samples:        make([]sampleEntry, config.Samples),
		running:        make(map[int]*runningAttempt),
		waiting:        config.Samples,
		unacknowledged: config.Samples,
	}
}

// MinVersion returns the lowest version that a sample may still name.
func (l *Ledger) MinVersion() int64 { return max(0, l.version-l.config.Bound) }

// Segment tells that a running attempt produces tokens with that version. The
// attempt is cancelled if it can no longer meet the bound; the pause before its
// index runs again gives the engines, which lag, time to load.
func (l *Ledger) Segment(number int, version int64, now time.Time) {
	attempt, ok := l.running[number]
	if !ok {
		return
	}
	if !attempt.reported || version < attempt.oldest {
		attempt.oldest = version
		attempt.reported = true
	}
	if l.tooOld(attempt.oldest, l.version) {
		l.cancel(number, now.Add(l.config.RetryBackoff))
	}
}

// Finish tells the result of an attempt. A completed sample has at least one
// segment. retryAfter is the pause that the runner asked for.
func (l *Ledger) Finish(number int, outcome api.Outcome, body api.Sample, retryAfter time.Duration, now time.Time) Verdict {
	attempt, ok := l.running[number]
	if !ok {
		return VerdictLate
	}
	l.forget(number)
	entry := &l.samples[attempt.index]
	oldest, named := body.OldestVersion()
	if outcome != api.OutcomeCompleted || !named {
		entry.failures++
		l.rerun(attempt.index, now.Add(max(retryAfter, l.backoff(entry.failures))))
		return VerdictFailed
	}
	if l.tooOld(oldest, l.version) {
		l.rerun(attempt.index, now.Add(l.config.RetryBackoff))
		return VerdictTooOld
	}
	body.Index = attempt.index
	body.Attempt = number
	entry.body = &body
	entry.state = sampleFinished
	l.finished++
	l.cancelOthers(attempt.index)
	return VerdictKept
}

func (l *Ledger) backoff(failures int) time.Duration {
	shift := min(failures-1, 20)
	return min(l.config.RetryBackoff<<shift, l.config.MaxRetryBackoff)
}

// forget removes an attempt from the running ones.
func (l *Ledger) forget(number int) {
	l.samples[l.running[number].index].attempts--
	delete(l.running, number)
}

// rerun lets an index wait for a new attempt unless another one still runs.
func (l *Ledger) rerun(index int, notBefore time.Time) {
	entry := &l.samples[index]
	entry.body = nil
	if entry.attempts > 0 {
		entry.state = sampleRunning
		return
	}
	entry.state = sampleWaiting
	entry.notBefore = notBefore
	l.waiting++
}

// cancel ends an attempt; its index may run again from notBefore on.
func (l *Ledger) cancel(number int, notBefore time.Time) {
	index := l.running[number].index
	l.forget(number)
	l.cancels = append(l.cancels, number)
	l.rerun(index, notBefore)
}

// cancelOthers cancels the attempts that lost against a whole sample.
func (l *Ledger) cancelOthers(index int) {
	if l.samples[index].attempts == 0 {
		return
	}
	for _, number := range l.runningNumbers() {
		attempt := l.running[number]
		if attempt.index == index {
			l.forget(number)
			l.cancels = append(l.cancels, number)
		}
	}
}

// Cancels returns the attempts to cancel since the last call. Their results
// will be late.
func (l *Ledger) Cancels() []int {
	cancels := l.cancels
	l.cancels = nil
	return cancels
}

// SetVersion tells that the trainer has published a version. Running attempts,
// finished samples and positions never handed out that are too old for it run
// again.
func (l *Ledger) SetVersion(version int64, now time.Time) {
	if version <= l.version {
		return
	}
	l.version = version
	for _, number := range l.runningNumbers() {
		attempt := l.running[number]
		if attempt.reported && l.tooOld(attempt.oldest, version) {
			l.cancel(number, now)
		}
	}
	l.dropFinished(now)
	l.voidNeverOffered(now)
}

// dropFinished runs finished samples again that are too old for a manifest.
func (l *Ledger) dropFinished(now time.Time) {
	for index := range l.samples {
		entry := &l.samples[index]
		if entry.state != sampleFinished {
			continue
		}
		if oldest, _ := entry.body.OldestVersion(); l.tooOld(oldest, l.version) {
			l.finished--
			l.rerun(index, now)
		}
	}
}

// Stop starts no attempt any more.
func (l *Ledger) Stop() { l.stopped = true }

// CancelAll cancels every running attempt.
func (l *Ledger) CancelAll(now time.Time) {
	for _, number := range l.runningNumbers() {
		l.cancel(number, now)
	}
}

// runningNumbers returns the running attempts in order, so that equal inputs
// have equal results.
func (l *Ledger) runningNumbers() []int { return slices.Sorted(maps.Keys(l.running)) }

// Running returns the number of attempts that run.
func (l *Ledger) Running() int { return len(l.running) }

// Done tells whether the trainer has acknowledged every index.
func (l *Ledger) Done() bool { return l.unacknowledged == 0 }

func (l *Ledger) tooOld(oldest, version int64) bool {
	if l.config.Faults.SkipVersionCheck {
		return false
	}
	return oldest < version && version-oldest > l.config.Bound
}

package migrate

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/query"
	"github.com/sliplift/sliplift/internal/pause"
)

// Defaults of Config that a command line shows.
const (
	DefaultSettle  = time.Minute
	DefaultObserve = 2 * time.Second
)

// Config sets up a Runner. Durations that are zero take their defaults.
type Config struct {
	// Author names the operator in the log of changes.
	Author string
	// InForceWait is how long the last change of a step waits to be in force at
	// every known node; whole seconds. The default is 10 s.
	InForceWait time.Duration
	// Settle is the longest time that a step may take to show its effect, and
	// the longest search for a change's fate. The default is DefaultSettle.
	Settle time.Duration
	// Poll is the time between two looks. The default is 1 s.
	Poll time.Duration
	// CallTimeout bounds one question. The default is 15 s.
	CallTimeout time.Duration
	// Observe is how long the rate is observed before planning. The default is
	// DefaultObserve.
	Observe time.Duration
	// Report is told each step as it is begun and what is waited for; nil means
	// nobody is.
	Report func(Event)
}

// Event tells what a run does.
type Event struct {
	Step Step `json:"step"`
	// Revision is the configuration's revision before the step.
	Revision int64    `json:"revision"`
	Progress Progress `json:"progress"`
	Load     Load     `json:"load"`
}

// State is how a run ended.
type State string

const (
	StateDone State = "done"
	// StateStopped means that the run stopped by itself.
	StateStopped State = "stopped"
	// StateInterrupted means that the operator stopped it.
	StateInterrupted State = "interrupted"
)

// Outcome is the end of a run. Whatever it is, the configuration is as the last
// change left it, and another run goes on from there.
type Outcome struct {
	State  State  `json:"state"`
	Reason string `json:"reason,omitempty"`
	// Revision is the newest that the run knows of.
	Revision int64 `json:"revision"`
	// Progress and Load are of the last look. Current says that it came after
	// the last change.
	Progress Progress `json:"progress"`
	Load     Load     `json:"load"`
	Current  bool     `json:"current"`
	// StillRunning is what runs on the drained back ends of the old site; nil
	// where that is not known.
	StillRunning *int `json:"still_running"`
}

// Runner plans and carries out moves through one operator port. It holds no
// state between calls.
type Runner struct {
	logger  logrus.FieldLogger
	config  Config
	changes changer
}

// NewRunner returns a runner that asks the port.
func NewRunner(logger logrus.FieldLogger, config Config, port Port) *Runner {
	setDefault(&config.InForceWait, 10*time.Second)
	setDefault(&config.Settle, DefaultSettle)
	setDefault(&config.Poll, time.Second)
	setDefault(&config.CallTimeout, 15*time.Second)
	setDefault(&config.Observe, DefaultObserve)
	if config.Report == nil {
		config.Report = func(Event) {}
	}
	asks := reader{port: port, timeout: config.CallTimeout}
	return &Runner{logger: logger, config: config, changes: changer{
		reader: asks, author: config.Author, settle: config.Settle, poll: config.Poll,
	}}
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}

// Plan observes the pool and returns the plan. It changes nothing.
func (r *Runner) Plan(ctx context.Context, options Options) (Plan, error) {
	if err := options.Validate(); err != nil {
		return Plan{}, err
	}
	rate := r.changes.rate(ctx, options.Pool, r.config.Observe)
	snapshot, err := r.changes.snapshot(ctx, options.Pool)
	if err != nil {
		return Plan{}, err
	}
	snapshot.FinishedPerSecond = rate
	return NewPlan(snapshot, options)
}

// Apply carries the plan out. Once ctx has ended it begins no further step; the
// one under way is finished first.
func (r *Runner) Apply(ctx context.Context, plan Plan) Outcome {
	m := &run{Runner: r, options: plan.Options(), outcome: Outcome{
		Revision: plan.Revision, Progress: plan.Progress, Load: plan.Load,
	}}
	m.extendDeadline()
	for !m.ended {
		m.turn(ctx)
	}
	m.lookLast(ctx)
	r.logger.WithFields(logrus.Fields{
		"pool": m.options.Pool, "state": m.outcome.State, "reason": m.outcome.Reason, "revision": m.outcome.Revision,
	}).Info("migration ended")
	return m.outcome
}

// run is one call of Apply.
type run struct {
	*Runner
	options Options
	// inForce is the newest revision that is known to be in force everywhere.
	inForce int64
	// deadline is when waiting for the last step ends.
	deadline time.Time
	// waitingFor was reported last.
	waitingFor string
	outcome    Outcome
	ended      bool
}

func (m *run) extendDeadline() {
	m.deadline = time.Now().Add(m.config.Settle)
	m.waitingFor = ""
}

func (m *run) end(state State, reason string) {
	m.ended = true
	m.outcome.State = state
	m.outcome.Reason = reason
}

// turn looks once and takes at most one step.
func (m *run) turn(ctx context.Context) {
	if ctx.Err() != nil {
		m.end(StateInterrupted, "stopped by the operator")
		return
	}
	snapshot, err := m.look(ctx)
	if err != nil {
		m.fail(ctx, err)
		return
	}
	step, err := m.next(ctx, snapshot)
	if err != nil {
		m.fail(ctx, err)
		return
	}
	switch step.Action {
	case ActionDone:
		m.end(StateDone, "")
	case ActionWait, ActionBlocked:
		m.wait(ctx, step)
	default:
		m.config.Report(Event{Step: step, Revision: m.outcome.Revision, Progress: m.outcome.Progress, Load: m.outcome.Load})
		if err := m.carryOut(ctx, step); err != nil {
			m.fail(ctx, err)
			return
		}
		m.extendDeadline()
	}
}

// fail ends the run, or waits where a later look may find things better.
func (m *run) fail(ctx context.Context, err error) {
	if unanswered(err) || errors.Is(err, errNotMade) {
		m.wait(ctx, Step{Action: ActionWait, Reason: err.Error()})
		return
	}
	m.end(StateStopped, err.Error())
}

func (m *run) wait(ctx context.Context, step Step) {
	if !time.Now().Before(m.deadline) {
		m.end(StateStopped, step.Reason)
		return
	}
	if step.Reason != m.waitingFor {
		m.waitingFor = step.Reason
		m.config.Report(Event{Step: step, Revision: m.outcome.Revision, Progress: m.outcome.Progress, Load: m.outcome.Load})
	}
	pause.For(ctx, m.config.Poll)
}

// look reads the pool, and makes sure that nobody else decided on anything since
// the plan or the last own change.
func (m *run) look(ctx context.Context) (Snapshot, error) {
	snapshot, err := m.changes.snapshot(ctx, m.options.Pool)
	if err != nil {
		return Snapshot{}, err
	}
	if snapshot.Revision < m.outcome.Revision {
		return Snapshot{}, ErrNoAnswer.Errorf("the node is behind at revision %d of %d", snapshot.Revision, m.outcome.Revision)
	}
	if err := m.changes.foreign(ctx, m.outcome.Revision, snapshot.Revision); err != nil {
		return Snapshot{}, err
	}
	m.outcome.Revision = snapshot.Revision
	return snapshot, m.note(snapshot)
}

// note puts what was seen into the outcome.
func (m *run) note(snapshot Snapshot) error {
	position, err := newPosition(snapshot, m.options)
	if err != nil {
		return err
	}
	m.outcome.Progress = position.progress()
	m.outcome.Load = position.load()
	m.outcome.StillRunning = position.running(position.drainedNames())
	return nil
}

// lookLast makes the outcome tell how things stand after the last change, also
// where the operator stopped the run.
func (m *run) lookLast(ctx context.Context) {
	snapshot, err := m.changes.snapshot(context.WithoutCancel(ctx), m.options.Pool)
	if err != nil || snapshot.Revision < m.outcome.Revision {
		return
	}
	m.outcome.Current = m.note(snapshot) == nil
}

func (m *run) next(ctx context.Context, snapshot Snapshot) (Step, error) {
	if m.inForce < snapshot.Revision {
		missing, err := m.changes.notInForce(ctx, snapshot.Revision)
		if err != nil {
			return Step{}, err
		}
		if missing != "" {
			return Step{Action: ActionWait, Reason: fmt.Sprintf("revision %d is %s", snapshot.Revision, missing)}, nil
		}
		m.inForce = snapshot.Revision
	}
	return NextStep(snapshot, m.options)
}

// carryOut makes the step's changes one after the other, each only if nothing
// else was changed since the last.
func (m *run) carryOut(ctx context.Context, step Step) error {
	for i, name := range step.Backends {
		change := query.Change{Action: actionFor(step.Action, name), IfRevision: &m.outcome.Revision}
		if i == len(step.Backends)-1 {
			change.Wait = m.config.InForceWait
		}
		revision, err := m.changes.make(ctx, change)
		if err != nil {
			return err
		}
		m.outcome.Revision = revision
	}
	return nil
}

func actionFor(action Action, backend string) query.Action {
	if action == ActionResume {
		return query.Resume{Scope: configlog.DrainEngine, Name: backend}
	}
	return query.Drain{Scope: configlog.DrainEngine, Name: backend}
}

// drainedNames lists the back ends of the old site that take no new work.
func (p *position) drainedNames() []string {
	var names []string
	for _, i := range p.from {
		if p.backends[i].Drained {
			names = append(names, p.backends[i].Name)
		}
	}
	return names
}

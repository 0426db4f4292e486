package roster

import (
	"cmp"
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/membership"
)

// LeaseShard is the lease whose holder changes the list.
const LeaseShard = "cluster/claim-members"

// Defaults of Config.
const (
	DefaultInterval        = time.Second
	DefaultConfirmInterval = 5 * time.Second
)

// Lessor tells which leases this node holds.
type Lessor interface {
	// Held returns the lease's epoch, and false where this node must not act.
	Held(shard string) (epoch int64, ok bool)
}

// Configuration is what the service needs of package configlog.
type Configuration interface {
	Current() *configlog.State
	Ready() bool
	Submit(ctx context.Context, change configlog.Change) configlog.Result
	InForce(ctx context.Context, revision int64) configlog.ForceReport
}

// Members is what the service needs of the membership.
type Members interface {
	Snapshot() *membership.Snapshot
}

// Config holds what a Service needs. Zero durations mean the defaults.
type Config struct {
	// Node is this node's name.
	Node  string
	Rules Rules
	// Interval is the time between two looks at the membership.
	Interval time.Duration
	// ConfirmInterval is the time between two questions to all members whether
	// they apply a list, while that is open.
	ConfirmInterval time.Duration
}

// Service keeps the list while this node holds the lease.
type Service struct {
	lg            logrus.FieldLogger
	cfg           Config
	lessor        Lessor
	configuration Configuration
	members       Members

	// What follows belongs to Run.
	memory *Memory
	// pending is a change of unknown fate.
	pending *configlog.Change
	askedAt time.Time
}

// NewService returns a service that does nothing until Run.
func NewService(lg logrus.FieldLogger, cfg Config, lessor Lessor, configuration Configuration, members Members) *Service {
	cfg.Rules = cfg.Rules.withDefaults()
	cfg.Interval = cmp.Or(cfg.Interval, DefaultInterval)
	cfg.ConfirmInterval = cmp.Or(cfg.ConfirmInterval, DefaultConfirmInterval)
	return &Service{
		lg:            lg.WithField("component", "roster"),
		cfg:           cfg,
		lessor:        lessor,
		configuration: configuration,
		members:       members,
		memory:        NewMemory(),
	}
}

// Run looks at the membership until ctx ends. A node without the lease looks
// too, so that its clocks have run when it gets the lease.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Interval)
	defer ticker.Stop()
	for {
		s.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) round(ctx context.Context) {
	state := s.configuration.Current()
	sight := NewSight(s.members.Snapshot())
	s.memory.Observe(time.Now(), state.Claims, sight)
	if !s.mayAct(state) || !s.settlePending(ctx) {
		return
	}
	s.confirm(ctx, state.Claims)
	change, ok := Propose(time.Now(), s.cfg.Rules, state.Claims, s.memory, sight)
	if !ok {
		return
	}
	submitted := configlog.NewChange(s.cfg.Node, configlog.Operation{SetClaimMembers: change})
	submitted.IfRevision = state.Revision
	s.submit(ctx, submitted)
}

// mayAct tells whether this node may change the list. It may not at revision
// zero, which IfRevision cannot name; without any configuration there is nothing
// to claim either.
func (s *Service) mayAct(state *configlog.State) bool {
	_, held := s.lessor.Held(LeaseShard)
	return held && s.configuration.Ready() && state.Revision > 0
}

// settlePending learns the fate of an earlier change by submitting it again
// under its id, and tells whether none is open any more. The state that the
// round began with may be outdated then; the next round goes on.
func (s *Service) settlePending(ctx context.Context) bool {
	if s.pending == nil {
		return true
	}
	s.submit(ctx, *s.pending)
	return false
}

func (s *Service) submit(ctx context.Context, change configlog.Change) {
	result := s.configuration.Submit(ctx, change)
	s.pending = stillOpen(s.pending, change, result.Outcome)
	list := change.Operation.SetClaimMembers
	s.lg.WithFields(logrus.Fields{
		"outcome":  result.Outcome,
		"revision": result.Revision,
		"members":  len(list.Current),
		"former":   len(list.Former),
	}).Info("claim members submitted: " + result.Message)
}

// stillOpen returns the change if its fate is not known. Where the table cannot
// be reached, nothing was written this time, but an earlier write may yet take
// effect. A conflict is final: the row that the change was meant for is taken.
func stillOpen(pending *configlog.Change, change configlog.Change, outcome configlog.Outcome) *configlog.Change {
	switch outcome {
	case configlog.OutcomeUnknown:
		return &change
	case configlog.OutcomeUnavailable:
		return pending
	default:
		return nil
	}
}

// confirm asks whether the list is applied, as long as that is open.
func (s *Service) confirm(ctx context.Context, claims configlog.ClaimMembers) {
	now := time.Now()
	if len(claims.Former) == 0 || s.memory.Settled() || now.Sub(s.askedAt) < s.cfg.ConfirmInterval {
		return
	}
	s.askedAt = now
	report := s.configuration.InForce(ctx, claims.Revision)
	s.memory.Confirm(time.Now(), s.cfg.Rules, claims, report.Confirmed)
}

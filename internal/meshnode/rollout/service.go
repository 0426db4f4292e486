package rollout

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// Config configures a Service. Zero durations and counts take the defaults of
// the constants below.
type Config struct {
	// Node is this node's name and Address the host:port of its caller port.
	Node    string
	Address string
	Table   storeclient.Table
	Objects storeclient.Objects
	Runner  Runner
	// Scorer may be nil; then every score is zero.
	Scorer storeclient.Scorer
	// Lease is how long other nodes leave a step to this one after its last
	// sign of life.
	Lease time.Duration
	// CommitInterval is the least time between two commits of a step.
	CommitInterval time.Duration
	// CallTimeout bounds each call of the platform.
	CallTimeout time.Duration
	// AckWait bounds the wait for the commit of a step's last acknowledgement.
	AckWait time.Duration
	// HandOverWait bounds how long HandOver lets running samples finish.
	HandOverWait time.Duration
	// Concurrency is the largest number of samples of a step that run at once.
	Concurrency int
	// BatchLimit is the largest number of samples in a manifest.
	BatchLimit int
	// PullLimit is the largest number of samples in an answer to a pull.
	PullLimit int
	// TailShare is the share of a step's indexes that run with
	// api.PriorityStepTail, in (0,1].
	TailShare float64
	// SecondAfter is passed on to LedgerConfig; zero means no second attempts.
	SecondAfter time.Duration
	// GroupOf tells which prompts tend to have samples of like length; nil makes
	// samples start in the order of their indexes.
	GroupOf func(prompt string) uint64
	// ScoreAttempts bounds the calls of the scoring service for one sample.
	ScoreAttempts int
	Faults        Faults
}

// Defaults of Config.
const (
	DefaultLease          = 9 * time.Second
	DefaultCommitInterval = 200 * time.Millisecond
	DefaultCallTimeout    = 2 * time.Second
	DefaultAckWait        = 2 * time.Second
	DefaultHandOverWait   = 10 * time.Second
	DefaultConcurrency    = 256
	DefaultBatchLimit     = 512
	DefaultPullLimit      = 512
	DefaultTailShare      = 0.05
	DefaultScoreAttempts  = 5
)

const (
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
	// renewalsPerLease is how often the owner renews within a lease.
	renewalsPerLease = 3
)

func (c Config) withDefaults() Config {
	c.Lease = cmp.Or(c.Lease, DefaultLease)
	c.CommitInterval = cmp.Or(c.CommitInterval, DefaultCommitInterval)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.AckWait = cmp.Or(c.AckWait, DefaultAckWait)
	c.HandOverWait = cmp.Or(c.HandOverWait, DefaultHandOverWait)
	c.Concurrency = cmp.Or(c.Concurrency, DefaultConcurrency)
	c.BatchLimit = cmp.Or(c.BatchLimit, DefaultBatchLimit)
	c.PullLimit = cmp.Or(c.PullLimit, DefaultPullLimit)
	c.TailShare = cmp.Or(c.TailShare, DefaultTailShare)
	c.ScoreAttempts = cmp.Or(c.ScoreAttempts, DefaultScoreAttempts)
	return c
}

// ledgerConfig returns the configuration of a step's ledger.
func (c Config) ledgerConfig(spec api.StepRequest, epoch int64) LedgerConfig {
	return LedgerConfig{
		Samples:         spec.SampleCount(),
		Bound:           spec.VersionBound,
		Epoch:           epoch,
		Concurrency:     c.Concurrency,
		TailShare:       c.TailShare,
		BatchLimit:      c.BatchLimit,
		RetryBackoff:    minRetryBackoff,
		MaxRetryBackoff: maxRetryBackoff,
		SecondAfter:     c.SecondAfter,
		Faults:          c.Faults,
	}
}

// ledgerConfig returns the configuration of a step's ledger on this node.
func (s *Service) ledgerConfig(spec api.StepRequest, epoch int64) LedgerConfig {
	config := s.config.ledgerConfig(spec, epoch)
	config.Order = s.lengths.order(spec)
	return config
}

type stepKey struct {
	trainer string
	step    int64
}

type trainerPool struct {
	trainer string
	pool    string
}

// Service runs the steps that this node owns and answers trainers.
type Service struct {
	lg     logrus.FieldLogger
	config Config
	store  store
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	stopping bool
	steps    map[stepKey]*ownedStep
	posting  map[stepKey]bool
	versions map[trainerPool]int64
	lengths  *lengthBook
	watch    leaseWatch
}

// NewService returns a running Service; the caller closes it.
func NewService(lg logrus.FieldLogger, config Config) *Service {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		lg:       lg,
		config:   config,
		store:    store{table: config.Table, objects: config.Objects, timeout: config.CallTimeout, ignoreFence: config.Faults.IgnoreFence},
		ctx:      ctx,
		cancel:   cancel,
		steps:    make(map[stepKey]*ownedStep),
		posting:  make(map[stepKey]bool),
		versions: make(map[trainerPool]int64),
		watch:    make(leaseWatch),
		lengths:  newLengthBook(config.GroupOf),
	}
}

// Close ends everything at once, without handing over.
func (s *Service) Close() {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.cancel()
	s.tasks.Wait()
}

// adopt begins to run a step whose row this node has written, unless the
// service stops or this node has taken the step over since.
func (s *Service) adopt(step *ownedStep) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.steps[step.key]
	if s.stopping || present != nil && present.posted.Epoch >= step.posted.Epoch {
		return false
	}
	if present != nil {
		present.end()
	}
	version := s.versions[trainerPool{step.key.trainer, step.spec.Pool}]
	step.ledger.SetVersion(version, time.Now())
	s.steps[step.key] = step
	s.tasks.Add(2)
	go func() {
		defer s.tasks.Done()
		step.scheduleLoop()
	}()
	go func() {
		defer s.tasks.Done()
		defer s.drop(step)
		step.commitLoop()
	}()
	return true
}

// drop forgets a step that this node does not own any more.
func (s *Service) drop(step *ownedStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.steps[step.key] == step {
		delete(s.steps, step.key)
	}
}

func (s *Service) owned(key stepKey) *ownedStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.steps[key]
}

func (s *Service) ownedSteps() []*ownedStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	steps := make([]*ownedStep, 0, len(s.steps))
	for _, step := range s.steps {
		steps = append(steps, step)
	}
	slices.SortFunc(steps, func(a, b *ownedStep) int {
		return cmp.Or(cmp.Compare(a.key.trainer, b.key.trainer), cmp.Compare(a.key.step, b.key.step))
	})
	return steps
}

// SetTrainerVersion tells that a trainer published a version for a pool.
func (s *Service) SetTrainerVersion(trainer, pool string, version int64) {
	s.mu.Lock()
	key := trainerPool{trainer, pool}
	s.versions[key] = max(s.versions[key], version)
	s.mu.Unlock()
	for _, step := range s.ownedSteps() {
		if step.key.trainer != trainer || step.spec.Pool != pool {
			continue
		}
		step.update(func(ledger *Ledger) { ledger.SetVersion(version, time.Now()) })
	}
}

// StepStatus is a value snapshot of a step that this node owns.
type StepStatus struct {
	Trainer string `json:"trainer"`
	Step    int64  `json:"step"`
	Pool    string `json:"pool"`
	Epoch   int64  `json:"epoch"`
	Samples int    `json:"samples"`
	Version int64  `json:"version"`
	Cursor  int64  `json:"cursor"`
	Counts
	// HandedOut is the number of positions that answers to pulls reached.
	HandedOut int64 `json:"handed_out"`
	// Since is when this node came to own the step.
	Since time.Time `json:"since"`
	// LeaseValid says whether the node may hand samples out at this moment.
	LeaseValid bool `json:"lease_valid"`
}

// Steps returns the steps that this node owns, by trainer and step.
func (s *Service) Steps() []StepStatus {
	owned := s.ownedSteps()
	statuses := make([]StepStatus, 0, len(owned))
	for _, step := range owned {
		statuses = append(statuses, step.status())
	}
	return statuses
}

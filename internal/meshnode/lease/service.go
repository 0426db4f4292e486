package lease

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/sliplift/sliplift/internal/api"
)

// Defaults of Config.
const (
	DefaultDuration            = 6 * time.Second
	DefaultSettle              = 30 * time.Second
	DefaultMoveInterval        = 10 * time.Second
	DefaultOperationsPerSecond = 4
)

// Table is what the service needs of the platform's table service. An
// *api.Error with code condition_failed, not_found or rate_limited is definite;
// any other error of Commit leaves open whether the transaction took effect.
type Table interface {
	Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error)
	Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error)
}

// Members is what the service needs of the membership.
type Members interface {
	// Alive returns the members that may hold leases, with this node: those that
	// are heard and not about to stop.
	Alive() []Member
}

// Config holds what a Service needs. Zero values mean the defaults.
type Config struct {
	// Node is this node's name. No two processes may run under one name; a
	// process that restarts may take its predecessor's.
	Node    string
	Table   Table
	Members Members
	// Duration is how long others wait before they take a lease over.
	Duration time.Duration
	// Settle is how long a member must have been preferred before a holder hands
	// over to it; MoveInterval is the least time between two such moves.
	Settle       time.Duration
	MoveInterval time.Duration
	// OperationsPerSecond bounds this node's operations on the table.
	OperationsPerSecond float64
	Faults              Faults
}

func (c Config) withDefaults() Config {
	c.Duration = cmp.Or(c.Duration, DefaultDuration)
	c.Settle = cmp.Or(c.Settle, DefaultSettle)
	c.MoveInterval = cmp.Or(c.MoveInterval, DefaultMoveInterval)
	c.OperationsPerSecond = cmp.Or(c.OperationsPerSecond, DefaultOperationsPerSecond)
	return c
}

// Service holds this node's leases. All methods may be called concurrently.
type Service struct {
	lg      logrus.FieldLogger
	cfg     Config
	timing  Timing
	limiter *rate.Limiter
	wake    chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	machines  map[string]*Machine
	placement *placement
	// unplaced is set when the shards or members changed since the last placing.
	unplaced bool
	shards   []Shard
	moving   map[string]bool
	stopping bool
	lastScan time.Time
	// tableRevision is the highest table revision that a scan told.
	tableRevision int64
	// tableSilent says that the last write got no answer.
	tableSilent bool
	subscribers map[chan struct{}]struct{}
}

// NewService returns a service without shards.
func NewService(lg logrus.FieldLogger, cfg Config) *Service {
	cfg = cfg.withDefaults()
	seed := xxhash.Sum64String("lease/" + cfg.Node)
	return &Service{
		lg:          lg,
		cfg:         cfg,
		timing:      NewTiming(cfg.Duration),
		limiter:     rate.NewLimiter(rate.Limit(cfg.OperationsPerSecond), max(1, int(2*cfg.OperationsPerSecond))),
		wake:        make(chan struct{}, 1),
		rng:         rand.New(rand.NewPCG(seed, seed)),
		machines:    map[string]*Machine{},
		placement:   newPlacement(cfg.Settle, cfg.MoveInterval),
		moving:      map[string]bool{},
		subscribers: map[chan struct{}]struct{}{},
	}
}

// SetShards replaces the set of shards. Leases of shards that are gone are
// released.
func (s *Service) SetShards(shards []Shard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shards = slices.Clone(shards)
	s.unplaced = true
	for _, shard := range shards {
		if s.machines[shard.Name] == nil {
			s.machines[shard.Name] = NewMachine(shard.Name, s.cfg.Node, s.timing, s.cfg.Faults)
		}
	}
	s.signal()
}

// forget drops the machines of shards that are gone, once they hold nothing.
// It must be called with mu held.
func (s *Service) forget() {
	for shard, machine := range s.machines {
		if s.placement.shards[shard] == nil && !machine.Holding() {
			delete(s.machines, shard)
		}
	}
}

// Held returns the epoch under which this node may give orders to the shard.
// Check it right before each order.
func (s *Service) Held(shard string) (epoch int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	machine, known := s.machines[shard]
	if !known {
		return 0, false
	}
	return machine.Held(time.Now())
}

// Status is what this node knows of a shard's lease.
type Status struct {
	Shard     string `json:"shard"`
	Holder    string `json:"holder,omitempty"`
	Epoch     int64  `json:"epoch"`
	Successor string `json:"successor,omitempty"`
	Preferred string `json:"preferred,omitempty"`
	// Acting says that this node holds the lease and may act.
	Acting bool `json:"acting,omitempty"`
	// Expired says that this node saw the row unchanged for longer than the
	// lease's duration.
	Expired bool `json:"expired,omitempty"`
	// AsOf is when this node last read or wrote the row's value, by its clock;
	// zero if never.
	AsOf time.Time `json:"as_of"`
}

// Leases returns what this node knows of all leases, by shard. A node that is
// no candidate for any shard does not read the table: see Status.AsOf.
func (s *Service) Leases() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	statuses := make([]Status, 0, len(s.shards))
	for _, shard := range s.shards {
		statuses = append(statuses, s.status(now, shard.Name))
	}
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Shard, b.Shard) })
	return statuses
}

func (s *Service) status(now time.Time, shard string) Status {
	machine := s.machines[shard]
	row, since := machine.Row()
	status := Status{
		Shard: shard, Holder: row.Record.Holder, Epoch: row.Record.Epoch, Successor: row.Record.Successor,
		AsOf: s.lastScan,
	}
	if since.After(status.AsOf) {
		status.AsOf = since
	}
	if placed, ok := s.placement.shards[shard]; ok {
		status.Preferred = placed.preferred()
	}
	_, status.Acting = machine.Held(now)
	status.Expired = status.Holder != "" && now.Sub(since) > time.Duration(row.Record.DurationMS)*time.Millisecond
	return status
}

// Subscribe returns a channel that gets a value after this node gained or lost
// a lease. The returned function ends it.
func (s *Service) Subscribe() (<-chan struct{}, func()) {
	channel := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[channel] = struct{}{}
	return channel, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, channel)
	}
}

// HandOver releases all leases in favour of the next candidates and acquires
// none any more. It returns once the table shows it, or with ctx's error; then
// the leases lapse after their duration. Run must be running.
func (s *Service) HandOver(ctx context.Context) error {
	changed, cancel := s.Subscribe()
	defer cancel()
	s.mu.Lock()
	s.stopping = true
	s.signal()
	s.mu.Unlock()
	for s.holdsAny() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
	return nil
}

func (s *Service) holdsAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, machine := range s.machines {
		if machine.Holding() {
			return true
		}
	}
	return false
}

// signal wakes Run; it does not block.
func (s *Service) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notify must be called with mu held; it does not block.
func (s *Service) notify() {
	for channel := range s.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}

func newNonce() string { return uuid.NewString() }

package backend

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// LoadClient reads the load report of the back end at address.
type LoadClient interface {
	Load(ctx context.Context, address string) (api.LoadReport, error)
}

// Config describes the node and how it watches back ends.
type Config struct {
	// Node, Zone and Region are the node's own.
	Node   string
	Zone   string
	Region string
	// PollInterval is the mean time between two load reports of a back end;
	// each wait is drawn within a quarter of it.
	PollInterval time.Duration
	// PollRate bounds the polls a second of all back ends together, by making
	// the interval longer; zero or less means no bound.
	PollRate float64
	// PollTimeout bounds one poll.
	PollTimeout time.Duration
	// SubsetSize bounds the back ends of a pool that the node uses; zero or
	// less means all.
	SubsetSize int
	Health     HealthConfig
}

// DefaultConfig returns the settings for a node of that name and place.
func DefaultConfig(node, zone, region string) Config {
	return Config{
		Node:         node,
		Zone:         zone,
		Region:       region,
		PollInterval: 500 * time.Millisecond,
		PollRate:     24,
		PollTimeout:  500 * time.Millisecond,
		SubsetSize:   16,
		Health: HealthConfig{
			Threshold:  3,
			BackoffMin: 500 * time.Millisecond,
			BackoffMax: 10 * time.Second,
		},
	}
}

// Set is the node's view of its back ends. It is safe for concurrent use.
type Set struct {
	lg     logrus.FieldLogger
	cfg    Config
	client LoadClient

	ctx    context.Context
	cancel context.CancelFunc
	polls  sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	state    *configlog.State
	leaving  map[string]struct{}
	pools    map[string]*pool
	backends map[string]*tracked
}

// pool is a configured pool with the part of its back ends that is used.
type pool struct {
	configured configlog.Pool
	used       []*tracked
}

// tracked is what the Set holds about one back end. It outlives its removal
// from the configuration while requests are in flight.
type tracked struct {
	configured configlog.Backend
	ordered    bool
	report     api.LoadReport
	reported   bool
	reportedAt time.Time
	// reportInFlight is inFlight at reportedAt.
	reportInFlight int
	inFlight       int
	// pollFailures counts consecutive polls that failed.
	pollFailures int
	requests     health
	stopPolling  context.CancelFunc
}

// NewSet returns an empty Set; it begins to poll with the first Apply.
func NewSet(lg logrus.FieldLogger, cfg Config, client LoadClient) *Set {
	ctx, cancel := context.WithCancel(context.Background())
	return &Set{
		lg:       lg,
		cfg:      cfg,
		client:   client,
		ctx:      ctx,
		cancel:   cancel,
		state:    &configlog.State{},
		leaving:  map[string]struct{}{},
		pools:    map[string]*pool{},
		backends: map[string]*tracked{},
	}
}

// Close stops polling and waits for its goroutines.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.polls.Wait()
}

// Apply makes the Set follow state. A revision lower than the current one is
// ignored.
func (s *Set) Apply(state *configlog.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || state.Revision < s.state.Revision {
		return
	}
	s.state = state
	s.rebuild()
}

// SetLeaving replaces the names of the machines that the platform lists as
// leaving.
func (s *Set) SetLeaving(names []string) {
	leaving := make(map[string]struct{}, len(names))
	for _, name := range names {
		leaving[name] = struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.leaving = leaving
	s.rebuild()
}

// rebuild brings pools, back ends and polls in line with the configuration.
func (s *Set) rebuild() {
	wanted := map[string]struct{}{}
	s.pools = make(map[string]*pool, len(s.state.Pools))
	for name, configured := range s.state.Pools {
		p := &pool{configured: configured}
		for _, b := range Subset(configured.Backends, s.cfg.Node, s.cfg.Zone, s.cfg.Region, s.cfg.SubsetSize, s.unusable) {
			wanted[b.Name] = struct{}{}
			p.used = append(p.used, s.track(b))
		}
		s.pools[name] = p
	}
	for name, t := range s.backends {
		if _, ok := wanted[name]; !ok {
			t.stopPolling()
			delete(s.backends, name)
		}
	}
}

func (s *Set) unusable(b configlog.Backend) bool {
	_, leaving := s.leaving[b.Name]
	return leaving || s.state.Drained(b)
}

// track returns the entry of a back end and polls it from now on. A new
// address means a new instance, of which nothing is known.
func (s *Set) track(b configlog.Backend) *tracked {
	t, ok := s.backends[b.Name]
	if ok && t.configured.Address != b.Address {
		t.stopPolling()
		ok = false
	}
	if !ok {
		ctx, cancel := context.WithCancel(s.ctx)
		t = &tracked{stopPolling: cancel}
		s.backends[b.Name] = t
		s.polls.Add(1)
		go s.poll(ctx, t, b)
	}
	t.configured = b
	t.ordered = s.state.Drained(b)
	return t
}

// Pool returns the configuration of a pool.
func (s *Set) Pool(name string) (configlog.Pool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[name]
	if !ok {
		return configlog.Pool{}, false
	}
	return p.configured, true
}

// Snapshot returns the view of all pools.
func (s *Set) Snapshot() routing.Snapshot {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := routing.Snapshot{Revision: s.state.Revision, Pools: make(map[string]routing.Pool, len(s.pools))}
	for name, p := range s.pools {
		snapshot.Pools[name] = s.view(p, now)
	}
	return snapshot
}

// PoolSnapshot returns the view of one pool, and false if there is none of
// that name.
func (s *Set) PoolSnapshot(name string) (routing.Pool, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[name]
	if !ok {
		return routing.Pool{}, false
	}
	return s.view(p, now), true
}

func (s *Set) view(p *pool, now time.Time) routing.Pool {
	view := routing.Pool{
		Name:     p.configured.Name,
		Kind:     p.configured.Kind,
		Backends: make([]routing.Backend, len(p.used)),
		Version:  p.configured.TargetVersion(),
	}
	for i, t := range p.used {
		view.Backends[i] = s.viewBackend(t, p.configured.MaxInFlight, now)
	}
	return view
}

func (s *Set) viewBackend(t *tracked, limit int, now time.Time) routing.Backend {
	reason := s.drainReason(t)
	view := routing.Backend{
		Name:           t.configured.Name,
		Address:        t.configured.Address,
		Zone:           t.configured.Zone,
		Region:         t.configured.Region,
		Site:           t.configured.Site,
		Running:        t.report.Running,
		Waiting:        t.report.Waiting,
		Capacity:       t.report.Capacity,
		Version:        t.report.Version,
		Reported:       t.reported,
		InFlight:       t.inFlight,
		ReportInFlight: t.reportInFlight,
		Limit:          limit,
		Suspect:        s.suspect(t, now),
		Draining:       reason != "",
		DrainReason:    reason,
	}
	if t.reported {
		view.ReportAge = now.Sub(t.reportedAt)
	}
	return view
}

func (s *Set) suspect(t *tracked, now time.Time) bool {
	return t.pollFailures >= s.cfg.Health.Threshold || t.requests.suspect(now)
}

// drainReason returns why the back end takes no new work, empty if it does.
func (s *Set) drainReason(t *tracked) routing.DrainReason {
	if t.ordered {
		return routing.DrainOrdered
	}
	if _, ok := s.leaving[t.configured.Name]; ok {
		return routing.DrainMachineList
	}
	if t.report.Leaving || t.report.Role == api.RoleDraining {
		return routing.DrainReported
	}
	return ""
}

package machinewatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

// Defaults of Config.
const (
	DefaultInterval         = time.Second
	DefaultExchangeInterval = 5 * time.Second
	DefaultPushFanout       = 8

	readersPerRegion = 1
	// readTimeout bounds one reading of the list.
	readTimeout = 10 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
)

// Lister is the platform's list of machines.
type Lister interface {
	Machines(ctx context.Context) (api.MachineList, error)
}

// Members is what the watcher needs of the membership.
type Members interface {
	// Alive returns the members that are heard, with this node.
	Alive() []configlog.Member
}

// Config holds what a Watcher needs. Zero durations and counts mean the defaults.
type Config struct {
	// Node is this node's name.
	Node     string
	Machines Lister
	Peers    peer.Caller
	// Registry takes the handlers of this watcher.
	Registry peer.Registry
	Members  Members
	// Interval is the mean time between two readings of the list by a reader.
	Interval time.Duration
	// ExchangeInterval is the mean time between two exchanges with another node.
	ExchangeInterval time.Duration
	// PushFanout is how many members a node tells of a change.
	PushFanout int
}

func (c Config) withDefaults() Config {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.ExchangeInterval == 0 {
		c.ExchangeInterval = DefaultExchangeInterval
	}
	if c.PushFanout == 0 {
		c.PushFanout = DefaultPushFanout
	}
	return c
}

// Status tells operators what a node knows of the list.
type Status struct {
	View View `json:"view"`
	// Reader tells whether this node read the list itself when it last could.
	Reader bool `json:"reader"`
	// ReadAt is when this node last read the list, by its clock; zero if never.
	ReadAt time.Time `json:"read_at"`
	// Error says why its last attempt to read failed; empty if it did not.
	Error string `json:"error,omitempty"`
}

// known is a View with its names ready for look-up.
type known struct {
	view    View
	leaving map[string]bool
}

// Watcher is a node's knowledge of the machines that are leaving. Its methods
// may be called concurrently.
type Watcher struct {
	lg       logrus.FieldLogger
	cfg      Config
	onChange func(leaving []string)
	known    atomic.Pointer[known]
	changed  chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	status Status
}

// NewWatcher returns a Watcher that knows of no machine that is leaving, and
// registers its handlers; call it before the transport starts. onChange, if not
// nil, is called by Run, one call at a time, with the sorted names after they
// changed; changes in quick succession may give one call.
func NewWatcher(lg logrus.FieldLogger, cfg Config, onChange func(leaving []string)) *Watcher {
	if onChange == nil {
		onChange = func([]string) {}
	}
	seed := xxhash.Sum64String("machinewatch/" + cfg.Node)
	w := &Watcher{
		lg:       lg.WithField("component", "machinewatch"),
		cfg:      cfg.withDefaults(),
		onChange: onChange,
		changed:  make(chan struct{}, 1),
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
	w.known.Store(&known{leaving: map[string]bool{}})
	cfg.Registry.Handle(KindLeaving, w.handleLeaving)
	cfg.Registry.Handle(KindExchange, w.handleExchange)
	return w
}

// Leaving returns the names of the machines that are leaving. The map is shared:
// callers must not change it.
func (w *Watcher) Leaving() map[string]bool { return w.known.Load().leaving }

// Status returns what this node knows of the list.
func (w *Watcher) Status() Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	status := w.status
	status.View = w.known.Load().view
	return status
}

// Run reads the list where this node is a reader, compares with other nodes, and
// calls onChange, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { w.every(ctx, w.cfg.Interval, w.readIfReader) })
	running.Go(func() { w.every(ctx, w.cfg.ExchangeInterval, w.exchange) })
	running.Go(func() { w.announce(ctx) })
	running.Wait()
}

func (w *Watcher) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.changed:
			w.onChange(slices.Clone(w.known.Load().view.Leaving))
		}
	}
}

// every calls act at intervals of half to one and a half of the mean.
func (w *Watcher) every(ctx context.Context, mean time.Duration, act func(ctx context.Context)) {
	for ctx.Err() == nil {
		act(ctx)
		timer := time.NewTimer(w.jitter(mean))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (w *Watcher) jitter(mean time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration((0.5 + w.random.Float64()) * float64(mean))
}

// others returns at most count alive members but this node, in random order.
func (w *Watcher) others(count int) []configlog.Member {
	others := slices.DeleteFunc(slices.Clone(w.cfg.Members.Alive()), func(m configlog.Member) bool {
		return m.Name == w.cfg.Node
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.random.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(count, len(others))]
}

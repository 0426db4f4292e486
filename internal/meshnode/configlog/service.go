package configlog

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

// Defaults of Config.
const (
	DefaultPollInterval     = time.Second
	DefaultOperationTimeout = 2 * time.Second
	DefaultSubmitTimeout    = 10 * time.Second
	DefaultPeerTimeout      = 500 * time.Millisecond
	DefaultConfirmationAge  = time.Second
	DefaultReadersPerRegion = 2
	DefaultPushFanout       = 8

	// pollBackoffMax bounds the time between polls while the table is down.
	pollBackoffMax = 5 * time.Second
	// peerConcurrency bounds the peers that are asked at once.
	peerConcurrency = 32
	// pushEntries is how many of the newest entries a push carries, so that a
	// member that missed one push needs no pull after the next.
	pushEntries = 3
	// openLimit bounds the changes of unknown fate that a node remembers.
	openLimit = 256
	// pullBacklog bounds the peers that wait to be pulled from.
	pullBacklog = 16
)

// Config holds what a Service needs. Zero durations and counts mean the
// defaults.
type Config struct {
	// Node and Address are this node's name and peer address.
	Node    string
	Address string
	Table   Table
	Peers   peer.Caller
	// Registry takes the handlers of this service.
	Registry peer.Registry
	Members  Members
	Sink     history.Sink
	// SetDigest is told this node's revision, for its heartbeats; may be nil.
	SetDigest func(revision int64)

	// PollInterval is the mean time between two reads of the table by a reader.
	PollInterval time.Duration
	// OperationTimeout bounds one operation on the table.
	OperationTimeout time.Duration
	// SubmitTimeout bounds Submit where its context has no earlier deadline.
	SubmitTimeout time.Duration
	// PeerTimeout bounds one question to a peer.
	PeerTimeout time.Duration
	// ConfirmationAge is how long a confirmation is repeated without asking.
	ConfirmationAge  time.Duration
	ReadersPerRegion int
	PushFanout       int
	Faults           Faults
}

func (c Config) withDefaults() Config {
	c.PollInterval = cmp.Or(c.PollInterval, DefaultPollInterval)
	c.OperationTimeout = cmp.Or(c.OperationTimeout, DefaultOperationTimeout)
	c.SubmitTimeout = cmp.Or(c.SubmitTimeout, DefaultSubmitTimeout)
	c.PeerTimeout = cmp.Or(c.PeerTimeout, DefaultPeerTimeout)
	c.ConfirmationAge = cmp.Or(c.ConfirmationAge, DefaultConfirmationAge)
	c.ReadersPerRegion = cmp.Or(c.ReadersPerRegion, DefaultReadersPerRegion)
	c.PushFanout = cmp.Or(c.PushFanout, DefaultPushFanout)
	if c.Sink == nil {
		c.Sink = history.Discard{}
	}
	if c.SetDigest == nil {
		c.SetDigest = func(int64) {}
	}
	return c
}

// Service is a node's copy of the configuration. All methods may be called
// concurrently.
type Service struct {
	lg     logrus.FieldLogger
	cfg    Config
	store  *Store
	jitter *jitter

	log     atomic.Pointer[Log]
	ready   atomic.Bool
	pulls   chan string
	compact chan struct{}
	// unread counts the reads that did not succeed before the node was ready. It
	// belongs to pollLoop.
	unread int

	// applying orders adoptions, so that the digest and the history never show
	// a node going back.
	applying sync.Mutex

	mu            sync.Mutex
	subscribers   map[chan struct{}]struct{}
	open          map[string]int64
	confirmations map[string]confirmation
}

// NewService returns a service at revision zero and registers its handlers. It
// learns the configuration once Run runs.
func NewService(lg logrus.FieldLogger, cfg Config) *Service {
	cfg = cfg.withDefaults()
	seed := xxhash.Sum64String(cfg.Node)
	s := &Service{
		lg:            lg,
		cfg:           cfg,
		store:         NewStore(timedTable{table: cfg.Table, timeout: cfg.OperationTimeout}, seed, cfg.Faults),
		jitter:        newJitter(seed + 1),
		pulls:         make(chan string, pullBacklog),
		compact:       make(chan struct{}, 1),
		subscribers:   map[chan struct{}]struct{}{},
		open:          map[string]int64{},
		confirmations: map[string]confirmation{},
	}
	s.log.Store(NewLog())
	cfg.Registry.Handle(KindPush, s.handlePush)
	cfg.Registry.Handle(KindPull, s.handlePull)
	cfg.Registry.Handle(KindStatus, s.handleStatus)
	return s
}

// Run polls the table, pulls from peers and compacts the log until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { s.pollLoop(ctx) })
	running.Go(func() { s.pullLoop(ctx) })
	running.Go(func() { s.compactLoop(ctx) })
	running.Wait()
}

// Current returns the configuration that this node applied last. It is shared:
// callers must not change it.
func (s *Service) Current() *State { return s.log.Load().State() }

// Entries returns the newest entries that this node holds, oldest first. A node
// that started from a snapshot lacks those before it.
func (s *Service) Entries() []Entry { return slices.Clone(s.log.Load().entries) }

// Ready tells whether this node knows the newest configuration as well as its
// start allows; see the package comment. Once ready, a node stays ready.
func (s *Service) Ready() bool { return s.ready.Load() }

// Subscribe returns a channel that gets a value after Current or Ready changed;
// several changes may give one value. The returned function ends it.
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

// adopt makes log this node's configuration if it is newer, and tells whether
// it was.
func (s *Service) adopt(log *Log) bool {
	s.applying.Lock()
	defer s.applying.Unlock()
	current := s.log.Load()
	if log.Revision() == current.Revision() {
		return false
	}
	if log.Revision() < current.Revision() && !s.cfg.Faults.ApplyLowerRevisions {
		return false
	}
	s.log.Store(log)
	s.cfg.SetDigest(log.Revision())
	s.cfg.Sink.Record(history.Event{Kind: history.KindConfigApplied, Process: s.cfg.Node, Revision: log.Revision()})
	s.notify()
	return true
}

func (s *Service) becomeReady(reason string) {
	if s.ready.Swap(true) {
		return
	}
	s.lg.WithField("revision", s.Current().Revision).Infof("configuration ready: %s", reason)
	s.notify()
}

func (s *Service) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for channel := range s.subscribers {
		select {
		case channel <- struct{}{}:
		default:
		}
	}
}

func (s *Service) pollLoop(ctx context.Context) {
	delay := s.cfg.PollInterval
	for ctx.Err() == nil {
		if !s.Ready() || IsReader(s.cfg.Node, s.cfg.Members.Alive(), s.cfg.ReadersPerRegion) {
			delay = s.nextDelay(s.poll(ctx), delay)
		}
		timer := time.NewTimer(s.jitter.spread(delay))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// nextDelay backs off while the table is down. A node that is not ready does
// not back off, because its peers may answer at any moment.
func (s *Service) nextDelay(err error, delay time.Duration) time.Duration {
	if err == nil || !s.Ready() {
		return s.cfg.PollInterval
	}
	return min(2*delay, max(pollBackoffMax, s.cfg.PollInterval))
}

// poll reads the table; a node that is not ready and gets no answer turns to
// its peers.
func (s *Service) poll(ctx context.Context) error {
	log, err := s.store.Read(ctx, s.log.Load())
	if err == nil {
		s.learn(log)
		s.becomeReady("read from the table")
		return nil
	}
	if ctx.Err() != nil {
		return err
	}
	s.reportUnread(err)
	if !s.Ready() && s.catchUpWithPeers(ctx) {
		s.becomeReady("a majority of the members told their revisions")
	}
	return err
}

// unreadWarnings is the number of unsuccessful reads after which a node that is
// not ready says so again.
const unreadWarnings = 10

// reportUnread logs a read that did not succeed. A node that waits for its
// first configuration says so where operators look.
func (s *Service) reportUnread(err error) {
	lg := s.lg.WithError(err)
	if s.Ready() {
		lg.Debug("cannot read the configuration log")
		return
	}
	if s.unread%unreadWarnings == 0 {
		lg.Warn("the table service does not answer; the node waits for its configuration and is not ready")
	}
	s.unread++
}

// learn adopts a log that this node read or wrote, and pushes what is new.
func (s *Service) learn(log *Log) {
	if s.adopt(log) && s.Ready() {
		s.push()
	}
}

func (s *Service) compactLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.compact:
		}
		if err := s.store.Compact(ctx, s.log.Load()); err != nil {
			s.lg.WithError(err).Warn("cannot compact the configuration log; the next compaction will")
		}
	}
}

// Submit brings the change into the log. It returns by the end of ctx, or of
// SubmitTimeout if that is sooner. Once it answers OutcomeAccepted, Current on
// this node holds the change.
func (s *Service) Submit(ctx context.Context, change Change) Result {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.SubmitTimeout)
	defer cancel()
	result, log := s.store.Submit(ctx, s.log.Load(), change)
	s.learn(log)
	switch result.Outcome {
	case OutcomeUnknown:
		s.rememberOpen(change.ID, result.OpenRevision)
	case OutcomeAccepted:
		if result.Revision%compactEvery == 0 {
			s.requestCompaction()
		}
	}
	return result
}

func (s *Service) requestCompaction() {
	select {
	case s.compact <- struct{}{}:
	default:
	}
}

func (s *Service) rememberOpen(id string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= openLimit {
		clear(s.open) // later questions about these stay unknown, which is true
	}
	s.open[id] = revision
}

// Lookup tells the fate of a change that was submitted before.
func (s *Service) Lookup(ctx context.Context, id string) Result {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.OperationTimeout)
	defer cancel()
	log, err := s.store.Read(ctx, s.log.Load())
	if err == nil {
		s.learn(log)
	}
	log = s.log.Load()
	s.mu.Lock()
	openRevision := s.open[id]
	s.mu.Unlock()
	return lookupResult(log, id, openRevision, err)
}

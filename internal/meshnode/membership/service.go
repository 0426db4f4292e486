package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

const (
	tickInterval = 100 * time.Millisecond
	// snapshotAge bounds the age of the HeardAt and Digest values in a Snapshot.
	snapshotAge = time.Second
)

// Transport is what a Service needs of package peer.
type Transport interface {
	peer.Caller
	peer.Registry
}

// ServiceConfig says whom a Service speaks for and where it looks for others.
type ServiceConfig struct {
	Self     Identity
	Protocol Config
	Seeds    []Seed
	// OnDigest, if set, is called with the digest of each message that came from
	// a known member. Calls are concurrent; they must not block.
	OnDigest func(from Member, digest int64)
}

// Service runs a Machine over a transport. It is safe for concurrent use.
type Service struct {
	lg        logrus.FieldLogger
	cfg       ServiceConfig
	transport Transport
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup

	// mu guards what follows; it is never held over I/O or callbacks.
	mu       sync.Mutex
	machine  *Machine
	snapshot *Snapshot
	changes  chan struct{}
}

// NewService registers the protocol's handlers with the transport; call it
// before the transport starts. Nothing is sent until Start.
func NewService(lg logrus.FieldLogger, cfg ServiceConfig, transport Transport) *Service {
	if cfg.Protocol == (Config{}) {
		cfg.Protocol = DefaultConfig()
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(cfg.Self.Name), uint64(cfg.Self.Incarnation)))
	ctx, cancel := context.WithCancel(context.Background())
	now := time.Now()
	s := &Service{
		lg:        lg.WithField("component", "membership"),
		cfg:       cfg,
		transport: transport,
		ctx:       ctx,
		cancel:    cancel,
		machine:   NewMachine(cfg.Protocol, cfg.Self, random, now),
		changes:   make(chan struct{}),
	}
	s.machine.AddSeeds(cfg.Seeds...)
	s.snapshot = s.machine.Snapshot(now)
	handle[Ping](s, KindPing)
	handle[Ack](s, KindAck)
	handle[ProbeRequest](s, KindProbeRequest)
	handle[Nack](s, KindNack)
	handle[Gossip](s, KindGossip)
	handle[Sync](s, KindSync)
	handle[Buckets](s, KindBuckets)
	handle[Entries](s, KindEntries)
	handle[Delta](s, KindDelta)
	return s
}

func handle[P Payload](s *Service, kind peer.Kind) {
	s.transport.Handle(kind, func(_ context.Context, from string, body json.RawMessage) (any, error) {
		var payload P
		if err := json.Unmarshal(body, &payload); err != nil {
			return nil, err
		}
		s.receive(from, payload)
		return nil, nil
	})
}

// Start begins to probe and returns.
func (s *Service) Start() {
	s.running.Go(s.tick)
}

// Close ends the service without announcing anything; see Leave.
func (s *Service) Close() {
	s.cancel()
	s.running.Wait()
}

// Snapshot returns the view of now: states are current, HeardAt and Digest at
// most a second old.
func (s *Service) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.snapshot.Version != s.machine.Version() || now.Sub(s.snapshot.At) >= snapshotAge {
		s.snapshot = s.machine.Snapshot(now)
	}
	return s.snapshot
}

// Alive returns the alive members, this node included, sorted by name.
func (s *Service) Alive() []Member { return s.Snapshot().Alive() }

// Changes returns a channel that is closed at the next change of a member's
// state or identity. To miss none, take it before the Snapshot.
func (s *Service) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// SetDigest sets the value that goes with all messages from now on.
func (s *Service) SetDigest(digest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.SetDigest(digest)
}

// Leave announces the planned stop, and returns when the news is on its way to
// enough members or ctx ends. The service goes on answering until Close.
func (s *Service) Leave(ctx context.Context) error {
	s.drive(func(now time.Time) []Envelope { return s.machine.Leave(now) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !s.announced() {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *Service) announced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Announced()
}

func (s *Service) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.drive(func(now time.Time) []Envelope { return s.machine.Tick(now) })
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Service) receive(from string, payload Payload) {
	if s.ctx.Err() != nil {
		return
	}
	accepted, known := false, false
	var sender Member
	s.drive(func(now time.Time) []Envelope {
		out, ok := s.machine.Receive(now, from, payload)
		accepted = ok
		sender, known = s.machine.Member(from)
		return out
	})
	if accepted && known && s.cfg.OnDigest != nil {
		s.cfg.OnDigest(sender, payload.heartbeat().Digest)
	}
}

// drive runs one step of the machine, publishes what changed and sends what
// came out.
func (s *Service) drive(step func(now time.Time) []Envelope) {
	out, changes := s.step(step)
	s.logChanges(changes)
	for _, envelope := range out {
		s.transport.Send(envelope.Address, envelope.Payload.Kind(), envelope.Payload)
	}
}

func (s *Service) step(step func(now time.Time) []Envelope) ([]Envelope, []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.machine.Version()
	out := step(time.Now())
	if s.machine.Version() != before {
		close(s.changes)
		s.changes = make(chan struct{})
	}
	return out, s.machine.TakeChanges()
}

func (s *Service) logChanges(changes []Change) {
	for _, change := range changes {
		s.lg.WithFields(logrus.Fields{
			"member":      change.Member,
			"region":      change.Region,
			"incarnation": change.Incarnation,
			"state":       change.State,
			"source":      change.Source,
			"observers":   change.Observers,
		}).Info("membership changed")
	}
}

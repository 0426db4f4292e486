package peer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"
)

const (
	// ErrNotSent marks a call of which no byte was sent: the other node has not
	// seen the request and never will.
	ErrNotSent = errs.Tag("peer: not sent")
	// ErrNoAnswer marks a call that was sent and whose response did not come:
	// the other node may have handled it.
	ErrNoAnswer = errs.Tag("peer: no answer")
	// ErrRemote marks a call that the other node's handler answered with an error.
	ErrRemote = errs.Tag("peer: remote error")
	// ErrTooLarge marks a message that is longer than the line limit; it was
	// not sent.
	ErrTooLarge = errs.Tag("peer: message too large")
)

// Transport is a node's end of the connections to other nodes. It implements
// Caller, Registry and prometheus.Collector and is safe for concurrent use.
type Transport struct {
	lg       logrus.FieldLogger
	cfg      Config
	limits   Limits
	hello    hello
	counters *counters
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	// mu guards what follows. It is never held over I/O, and no link's lock is
	// taken under it.
	mu       sync.Mutex
	closed   bool
	handlers map[Kind]Handler
	peers    map[string]*remote
	links    map[*link]struct{}
	nextID   uint64
	random   *rand.Rand
}

// remote is what a Transport knows of one address.
type remote struct {
	link *link
	// failures counts dials that failed in a row; no dial happens before
	// notBefore.
	failures  int
	notBefore time.Time
}

var (
	_ Caller   = (*Transport)(nil)
	_ Registry = (*Transport)(nil)
)

// NewTransport returns a Transport that accepts no connection until Start.
func NewTransport(lg logrus.FieldLogger, cfg Config) *Transport {
	if cfg.Address == "" && cfg.Listener != nil {
		cfg.Address = cfg.Listener.Addr().String()
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		lg:       lg.WithField("component", "peer"),
		cfg:      cfg,
		limits:   cfg.Limits.withDefaults(),
		hello:    hello{Protocol: protocolName, Version: protocolVersion, Node: cfg.Node, Incarnation: cfg.Incarnation, Address: cfg.Address},
		counters: newCounters(),
		ctx:      ctx,
		cancel:   cancel,
		handlers: map[Kind]Handler{},
		peers:    map[string]*remote{},
		links:    map[*link]struct{}{},
		random:   rand.New(rand.NewPCG(xxhash.Sum64String(cfg.Node), uint64(cfg.Incarnation))),
	}
}

// Address returns where other nodes reach this one.
func (t *Transport) Address() string { return t.cfg.Address }

// Handle implements Registry; call it before Start.
func (t *Transport) Handle(kind Kind, handler Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[kind] = handler
}

// Start begins to accept connections and returns.
func (t *Transport) Start() {
	if t.cfg.Listener != nil {
		t.spawn(t.accept)
	}
	t.spawn(t.closeUnused)
}

// Close ends all connections and handlers' contexts and waits for the
// handlers to return.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	var err error
	if t.cfg.Listener != nil {
		err = t.cfg.Listener.Close()
	}
	for _, l := range t.openLinks() {
		l.close(errClosed)
	}
	t.running.Wait()
	return err
}

// Stats returns a snapshot of the counters.
func (t *Transport) Stats() Stats {
	stats := t.counters.snapshot()
	t.mu.Lock()
	stats.Connections = len(t.links)
	t.mu.Unlock()
	return stats
}

// Send implements Caller.
func (t *Transport) Send(address string, kind Kind, body any) {
	line, err := t.encode(Message{Kind: kind}, body)
	if err != nil {
		t.counters.dropped(DropTooLarge, 1)
		t.lg.WithError(err).WithField("kind", kind).Warn("message not encoded")
		return
	}
	if err := t.enqueue(address, &outgoing{kind: kind, line: line}); err != nil {
		t.counters.dropped(DropUnreachable, 1)
	}
}

// Call implements Caller. Its errors are marked ErrNotSent, ErrNoAnswer,
// ErrRemote or ErrTooLarge. A nil response drops the answer's body.
func (t *Transport) Call(ctx context.Context, address string, kind Kind, body, response any) error {
	ctx, cancel := t.withDeadline(ctx)
	defer cancel()
	call := &call{id: t.newID(), done: make(chan result, 1)}
	line, err := t.encode(Message{Kind: kind, ID: call.id, TimeoutMS: remainingMS(ctx)}, body)
	if err != nil {
		return err
	}
	if err := t.enqueue(address, &outgoing{kind: kind, line: line, call: call}); err != nil {
		return ErrNotSent.Wrap(err)
	}
	select {
	case answer := <-call.done:
		return answer.decode(response)
	case <-ctx.Done():
		return call.link.abandon(call, ctx.Err())
	}
}

func (t *Transport) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, t.limits.CallTimeout)
}

func remainingMS(ctx context.Context) int64 {
	deadline, _ := ctx.Deadline()
	return max(1, time.Until(deadline).Milliseconds())
}

func (t *Transport) newID() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	return t.nextID
}

func (t *Transport) encode(message Message, body any) ([]byte, error) {
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		message.Body = encoded
	}
	return encodeLine(message, t.limits.LineBytes)
}

// enqueue hands a message to the address's connection. A connection that
// closes at this very moment is replaced once.
func (t *Transport) enqueue(address string, message *outgoing) error {
	for range 2 {
		l, err := t.linkTo(address)
		if err != nil {
			return err
		}
		err = l.enqueue(message)
		if !errors.Is(err, errLinkClosed) {
			return err
		}
	}
	return errLinkClosed.Errorf("%s", address)
}

// linkTo returns the connection to an address, or a new one that is dialled
// when the first message is queued.
func (t *Transport) linkTo(address string) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	known := t.peers[address]
	if known == nil {
		known = &remote{}
		t.peers[address] = known
	}
	if known.link != nil && !known.link.closed.Load() {
		return known.link, nil
	}
	if wait := time.Until(known.notBefore); wait > 0 {
		return nil, errBackoff.Errorf("%s for another %s", address, wait)
	}
	known.link = newLink(t, address)
	t.links[known.link] = struct{}{}
	return known.link, nil
}

// track lets Close know of an accepted connection; false if it is too late.
func (t *Transport) track(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.links[l] = struct{}{}
	return true
}

// adopt takes an accepted connection into use: messages to its address go over
// it, unless there is one already to the same process.
func (t *Transport) adopt(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.address = l.advertised
	if l.address == "" || l.closed.Load() {
		return
	}
	known := t.peers[l.address]
	if known == nil {
		known = &remote{}
		t.peers[l.address] = known
	}
	known.failures = 0
	known.notBefore = time.Time{}
	if known.link == nil || known.link.closed.Load() || known.link.olderThan(l) {
		known.link = l
	}
}

// connected ends the address's back-off.
func (t *Transport) connected(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[address]; known != nil {
		known.failures = 0
		known.notBefore = time.Time{}
	}
}

// dialFailed lengthens the address's back-off. The jitter keeps nodes that
// lost the same peer from coming back at once.
func (t *Transport) dialFailed(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[address]
	if known == nil {
		return
	}
	const maxShift = 16
	backoff := min(t.limits.BackoffMin<<min(known.failures, maxShift), t.limits.BackoffMax)
	known.failures++
	known.notBefore = time.Now().Add(backoff/2 + time.Duration(t.random.Int64N(int64(backoff/2)+1)))
}

// forget drops a closed connection.
func (t *Transport) forget(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.links, l)
	known := t.peers[l.address]
	if known == nil || known.link != l {
		return
	}
	known.link = nil
	if known.failures == 0 {
		delete(t.peers, l.address)
	}
}

func (t *Transport) openLinks() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make([]*link, 0, len(t.links))
	for l := range t.links {
		open = append(open, l)
	}
	return open
}

func (t *Transport) handler(kind Kind) Handler {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handlers[kind]
}

// spawn runs a goroutine that Close waits for; false if it is too late.
func (t *Transport) spawn(run func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		run()
	}()
	return true
}

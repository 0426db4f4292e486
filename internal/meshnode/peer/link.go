package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs/v2"
)

const (
	errClosed     = errs.Tag("transport closed")
	errBackoff    = errs.Tag("dial backing off")
	errLinkClosed = errs.Tag("connection closed")
	errQueueFull  = errs.Tag("send queue full")
	errIdle       = errs.Tag("connection idle")
	errSilent     = errs.Tag("connection silent")

	readBufferBytes = 2 << 10
	writeBatchBytes = 64 << 10
)

// outgoing is a line that waits to be written.
type outgoing struct {
	kind Kind
	line []byte
	// call is set for requests, response for answers; neither for one-way
	// messages, which alone may be dropped for newer ones.
	call     *call
	response bool
}

func (o *outgoing) oneWay() bool { return o.call == nil && !o.response }

// call is a request that waits for its response. The link's lock guards
// written.
type call struct {
	id      uint64
	link    *link
	written bool
	done    chan result
}

type result struct {
	message Message
	err     error
}

func (r result) decode(response any) error {
	if r.err != nil {
		return r.err
	}
	if r.message.Error != "" {
		return ErrRemote.Errorf("%s", r.message.Error)
	}
	if response == nil {
		return nil
	}
	return ErrMalformed.Wrap(json.Unmarshal(r.message.Body, response))
}

// link is one connection with its send queue. A response goes back over the
// link of its request and nowhere else, so that an id is never taken for that
// of another process. Idle, a link costs one goroutine (the reader); a writer
// runs only while the queue is not empty.
type link struct {
	t      *Transport
	ctx    context.Context
	cancel context.CancelFunc
	// address is the key in Transport.peers; the transport's lock guards it
	// while the link is being accepted. advertised is what an accepted
	// connection's hello gave.
	address    string
	advertised string
	// incarnation of the other end, zero until its hello.
	incarnation atomic.Int64
	// closed is set under mu.
	closed atomic.Bool

	mu       sync.Mutex
	conn     net.Conn
	node     string
	accepted bool
	queue    []*outgoing
	writing  bool
	pending  map[uint64]*call
	handlers int
	lastUsed time.Time
	// unansweredSince is the time of the first write after the last read.
	unansweredSince time.Time
}

func newLink(t *Transport, address string) *link {
	ctx, cancel := context.WithCancel(t.ctx)
	return &link{t: t, address: address, ctx: ctx, cancel: cancel, pending: map[uint64]*call{}, lastUsed: time.Now()}
}

// olderThan tells whether the link leads to an earlier process of the node. A
// link that is being dialled is not.
func (l *link) olderThan(other *link) bool {
	incarnation := l.incarnation.Load()
	return incarnation != 0 && incarnation < other.incarnation.Load()
}

// enqueue queues a message and sees to it that a writer runs.
func (l *link) enqueue(message *outgoing) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		return errLinkClosed
	}
	if len(l.queue) >= l.t.limits.QueueLength && !l.dropOldest() {
		return errQueueFull
	}
	if !l.writing && !l.t.spawn(l.write) {
		return errClosed
	}
	l.writing = true
	l.queue = append(l.queue, message)
	if message.call != nil {
		message.call.link = l
		l.pending[message.call.id] = message.call
	}
	return nil
}

func (l *link) dropOldest() bool {
	for i, message := range l.queue {
		if message.oneWay() {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			l.t.counters.dropped(DropQueueFull, 1)
			return true
		}
	}
	return false
}

// write dials if need be and writes until the queue is empty.
func (l *link) write() {
	conn, err := l.connect()
	if err != nil {
		l.close(err)
		return
	}
	for {
		batch := l.nextBatch()
		if len(batch) == 0 {
			return
		}
		if err := l.writeBatch(conn, batch); err != nil {
			l.close(err)
			return
		}
	}
}

// connect returns the open connection, or dials and starts its reader.
func (l *link) connect() (net.Conn, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, reader, err := l.dial()
	if err != nil {
		l.t.counters.update(func(s *Stats) { s.DialFailures++ })
		l.t.dialFailed(l.address)
		return nil, err
	}
	if !l.established(conn) || !l.t.spawn(func() { l.read(reader) }) {
		conn.Close()
		return nil, errLinkClosed
	}
	l.t.connected(l.address)
	return conn, nil
}

func (l *link) established(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed.Load() {
		return false
	}
	l.conn = conn
	return true
}

func (l *link) dial() (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.t.limits.DialTimeout)
	defer cancel()
	l.t.counters.update(func(s *Stats) { s.Dials++ })
	conn, err := l.t.cfg.Dial(ctx, "tcp", l.address)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	err = l.t.sendHello(conn)
	if err == nil {
		err = l.receiveHello(reader)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, reader, nil
}

func (t *Transport) sendHello(conn net.Conn) error {
	line, err := encodeLine(t.hello, t.limits.LineBytes)
	if err != nil {
		return err
	}
	_, err = conn.Write(line)
	return err
}

func (l *link) receiveHello(reader *bufio.Reader) error {
	line, err := readLine(reader, readBufferBytes)
	if err != nil {
		return err
	}
	greeting, err := decodeHello(line)
	if err != nil {
		l.t.counters.update(func(s *Stats) { s.Malformed++ })
		return err
	}
	l.incarnation.Store(greeting.Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node = greeting.Node
	if l.accepted {
		l.advertised = greeting.Address
	}
	return nil
}

// nextBatch takes messages off the queue. An empty batch ends the writer.
func (l *link) nextBatch() []*outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	size, count := 0, 0
	for _, message := range l.queue {
		if count > 0 && size+len(message.line) > writeBatchBytes {
			break
		}
		size += len(message.line)
		count++
		if message.call != nil {
			message.call.written = true
		}
	}
	batch := l.queue[:count:count]
	l.queue = l.queue[count:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	l.writing = count > 0
	return batch
}

func (l *link) writeBatch(conn net.Conn, batch []*outgoing) error {
	lines := make(net.Buffers, 0, len(batch))
	for _, message := range batch {
		lines = append(lines, message.line)
	}
	now := time.Now()
	if err := conn.SetWriteDeadline(now.Add(l.t.limits.WriteTimeout)); err != nil {
		return err
	}
	l.wrote(now)
	if _, err := lines.WriteTo(conn); err != nil {
		return err
	}
	for _, message := range batch {
		l.t.counters.sent(message.kind, len(message.line))
	}
	return nil
}

func (l *link) wrote(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = now
	if l.unansweredSince.IsZero() {
		l.unansweredSince = now
	}
}

// abandon gives a call up and tells whether it was sent.
func (l *link) abandon(c *call, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, c.id)
	if c.written {
		return ErrNoAnswer.Wrap(cause)
	}
	for i, message := range l.queue {
		if message.call == c {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			break
		}
	}
	return ErrNotSent.Wrap(cause)
}

// close ends the link, once, and settles what waited for it.
func (l *link) close(cause error) {
	l.mu.Lock()
	if l.closed.Swap(true) {
		l.mu.Unlock()
		return
	}
	conn, queue, pending := l.conn, l.queue, l.pending
	l.queue, l.pending = nil, map[uint64]*call{}
	l.mu.Unlock()

	l.cancel()
	if conn != nil {
		conn.Close()
	}
	l.t.forget(l)
	dropped := 0
	for _, message := range queue {
		if message.call == nil {
			dropped++
		}
	}
	l.t.counters.dropped(DropConnection, dropped)
	for _, c := range pending {
		if c.written {
			c.done <- result{err: ErrNoAnswer.Wrap(cause)}
		} else {
			c.done <- result{err: ErrNotSent.Wrap(cause)}
		}
	}
}

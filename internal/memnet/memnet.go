// Package memnet is an in-memory network of named hosts for tests that run a
// whole cluster inside a testing/synctest bubble, where real sockets cannot be
// used. Connections are synchronous pipes. Links between hosts can be cut and
// healed, and hosts can be killed. After Cut returns, no connection over the
// link is open or comes about before Heal.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs/v2"
)

// ErrRefused is returned when nobody listens on an address.
const ErrRefused = errs.Tag("memnet: connection refused")

// ErrClosed is returned by a closed listener.
const ErrClosed = errs.Tag("memnet: listener closed")

const acceptBacklog = 64

// Network is a set of listeners and the state of the links between hosts. It
// is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	connections map[*connection]struct{}
	cuts        map[link]struct{}
}

// link is the way between two hosts, in both directions.
type link struct{ a, b string }

func linkBetween(a, b string) link { return link{min(a, b), max(a, b)} }

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners:   map[string]*listener{},
		connections: map[*connection]struct{}{},
		cuts:        map[link]struct{}{},
	}
}

// Listen opens address (host:port) and returns its listener.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[address]; taken {
		return nil, errs.Errorf("memnet: %s is in use", address)
	}
	l := &listener{network: n, address: address, accept: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for the host, for http.Transport.DialContext
// and for the peer transport. A dial over a cut link waits until ctx ends, as a
// lost SYN would.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to := hostOf(address)
	n.mu.Lock()
	target, listening := n.listeners[address]
	_, cut := n.cuts[linkBetween(from, to)]
	var client, server *connection
	if listening && !cut {
		client, server = n.newPair(from, to)
	}
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !listening {
		return nil, refused(address)
	}
	if target.queue(ctx, server) {
		return client, nil
	}
	client.Close()
	server.Close()
	return nil, refused(address)
}

// refused returns an ErrRefused that is also the one of a real network.
func refused(address string) error {
	return ErrRefused.Wrap(fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED))
}

// newPair is called with mu held, so that a Cut or Kill either prevents the
// connection or finds it.
func (n *Network) newPair(from, to string) (client, server *connection) {
	clientPipe, serverPipe := net.Pipe()
	client = &connection{Conn: clientPipe, network: n, from: from, to: to}
	server = &connection{Conn: serverPipe, network: n, from: to, to: from}
	n.connections[client] = struct{}{}
	n.connections[server] = struct{}{}
	return client, server
}

// Cut drops the link between two hosts: open connections break, and new ones
// hang until their context ends.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	cut := linkBetween(a, b)
	n.cuts[cut] = struct{}{}
	broken := n.connectionsOver(cut)
	n.mu.Unlock()
	for _, c := range broken {
		c.Close()
	}
}

// Silence makes the open connections over the link between two hosts silent for good:
// what is written to them is lost, nothing comes from them, and neither end learns of
// the other's close. Connections that are made later work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.connectionsOver(linkBetween(a, b)) {
		c.silent.Store(true)
	}
}

// Heal restores the link between two hosts.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, linkBetween(a, b))
}

// Kill closes every listener and connection of a host, as the death of its
// process would.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var listeners []*listener
	for address, l := range n.listeners {
		if hostOf(address) == host {
			listeners = append(listeners, l)
		}
	}
	var broken []*connection
	for c := range n.connections {
		if c.from == host || c.to == host {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, c := range broken {
		c.Close()
	}
}

func (n *Network) connectionsOver(l link) []*connection {
	var found []*connection
	for c := range n.connections {
		if linkBetween(c.from, c.to) == l {
			found = append(found, c)
		}
	}
	return found
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// connection forgets itself on Close so that a Network does not grow.
type connection struct {
	net.Conn
	network  *Network
	from, to string
	silent   atomic.Bool
	// unread tells that bytes were written that the other end did not read.
	unread atomic.Bool
}

func (c *connection) Write(content []byte) (int, error) {
	if c.silent.Load() {
		c.unread.Store(true)
		return len(content), nil
	}
	count, err := c.Conn.Write(content)
	if err != nil {
		c.unread.Store(true)
	}
	return count, err
}

// Acknowledged tells whether the other end has read all that was written, as a system's
// acknowledgements tell it of a connection that ended in order.
func (c *connection) Acknowledged() bool { return !c.unread.Load() }

func (c *connection) Close() error {
	c.network.mu.Lock()
	delete(c.network.connections, c)
	c.network.mu.Unlock()
	if c.silent.Load() {
		// Readers on this side end; the other side hears nothing.
		return c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

type listener struct {
	network *Network
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
	// queueing is held by who adds to accept without waiting, and by Close, so
	// that nothing is added after Close that nobody will accept.
	queueing sync.Mutex
}

// queue hands a connection to Accept and tells whether it did.
func (l *listener) queue(ctx context.Context, conn net.Conn) bool {
	for {
		if queued, closed := l.tryQueue(conn); queued || closed {
			return queued
		}
		select {
		case <-l.closed:
			return false
		case <-ctx.Done():
			return false
		case <-time.After(acceptRetry):
		}
	}
}

// acceptRetry is the pause of a dial that met a full backlog.
const acceptRetry = time.Millisecond

func (l *listener) tryQueue(conn net.Conn) (queued, closed bool) {
	l.queueing.Lock()
	defer l.queueing.Unlock()
	select {
	case <-l.closed:
		return false, true
	default:
	}
	select {
	case l.accept <- conn:
		return true, false
	default:
		return false, false
	}
}

// Accept returns what was queued before Close also after it.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	default:
	}
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.queueing.Lock()
		close(l.closed)
		l.queueing.Unlock()
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "mem" }
func (a address) String() string { return string(a) }

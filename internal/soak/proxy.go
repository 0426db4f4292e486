package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// manner is what a proxy does with its connections.
type manner int

// The manners.
const (
	// passing hands bytes on.
	passing manner = iota
	// slowed hands them on after slowDelay.
	slowed
	// refusing ends new connections at once, and those that are open.
	refusing
	// silent hands nothing on, either way, and ends nothing.
	silent
	// deaf hands on what the node sends, and nothing of what comes back.
	deaf
)

func (m manner) String() string {
	return [...]string{"passing", "slowed", "refusing", "silent", "deaf"}[m]
}

// slowDelay is what a slowed proxy adds to each piece of a connection.
const slowDelay = 150 * time.Millisecond

// proxy hands connections on to an address.
type proxy struct {
	to     string
	listen string

	mu       sync.Mutex
	listener net.Listener
	// dead tells that die was called last, closed, that close was.
	dead, closed bool
	manner       manner
	changed      chan struct{}
	open         map[net.Conn]struct{}
	working      sync.WaitGroup
}

// newProxy returns a proxy on a free port of the loopback interface.
func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		listener: listener, listen: listener.Addr().String(), to: to, changed: make(chan struct{}), open: make(map[net.Conn]struct{}),
	}
	p.working.Go(func() { p.accept(listener) })
	return p, nil
}

func (p *proxy) address() string { return p.listen }

// die ends the proxy's listener and all connections, as the end of a process does: the
// system refuses new ones.
func (p *proxy) die() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
	_ = p.listener.Close()
	p.cut()
}

// revive listens again where die ended that.
func (p *proxy) revive() error {
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return listener.Close()
	}
	p.listener, p.dead = listener, false
	p.working.Go(func() { p.accept(listener) })
	return nil
}

// set changes the manner, also of connections that are open.
func (p *proxy) set(m manner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.manner = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == refusing {
		p.cut()
	}
}

// reset ends all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut()
}

// cut ends all open connections. The lock is held.
func (p *proxy) cut() {
	for conn := range p.open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// The peer sees a reset and not an orderly end. An error means that the
			// connection has ended already.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// now returns the manner and what is closed when it changes.
func (p *proxy) now() (manner, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.manner, p.changed
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.working.Go(func() { p.serve(conn) })
	}
}

func (p *proxy) serve(conn net.Conn) {
	defer p.forget(conn)
	if m, _ := p.now(); m == refusing || !p.keep(conn) {
		return
	}
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer p.forget(far)
	if !p.keep(far) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.pump(far, conn, false) })
	group.Go(func() { p.pump(conn, far, true) })
	group.Wait()
}

// keep records an open connection, and tells whether it may stay open.
func (p *proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.manner == refusing || p.dead {
		return false
	}
	p.open[conn] = struct{}{}
	return true
}

func (p *proxy) forget(conn net.Conn) {
	_ = conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
}

// pieceBytes is how much is handed on at a time.
const pieceBytes = 16 << 10

// pump hands on what comes from one connection to another; back tells that it is on
// its way to the node. The end of one ends both.
func (p *proxy) pump(to, from net.Conn, back bool) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, pieceBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 && !p.hand(to, buffer[:count], back) {
			return
		}
		if err != nil {
			return
		}
	}
}

// hand hands a piece on once the manner lets it through.
func (p *proxy) hand(to io.Writer, piece []byte, back bool) bool {
	for {
		m, changed := p.now()
		switch {
		case m == refusing:
			return false
		case m == silent || m == deaf && back:
			<-changed
			continue
		case m == slowed:
			time.Sleep(slowDelay)
		}
		_, err := to.Write(piece)
		return err == nil
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	_ = p.listener.Close()
	p.mu.Unlock()
	p.set(refusing)
	p.working.Wait()
}

package callerconn

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Listener accepts callers' connections, and ends the one that has rested longest when
// there are too many. It is safe for concurrent use.
type Listener struct {
	net.Listener
	most int

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen returns a Listener over another one. most bounds the connections, 0 for no
// bound: more are open only while requests are served on all of them.
func Listen(listener net.Listener, most int) *Listener {
	return &Listener{Listener: listener, most: most, conns: make(map[*Conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: raw, listener: l, rested: time.Now()}
	if rested := l.add(conn); rested != nil {
		_ = rested.Close()
	}
	return conn, nil
}

// add counts a connection, and returns one to be closed for it, nil for none.
func (l *Listener) add(conn *Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest *Conn
	if l.most > 0 && len(l.conns) >= l.most {
		longest = l.longestRested()
	}
	l.conns[conn] = struct{}{}
	return longest
}

// longestRested returns the connection on which no request has been served for longest,
// and marks it as left. The lock is held.
func (l *Listener) longestRested() *Conn {
	var longest *Conn
	var since time.Time
	for conn := range l.conns {
		if rested, resting := conn.resting(); resting && (longest == nil || rested.Before(since)) {
			longest, since = conn, rested
		}
	}
	if longest == nil || !longest.retire() {
		return nil
	}
	return longest
}

// resting tells since when no request is served, and whether none is.
func (c *Conn) resting() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rested, c.cancel == nil
}

// retire marks a connection as left, unless a request is served on it.
func (c *Conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		return false
	}
	c.leave()
	return true
}

func (l *Listener) forget(conn *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// Open returns the number of connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Descriptors returns a share of the process's limit of descriptors, 0 if that is not known
// or there is none.
func Descriptors(share float64) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > unbounded {
		return 0
	}
	return int(share * float64(limit.Cur))
}

// unbounded is from which limit of descriptors on there is none.
const unbounded = 1 << 30

package callerconn

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Listener accepts callers' connections, and ends those that have rested longest when
// there are too many. It is safe for concurrent use.
type Listener struct {
	net.Listener
	most int

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen returns a Listener over another one, for a server that has State as its ConnState.
// most bounds the connections, 0 for no bound: more are open only while on all of them
// requests are served or first ones are awaited for less than newMost.
func Listen(listener net.Listener, most int) *Listener {
	return &Listener{Listener: listener, most: most, conns: make(map[*Conn]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: raw, listener: l}
	for _, retired := range l.add(conn) {
		// Nothing is left to be written: an error loses nothing, and its descriptor is
		// free all the same.
		_ = retired.Close()
	}
	return conn, nil
}

// add counts a connection, and returns those to be closed for it.
func (l *Listener) add(conn *Conn) []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var retired []*Conn
	for l.most > 0 && len(l.conns) >= l.most {
		longest := l.longestSpare(time.Now())
		if longest == nil {
			break
		}
		delete(l.conns, longest)
		retired = append(retired, longest)
	}
	l.conns[conn] = struct{}{}
	return retired
}

// longestSpare returns the connection that may have been ended for longest, and marks it as
// left; nil if there is none. The lock is held.
func (l *Listener) longestSpare(now time.Time) *Conn {
	var longest *Conn
	var since time.Time
	for conn := range l.conns {
		if spare, may := conn.spareSince(now); may && (longest == nil || spare.Before(since)) {
			longest, since = conn, spare
		}
	}
	if longest == nil || !longest.retire(now) {
		return nil
	}
	return longest
}

// spareSince tells since when a connection may be ended for want of room, and whether it
// may.
func (c *Conn) spareSince(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spare, c.isSpare(now)
}

// isSpare tells whether a connection may be ended for want of room. The lock is held.
func (c *Conn) isSpare(now time.Time) bool { return !c.spare.IsZero() && !c.spare.After(now) }

// retire marks a connection as left, unless it may no longer be ended.
func (c *Conn) retire(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isSpare(now) {
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

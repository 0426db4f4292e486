// Package callerconn is the callers' side of a node's connections: it tells the handler
// of a request that its caller has left, and keeps callers that fall silent or are many
// from taking what the node needs for others.
//
// net/http ends the context of a request when the connection ends, as long as it reads
// the connection: from the end of the request's body on, and no longer once a byte of a
// further request has come. This package goes on reading from there, into a buffer that
// is handed to net/http with the next read. A further request that was read before the
// connection ended finds its context ended as well.
//
// The end of what a caller sends counts as its leaving, also where it keeps its own side
// open for reading: the two cannot be told apart before an answer is written, and a run
// that nobody waits for costs more than one that is begun again.
//
// Invariants:
//
//   - While a request is served, the connection is read by net/http or by the package,
//     never by both; bytes reach net/http once, in order.
//   - A connection is ended for want of room only while net/http has neither a request
//     of it under way nor a part of an answer left to write, and never within newMost of
//     its beginning, unless it was served before. A request whose handler begins after
//     that finds its context ended, so that nothing of it is sent on.
package callerconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// ErrLeft is the cause of a request's context once its caller has left.
var ErrLeft = errors.New("caller left")

const (
	// aheadMost bounds what is read ahead of a connection while a request is served, in
	// bytes: some further requests with their bodies. Behind it, the end of the
	// connection is no longer seen.
	aheadMost = 64 << 10
	aheadPart = 4 << 10
	// writePart is how much is written at a time, in bytes, and writeMost how long a
	// caller may take nothing of it: 13 kbit a second is slower than any caller that
	// still waits for an answer.
	writePart = 16 << 10
	writeMost = 10 * time.Second
	// newMost is how long a new connection has for its first head before it may be ended
	// for want of room. The first request is sent within a few round trips of the
	// connection's beginning; without it, callers that come at once end each other's
	// connections before their requests are read.
	newMost = time.Second
)

// Conn is a caller's connection. It is safe for concurrent use as net/http makes it.
type Conn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// cancel ends the context of the request that is served, nil while none is.
	cancel context.CancelCauseFunc
	// spare is from when on the connection may be ended for want of room, zero while it
	// may not.
	spare time.Time
	// left is when the end of the connection was seen, zero before.
	left time.Time
	// deadline is what net/http set for its reads.
	deadline time.Time
	// writeBy is what SetWriteDeadline set, zero for no limit.
	writeBy time.Time
	// behind says that net/http's read behind a request's end has got its byte before the
	// handler began.
	behind bool
	// ahead is what was read ahead, and failure how that ended; reading is closed when
	// the reader ahead has ended, nil while there is none.
	ahead   []byte
	failure error
	reading chan struct{}
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	c.stopAhead()
	c.mu.Lock()
	if len(c.ahead) > 0 {
		count := copy(buffer, c.ahead)
		c.ahead = c.ahead[count:]
		c.mu.Unlock()
		c.goOn(count, buffer)
		return count, nil
	}
	failure := c.failure
	c.mu.Unlock()
	if failure != nil {
		return 0, failure
	}
	count, err := c.Conn.Read(buffer)
	c.saw(err)
	c.goOn(count, buffer)
	return count, err
}

// goOn begins to read ahead behind a read of net/http that it does not follow by another:
// it reads a single byte to learn of the connection's end, and no further once it has got
// one.
func (c *Conn) goOn(count int, buffer []byte) {
	if count == 1 && len(buffer) == 1 {
		c.readAhead()
	}
}

// saw takes note of the end of the connection.
func (c *Conn) saw(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave()
}

// leave records that the caller has left and tells the request. The lock is held.
func (c *Conn) leave() {
	if c.left.IsZero() {
		c.left = time.Now()
	}
	if c.cancel != nil {
		c.cancel(ErrLeft)
	}
}

// readAhead begins to read ahead if a request is served; otherwise begin does.
func (c *Conn) readAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel == nil {
		c.behind = true
		return
	}
	c.startAhead()
}

// startAhead starts the reader ahead. The lock is held.
func (c *Conn) startAhead() {
	if c.reading != nil || c.failure != nil {
		return
	}
	reading := make(chan struct{})
	c.reading = reading
	go c.fillAhead(reading)
}

// fillAhead reads until the connection ends, the buffer is full or stopAhead is called.
func (c *Conn) fillAhead(reading chan struct{}) {
	defer close(reading)
	part := make([]byte, aheadPart)
	for {
		count, err := c.Conn.Read(part)
		c.saw(err)
		c.mu.Lock()
		c.ahead = append(c.ahead, part[:count]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.failure = err
		}
		full := len(c.ahead) >= aheadMost
		c.mu.Unlock()
		if err != nil || full {
			return
		}
	}
}

// stopAhead ends the reader ahead, if there is one, and waits for its end. None is started
// before the next byte of net/http's read behind a request.
func (c *Conn) stopAhead() {
	c.mu.Lock()
	c.behind = false
	reading := c.reading
	if reading == nil {
		c.mu.Unlock()
		return
	}
	// The reader ahead takes no time-out of net/http's for its own. It fails only for a
	// connection that is closed, where the reader ends by itself.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	c.mu.Unlock()
	<-reading
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = nil
	// For a connection that is closed it fails as the read that follows does.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.reading != nil {
		// It is set when the reader ahead has ended.
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// SetWriteDeadline implements net.Conn. Write fails by then, or earlier.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.writeBy = deadline
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// writeLimit returns when a write that begins now has to end.
func (c *Conn) writeLimit() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(writeMost)
	if !c.writeBy.IsZero() && c.writeBy.Before(limit) {
		return c.writeBy
	}
	return limit
}

// Write implements net.Conn. A caller that takes nothing for writeMost has fallen silent.
func (c *Conn) Write(content []byte) (int, error) {
	written := 0
	for {
		part := content[written:min(len(content), written+writePart)]
		if err := c.Conn.SetWriteDeadline(c.writeLimit()); err != nil {
			return written, err
		}
		count, err := c.Conn.Write(part)
		written += count
		if err != nil {
			c.mu.Lock()
			c.leave()
			c.mu.Unlock()
			return written, err
		}
		if written == len(content) {
			return written, nil
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}

// CloseWrite ends the sending side, as net/http does where the caller still sends, so that
// it reads the answer before a reset. It does nothing where the sending side cannot be
// ended alone.
func (c *Conn) CloseWrite() error {
	inner, able := c.Conn.(interface{ CloseWrite() error })
	if !able {
		return nil
	}
	return inner.CloseWrite()
}

// begin says that a request is served from now on.
func (c *Conn) begin(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.behind {
		c.behind = false
		c.startAhead()
	}
	if !c.left.IsZero() {
		cancel(ErrLeft)
	}
}

// end says that the request is no longer served, and returns when its caller left, zero
// if it did not.
func (c *Conn) end() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
	return c.left
}

// connKey is the key of a Conn in a context.
type connKey struct{}

// Context is for http.Server.ConnContext.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// State is for http.Server.ConnState: connections are ended for want of room by what it
// tells, and none without it. net/http tells StateIdle once an answer is written whole.
func State(conn net.Conn, state http.ConnState) {
	c, watched := conn.(*Conn)
	if !watched {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.spare = time.Now().Add(newMost)
	case http.StateIdle:
		c.spare = time.Now()
	default:
		c.spare = time.Time{}
	}
}

// Handler passes requests on to next, whose contexts end when their callers leave. Other
// connections than those of a Listener are served as net/http does. observe, which may be
// nil, is told how long each request whose caller left went on after that.
func Handler(next http.Handler, observe func(after time.Duration)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, watched := r.Context().Value(connKey{}).(*Conn)
		if !watched {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		conn.begin(cancel)
		defer func() {
			if left := conn.end(); !left.IsZero() && observe != nil {
				observe(time.Since(left))
			}
		}()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

package storerelay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// DialFunc connects to another node.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	// dialMost bounds a connection to another node.
	dialMost = 300 * time.Millisecond
	// callMost bounds the time until something of the answer to a call through another node
	// arrives, beyond the time that a watch may rightly wait, and each pause in it: that
	// node's own limit, and the way there.
	callMost = 2 * time.Second
	// idleKept is how many connections to one node are kept.
	idleKept = 8
)

// link is a connection to another node.
type link struct {
	net.Conn
	lines *bufio.Scanner
	// arrived is called when more of an answer has arrived; it may be nil.
	arrived func()
	// ended tells that the end of a call's context may still end the connection's reads.
	ended bool
}

// client makes calls to one other node. It is safe for concurrent use.
type client struct {
	address string
	dial    DialFunc

	mu     sync.Mutex
	idle   []*link
	closed bool
}

// close ends the connections that no call uses.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.idle {
		_ = l.Close()
	}
	c.idle = nil
}

// take returns an idle connection, or a new one.
func (c *client) take(ctx context.Context) (*link, error) {
	c.mu.Lock()
	if last := len(c.idle) - 1; last >= 0 {
		l := c.idle[last]
		c.idle = c.idle[:last]
		c.mu.Unlock()
		return l, nil
	}
	c.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, dialMost)
	defer cancel()
	connection, err := c.dial(bounded, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	l := &link{Conn: connection}
	l.lines = bufio.NewScanner(l)
	l.lines.Buffer(nil, answerMost)
	return l, nil
}

// Read implements io.Reader.
func (l *link) Read(content []byte) (int, error) {
	n, err := l.Conn.Read(content)
	if n > 0 && l.arrived != nil {
		l.arrived()
	}
	return n, err
}

func (c *client) put(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The end of a context that came with the answer would cut the next call's short.
	if c.closed || l.ended || len(c.idle) >= idleKept {
		_ = l.Close()
		return
	}
	c.idle = append(c.idle, l)
}

// call makes a call. The error wraps rowstore.ErrRefused if it was not sent, and
// rowstore.ErrUnknown if it may have been.
func (c *client) call(ctx context.Context, asked request) (answer, error) {
	line, err := json.Marshal(asked)
	if err != nil {
		panic("storerelay: a request cannot be encoded: " + err.Error())
	}
	l, err := c.take(ctx)
	if err != nil {
		return answer{}, fmt.Errorf("%w: connection to another node: %w", rowstore.ErrRefused, err)
	}
	got, err := l.exchange(ctx, append(line, '\n'), time.Duration(asked.WaitMillis)*time.Millisecond+callMost)
	if err != nil {
		_ = l.Close()
		return answer{}, fmt.Errorf("%w: call through another node: %w", rowstore.ErrUnknown, err)
	}
	c.put(l)
	got.relayed = true
	return got, nil
}

// exchange sends a line and reads the answer, which begins within a limit, until ctx ends.
func (l *link) exchange(ctx context.Context, line []byte, limit time.Duration) (answer, error) {
	if err := l.SetDeadline(time.Now().Add(limit)); err != nil {
		return answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.SetDeadline(time.Now()) })
	defer func() { l.ended = !stop() }()
	l.arrived = func() { l.extend(ctx) }
	if _, err := l.Write(line); err != nil {
		return answer{}, err
	}
	if !l.lines.Scan() {
		if err := l.lines.Err(); err != nil {
			return answer{}, err
		}
		return answer{}, net.ErrClosed
	}
	var got answer
	if err := json.Unmarshal(l.lines.Bytes(), &got); err != nil {
		return answer{}, err
	}
	return got, nil
}

// extend allows for more of the answer to a call, of which some has arrived, unless the context
// of the call has ended.
func (l *link) extend(ctx context.Context) {
	rowstore.NoteProgress(ctx)
	_ = l.SetDeadline(time.Now().Add(callMost))
	if ctx.Err() != nil {
		_ = l.SetDeadline(time.Now())
	}
}

package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// Purpose is the reason for a call. It is a metric label and has few values.
type Purpose string

// The purposes of calls.
const (
	PurposeLive  Purpose = "live"
	PurposeItem  Purpose = "item"
	PurposeScore Purpose = "score"
	PurposeOrder Purpose = "order"
	PurposePeer  Purpose = "peer"
)

// Durable reports whether calls with the purpose are requests of jobs, which survive the loss of
// this node.
func (p Purpose) Durable() bool { return p == PurposeItem || p == PurposeScore }

// OpenCause is why a call opened a connection instead of reusing one.
type OpenCause string

const (
	// OpenFirst means that no earlier connection to the peer is known.
	OpenFirst OpenCause = "first"
	// OpenBusy means that all open connections are in use.
	OpenBusy OpenCause = "busy"
	// OpenExpired means that an earlier connection reached its idle timeout.
	OpenExpired OpenCause = "expired"
	// OpenClosed means that the backend closed an earlier connection or announced to.
	OpenClosed OpenCause = "closed"
	// OpenAborted means that an earlier connection was closed by a cancelled or failed call.
	OpenAborted OpenCause = "cut"
	// OpenForced means that Call.NewConnection was set.
	OpenForced OpenCause = "fresh"
	// OpenRepeated means that all idle connections have carried a call with the same id.
	OpenRepeated OpenCause = "repeated"
)

// Opening describes a new connection.
type Opening struct {
	Peer    Peer
	Purpose Purpose
	Cause   OpenCause
	// Took is the time that it took to connect.
	Took time.Duration
}

// Peer identifies one incarnation of a backend at an address.
type Peer struct {
	Address, Instance string
}

// peer is a Client's state for one Peer.
type peer struct {
	// idle holds the unused connections in the order of their last use.
	idle []*connection
	// busy is the number of connections in use.
	busy int
	// lost holds the causes of closed connections that were not yet replaced, at most
	// maxLost of the latest. Each becomes the OpenCause of one new connection. lostAt is the
	// time of the last.
	lost   []OpenCause
	lostAt time.Time
	// heard is when the last answer was received, on any connection.
	heard time.Time
}

// maxLost bounds peer.lost.
const maxLost = 32

// recordLost records the cause of a closed connection.
func (p *peer) recordLost(why OpenCause) {
	if len(p.lost) == maxLost {
		p.lost = p.lost[1:]
	}
	p.lost, p.lostAt = append(p.lost, why), time.Now()
}

// lostMemory is how long the state of a peer without connections is kept, so that removed
// peers do not accumulate.
const lostMemory = time.Minute

// forgotten reports whether the state of a peer can be removed.
func (p *peer) forgotten() bool {
	return p.busy == 0 && len(p.idle) == 0 && time.Since(p.lostAt) > lostMemory
}

// connection is a connection of a Client, used by one call at a time.
type connection struct {
	net.Conn
	peer Peer
	// meter bounds what reader reads.
	meter  *meter
	reader *bufio.Reader
	// roundTrip is the time that it took to connect.
	roundTrip time.Duration
	// keep is the idle timeout that the backend stated, 0 if none.
	keep time.Duration
	// idleSince is when an answer was last completed on the connection, or when it was first
	// returned unused.
	idleSince time.Time
	// used reports whether an answer was completed on the connection.
	used bool
	// expires reports whether expire set a limit on the socket.
	expires bool
	// carried holds the ids of its calls.
	carried carried
	// cut reports whether the Observer cancelled the call.
	cut atomic.Bool
	// ended is set once the connection is closed. Client.mu guards it.
	ended bool
}

// noteHeard records that an answer of a peer was received.
func (c *Client) noteHeard(id Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(id).heard = time.Now()
}

// heardAfter reports whether an answer of a peer was received after since.
func (c *Client) heardAfter(id Peer, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(id).heard.After(since)
}

// of returns the state of a peer, which it creates if needed. The caller holds c.mu.
func (c *Client) of(id Peer) *peer {
	held := c.peers[id]
	if held == nil {
		held = &peer{}
		c.peers[id] = held
	}
	return held
}

// readBuffer is the size in bytes of a connection's buffer. net/http fails on a line of a chunked
// body that is longer.
const readBuffer = 4096

// connect returns an idle connection for a call, or opens one.
func (c *Client) connect(ctx context.Context, call *Call) (*connection, error) {
	id := Peer{Address: call.Address, Instance: call.Instance}
	repeated := false
	if !call.NewConnection {
		conn, passed := c.takeIdle(id, call)
		if conn != nil {
			return conn, nil
		}
		repeated = passed
	}
	dialing, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	started := time.Now()
	raw, err := c.config.Dialer(dialing, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	took := time.Since(started)
	c.opened(call, id, took, repeated)
	meter := &meter{source: raw}
	return &connection{Conn: raw, peer: id, meter: meter, reader: bufio.NewReaderSize(meter, readBuffer), roundTrip: took}, nil
}

// opened counts a new connection and reports it to Config.OnOpen. repeated means that idle
// connections were passed over since they have carried the call's id.
func (c *Client) opened(call *Call, id Peer, took time.Duration, repeated bool) {
	c.mu.Lock()
	held := c.of(id)
	cause := OpenRepeated
	if !repeated {
		cause = held.cause(call.NewConnection)
	}
	held.busy++
	c.mu.Unlock()
	if c.config.OnOpen != nil {
		c.config.OnOpen(Opening{Peer: id, Purpose: call.Purpose, Cause: cause, Took: took})
	}
}

// cause returns the cause of a new connection and removes it from p.lost.
func (p *peer) cause(forced bool) OpenCause {
	last := len(p.lost) - 1
	switch {
	case forced:
		return OpenForced
	case last >= 0:
		lost := p.lost[last]
		p.lost = p.lost[:last]
		return lost
	case p.busy > 0:
		return OpenBusy
	}
	return OpenFirst
}

// takeIdle returns the most recently used idle connection that is still reusable for a call, or
// nil if there is none. passed reports whether any was passed over since it has carried the
// call's id.
func (c *Client) takeIdle(id Peer, call *Call) (conn *connection, passed bool) {
	for {
		conn, passed = c.popIdle(id, call)
		if conn == nil {
			return nil, passed
		}
		if time.Since(conn.idleSince) >= c.idleLimit(conn) {
			c.drop(conn, OpenExpired)
			continue
		}
		if !silent(conn) {
			c.drop(conn, OpenClosed)
			continue
		}
		return conn, passed
	}
}

// popIdle removes and returns the most recently used idle connection that has not carried the
// call's id, or nil if none was used since Call.ProvenSince. passed is as in takeIdle.
func (c *Client) popIdle(id Peer, call *Call) (conn *connection, passed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.peers[id]
	if held == nil {
		return nil, false
	}
	for i, conn := range slices.Backward(held.idle) {
		if conn.idleSince.Before(call.ProvenSince) {
			break
		}
		if !c.config.RepeatIDs && !call.Poll && conn.carried.has(call.ID) {
			passed = true
			continue
		}
		held.idle = slices.Delete(held.idle, i, i+1)
		held.busy++
		return conn, passed
	}
	return nil, passed
}

// idleLimit returns how long a connection may stay idle. It is shorter than the timeout that
// the backend stated, see idleMargin.
func (c *Client) idleLimit(conn *connection) time.Duration {
	if conn.keep == 0 {
		return c.config.IdleTimeout
	}
	return max(conn.keep-idleMargin, conn.keep/2)
}

// recycle returns a connection to the pool after a complete answer, or closes it if it cannot
// be reused.
func (c *Client) recycle(conn *connection, response *http.Response) {
	if response.Close || conn.carried.full() || conn.reader.Buffered() > 0 || !silent(conn) {
		c.drop(conn, OpenClosed)
		return
	}
	conn.keep = keepAlive(response.Header.Get("Keep-Alive"))
	conn.idleSince = time.Now()
	conn.used = true
	c.giveBack(conn)
}

// giveBack returns a reusable connection to the pool and reverts the socket options of its
// call.
func (c *Client) giveBack(conn *connection) {
	if err := expireNever(conn); err != nil {
		c.drop(conn, OpenAborted)
		return
	}
	if conn.idleSince.IsZero() {
		conn.idleSince = time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn.ended {
		return
	}
	held := c.of(conn.peer)
	held.busy--
	held.idle = append(held.idle, conn)
}

// drop closes a connection in use; why becomes the OpenCause of the one that replaces it.
// Further calls have no effect.
func (c *Client) drop(conn *connection, why OpenCause) {
	c.mu.Lock()
	if !conn.ended {
		conn.ended = true
		held := c.of(conn.peer)
		held.busy--
		held.recordLost(why)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// closeIdleBefore closes the idle connections to a peer that were not used after since.
func (c *Client) closeIdleBefore(id Peer, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.of(id)
	var rest []*connection
	for _, conn := range held.idle {
		if conn.idleSince.After(since) {
			rest = append(rest, conn)
			continue
		}
		conn.ended = true
		held.recordLost(OpenAborted)
		_ = conn.Close()
	}
	held.idle = rest
}

// Sweep closes the idle connections that reached their timeout and those to peers for which
// keep returns false.
func (c *Client) Sweep(keep func(address, instance string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, held := range c.peers {
		wanted := keep(id.Address, id.Instance)
		var rest []*connection
		for _, conn := range held.idle {
			if wanted && time.Since(conn.idleSince) < c.idleLimit(conn) {
				rest = append(rest, conn)
				continue
			}
			conn.ended = true
			held.recordLost(OpenExpired)
			_ = conn.Close()
		}
		held.idle = rest
		if held.forgotten() {
			delete(c.peers, id)
		}
	}
}

// Idle returns the number of idle connections.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, held := range c.peers {
		count += len(held.idle)
	}
	return count
}

// Standing returns the number of idle connections of each peer that a call may reuse.
func (c *Client) Standing() map[Peer]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	standing := make(map[Peer]int)
	for id, held := range c.peers {
		for _, conn := range held.idle {
			if time.Since(conn.idleSince) < c.idleLimit(conn) {
				standing[id]++
			}
		}
	}
	return standing
}

package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Purpose is what a call is made for. The values are few: figures are kept by them.
type Purpose string

// The purposes of calls.
const (
	PurposeLive  Purpose = "live"
	PurposeItem  Purpose = "item"
	PurposeScore Purpose = "score"
	PurposeOrder Purpose = "order"
	PurposePeer  Purpose = "peer"
)

// OpenCause is why a call could not use a connection that stood.
type OpenCause string

// The causes of new connections.
const (
	// OpenFirst: none ever stood, as far as is known.
	OpenFirst OpenCause = "first"
	// OpenBusy: other calls are under way on all that stand.
	OpenBusy OpenCause = "busy"
	// OpenExpired: one was idle for as long as the back end keeps it.
	OpenExpired OpenCause = "expired"
	// OpenClosed: the back end closed one, or said that it would.
	OpenClosed OpenCause = "closed"
	// OpenCut: one was closed with a call that was cancelled or failed.
	OpenCut OpenCause = "cut"
	// OpenFresh: the call asked for a new one.
	OpenFresh OpenCause = "fresh"
)

// Opening tells of a new connection.
type Opening struct {
	Peer    Peer
	Purpose Purpose
	Cause   OpenCause
	// Took is the time of the connect.
	Took time.Duration
}

// Peer is one incarnation of what listens at an address.
type Peer struct {
	Address, Instance string
}

// peer is what a client holds of one Peer.
type peer struct {
	// idle are the connections that no call is under way on, the one used last at the end.
	idle []*connection
	// busy counts the connections that calls are under way on.
	busy int
	// lost is why connections ended, the last one at lostAt, that no new ones have taken
	// the place of; lostMost at most, the latest ones.
	lost   []OpenCause
	lostAt time.Time
	// heard is when the last answer came, on any connection.
	heard time.Time
}

// lostMost bounds what is remembered of the connections of a peer that ended.
const lostMost = 32

// lose records why a connection ended.
func (p *peer) lose(why OpenCause) {
	if len(p.lost) == lostMost {
		p.lost = p.lost[1:]
	}
	p.lost, p.lostAt = append(p.lost, why), time.Now()
}

// lostMemory is how long a peer without connections is remembered, so that peers which
// are gone take no memory.
const lostMemory = time.Minute

// forgotten tells that nothing is left to be known of a peer.
func (p *peer) forgotten() bool {
	return p.busy == 0 && len(p.idle) == 0 && time.Since(p.lostAt) > lostMemory
}

type connection struct {
	net.Conn
	peer   Peer
	reader *bufio.Reader
	// roundTrip is how long it took to be made.
	roundTrip time.Duration
	// keep is how long the back end keeps the connection idle, 0 if unknown.
	keep   time.Duration
	parked time.Time
	used   bool
	// expires tells that what the socket holds is dropped in time, see expire.
	expires bool
	// cut tells that the call on the connection was ended for what it asks for, see Trace.
	cut atomic.Bool
	// ended is set once the connection is closed; the client's lock guards it.
	ended bool
}

// noteHeard records that an answer of a peer came.
func (c *Client) noteHeard(id Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of(id).heard = time.Now()
}

// heardAfter tells whether an answer of a peer came after a time.
func (c *Client) heardAfter(id Peer, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.of(id).heard.After(since)
}

// of returns what is held of a peer. The lock is held.
func (c *Client) of(id Peer) *peer {
	held := c.peers[id]
	if held == nil {
		held = &peer{}
		c.peers[id] = held
	}
	return held
}

// connect returns a connection for a call, one that stands if there is one.
func (c *Client) connect(ctx context.Context, call *Call) (*connection, error) {
	id := Peer{Address: call.Address, Instance: call.Instance}
	if !call.Fresh {
		if conn := c.takeIdle(id, call.ProvenSince); conn != nil {
			return conn, nil
		}
	}
	dialing, cancel := context.WithTimeout(ctx, c.config.DialTimeout)
	defer cancel()
	started := time.Now()
	raw, err := c.config.Dialer(dialing, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	took := time.Since(started)
	c.opened(call, id, took)
	return &connection{Conn: raw, peer: id, reader: bufio.NewReaderSize(raw, 4096), roundTrip: took}, nil
}

// opened counts a new connection and tells of it.
func (c *Client) opened(call *Call, id Peer, took time.Duration) {
	c.mu.Lock()
	held := c.of(id)
	cause := held.cause(call.Fresh)
	held.busy++
	c.mu.Unlock()
	if c.config.OnOpen != nil {
		c.config.OnOpen(Opening{Peer: id, Purpose: call.Purpose, Cause: cause, Took: took})
	}
}

// cause returns why a new connection is opened. Each one that was lost accounts for one.
func (p *peer) cause(fresh bool) OpenCause {
	last := len(p.lost) - 1
	switch {
	case fresh:
		return OpenFresh
	case last >= 0:
		lost := p.lost[last]
		p.lost = p.lost[:last]
		return lost
	case p.busy > 0:
		return OpenBusy
	}
	return OpenFirst
}

// takeIdle returns the connection that was used last and is still sound. It has to have
// been used after a time.
func (c *Client) takeIdle(id Peer, since time.Time) *connection {
	for {
		conn := c.popIdle(id, since)
		if conn == nil {
			return nil
		}
		if time.Since(conn.parked) >= c.idleLimit(conn) {
			c.drop(conn, OpenExpired)
			continue
		}
		if !silent(conn) {
			c.drop(conn, OpenClosed)
			continue
		}
		return conn
	}
}

// popIdle takes the connection that was used last, nil if there is none that was used
// after a time.
func (c *Client) popIdle(id Peer, since time.Time) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.peers[id]
	if held == nil || len(held.idle) == 0 || held.idle[len(held.idle)-1].parked.Before(since) {
		return nil
	}
	conn := held.idle[len(held.idle)-1]
	held.idle = held.idle[:len(held.idle)-1]
	held.busy++
	return conn
}

func (c *Client) idleLimit(conn *connection) time.Duration {
	if conn.keep == 0 {
		return c.config.IdleMost
	}
	return max(conn.keep-idleMargin, conn.keep/2)
}

// park keeps a connection after a whole answer.
func (c *Client) park(conn *connection, response *http.Response) {
	if response.Close || conn.reader.Buffered() > 0 || !silent(conn) {
		c.drop(conn, OpenClosed)
		return
	}
	conn.keep = keepAlive(response.Header.Get("Keep-Alive"))
	conn.parked = time.Now()
	conn.used = true
	c.giveBack(conn)
}

// giveBack makes a sound connection that no call is under way on an idle one, without what
// its last call had set up.
func (c *Client) giveBack(conn *connection) {
	if err := expireNever(conn); err != nil {
		c.drop(conn, OpenCut)
		return
	}
	if conn.parked.IsZero() {
		conn.parked = time.Now()
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

// drop closes a connection that a call had; why is what a new one in its place is put
// down to. It may be called again.
func (c *Client) drop(conn *connection, why OpenCause) {
	c.mu.Lock()
	if !conn.ended {
		conn.ended = true
		held := c.of(conn.peer)
		held.busy--
		held.lose(why)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// distrust closes the idle connections to a peer on which no answer came after a time.
func (c *Client) distrust(id Peer, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.of(id)
	var rest []*connection
	for _, conn := range held.idle {
		if conn.parked.After(since) {
			rest = append(rest, conn)
			continue
		}
		conn.ended = true
		held.lose(OpenCut)
		_ = conn.Close()
	}
	held.idle = rest
}

// Sweep closes connections whose idle time has run out, and those of back ends
// that keep says are gone.
func (c *Client) Sweep(keep func(address, instance string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, held := range c.peers {
		wanted := keep(id.Address, id.Instance)
		var rest []*connection
		for _, conn := range held.idle {
			if wanted && time.Since(conn.parked) < c.idleLimit(conn) {
				rest = append(rest, conn)
				continue
			}
			conn.ended = true
			held.lose(OpenExpired)
			_ = conn.Close()
		}
		held.idle = rest
		if held.forgotten() {
			delete(c.peers, id)
		}
	}
}

// Idle returns the number of connections that are kept.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, held := range c.peers {
		count += len(held.idle)
	}
	return count
}

// Standing returns how many idle connections each peer has that a call may use.
func (c *Client) Standing() map[Peer]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	standing := make(map[Peer]int)
	for id, held := range c.peers {
		for _, conn := range held.idle {
			if time.Since(conn.parked) < c.idleLimit(conn) {
				standing[id]++
			}
		}
	}
	return standing
}

package upstream

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// takeIdle returns the connection that was used last and is still sound. It has to have
// been used after a time.
func (c *Client) takeIdle(key string, since time.Time) *connection {
	for {
		c.mu.Lock()
		list := c.idle[key]
		if len(list) == 0 || list[len(list)-1].parked.Before(since) {
			c.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		c.idle[key] = list[:len(list)-1]
		c.mu.Unlock()
		if time.Since(conn.parked) < c.idleLimit(conn) && silent(conn) {
			return conn
		}
		_ = conn.Close()
	}
}

func (c *Client) idleLimit(conn *connection) time.Duration {
	if conn.keep == 0 {
		return c.config.IdleMost
	}
	return max(conn.keep-idleMargin, conn.keep/2)
}

func (c *Client) park(conn *connection, response *http.Response) {
	if response.Close || conn.reader.Buffered() > 0 || !silent(conn) {
		_ = conn.Close()
		return
	}
	conn.keep = keepAlive(response.Header.Get("Keep-Alive"))
	conn.parked = time.Now()
	conn.used = true
	c.giveBack(conn)
}

// giveBack keeps a sound connection without what its last call had set up.
func (c *Client) giveBack(conn *connection) {
	if err := expireNever(conn); err != nil {
		_ = conn.Close()
		return
	}
	c.keep(conn)
}

// distrust closes the idle connections to a back end on which no answer came after a
// time.
func (c *Client) distrust(key string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []*connection
	for _, conn := range c.idle[key] {
		if conn.parked.After(since) {
			rest = append(rest, conn)
			continue
		}
		_ = conn.Close()
	}
	c.idle[key] = rest
}

// keep makes a sound connection that no call is under way on an idle one.
func (c *Client) keep(conn *connection) {
	if conn.parked.IsZero() {
		conn.parked = time.Now()
	}
	c.mu.Lock()
	c.idle[conn.key] = append(c.idle[conn.key], conn)
	c.mu.Unlock()
}

// Sweep closes connections whose idle time has run out, and those of back ends
// that keep says are gone.
func (c *Client) Sweep(keep func(address, instance string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.idle {
		address, instance, _ := strings.Cut(key, "|")
		wanted := keep(address, instance)
		var rest []*connection
		for _, conn := range list {
			if wanted && time.Since(conn.parked) < c.idleLimit(conn) {
				rest = append(rest, conn)
				continue
			}
			_ = conn.Close()
		}
		if len(rest) == 0 {
			delete(c.idle, key)
			continue
		}
		c.idle[key] = rest
	}
}

// Idle returns the number of connections that are kept.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, list := range c.idle {
		count += len(list)
	}
	return count
}

// keepAlive returns the timeout of a Keep-Alive field, 0 if there is none.
func keepAlive(field string) time.Duration {
	for _, part := range strings.Split(field, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// silent tells that the peer has neither sent anything nor closed.
func silent(conn *connection) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

package peer

import (
	"bufio"
	"errors"
	"net"
	"time"
)

const (
	acceptRetryMin = 10 * time.Millisecond
	acceptRetryMax = time.Second
)

// accept takes connections until the transport closes. Errors of the listener
// are retried, for running out of file descriptors passes.
func (t *Transport) accept() {
	retry := acceptRetryMin
	for {
		conn, err := t.cfg.Listener.Accept()
		if err == nil {
			retry = acceptRetryMin
			if !t.spawn(func() { t.serve(conn) }) {
				conn.Close()
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) || !t.sleep(retry) {
			return
		}
		retry = min(2*retry, acceptRetryMax)
	}
}

// sleep waits, and tells whether the transport is still open.
func (t *Transport) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// serve greets an accepted connection and reads it to its end.
func (t *Transport) serve(conn net.Conn) {
	l := newLink(t, "")
	l.accepted = true
	l.conn = conn
	if !t.track(l) {
		l.close(errClosed)
		return
	}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	if err := t.greet(l, conn, reader); err != nil {
		t.lg.WithError(err).Debug("connection refused")
		l.close(err)
		return
	}
	t.adopt(l)
	l.read(reader)
}

func (t *Transport) greet(l *link, conn net.Conn, reader *bufio.Reader) error {
	if err := conn.SetDeadline(time.Now().Add(t.limits.DialTimeout)); err != nil {
		return err
	}
	if err := l.receiveHello(reader); err != nil {
		return err
	}
	if err := t.sendHello(conn); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// closeUnused closes connections that are idle, or silent although written to.
func (t *Transport) closeUnused() {
	interval := min(t.limits.IdleTimeout, t.limits.SilenceTimeout) / 4
	for t.sleep(interval) {
		now := time.Now()
		for _, l := range t.openLinks() {
			if reason := l.unused(now); reason != nil {
				l.close(reason)
			}
		}
		t.forgetUnreachable(now)
	}
}

// unused tells why the connection should be closed, or nil. The accepting end
// waits twice as long when idle, so that the two ends do not race.
func (l *link) unused(now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	idleTimeout := l.t.limits.IdleTimeout
	if l.accepted {
		idleTimeout *= 2
	}
	if !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= l.t.limits.SilenceTimeout {
		return errSilent
	}
	busy := l.writing || l.handlers > 0 || len(l.pending) > 0
	if !busy && now.Sub(l.lastUsed) >= idleTimeout {
		return errIdle
	}
	return nil
}

// forgetUnreachable drops the back-off of addresses that nobody asks for any
// more.
func (t *Transport) forgetUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, known := range t.peers {
		if known.link == nil && now.Sub(known.notBefore) > 2*t.limits.BackoffMax {
			delete(t.peers, address)
		}
	}
}

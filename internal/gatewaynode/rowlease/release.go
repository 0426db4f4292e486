package rowlease

import (
	"context"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

// Withdraw keeps this node from taking the lease from now on.
func (l *Lease) Withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn = true
}

// releaseLimit bounds the writing of a release.
const releaseLimit = time.Second

// Release gives the lease up, if this node holds it, once no call is under way. quiet
// returns how long ago it last acted otherwise than by Act; it is asked once the node
// may not act any more.
func (l *Lease) Release(quiet func() time.Duration) {
	l.mu.Lock()
	l.withdrawn = true
	if !l.held {
		l.mu.Unlock()
		return
	}
	l.drop("stopping")
	l.mu.Unlock()
	l.awaitActs()
	l.mu.Lock()
	if !l.ownRow() {
		// Another node took the lease while calls were under way: the row is its own.
		l.mu.Unlock()
		return
	}
	next, revision := l.row, l.revision
	next.UnclearMillis = unclear(l.hold.ClearFrom, time.Now())
	l.mu.Unlock()
	next.Released = true
	next.QuietMillis = min(quiet(), l.sinceAct(), l.config.Timing.Settle).Milliseconds()
	ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
	defer cancel()
	if _, err := l.write(ctx, next, revision); err != nil {
		// The lease lapses instead.
		l.config.Log.Warn(eventlog.LeaseLost, eventlog.Fields{
			eventlog.Lease: l.config.Name, eventlog.Token: next.Term, eventlog.Cause: "release not written: " + err.Error(),
		})
	}
}

// ownRow tells whether the row is that of this node's last term. The lock is held.
func (l *Lease) ownRow() bool { return l.row.Holder == l.self.Name && l.row.Term == l.hold.Token }

package rowlease

import (
	"context"
	"errors"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
)

// ErrLapsed says that a lease no longer allows an act.
var ErrLapsed = errors.New("rowlease: the lease no longer allows it")

// Permit is the leave to make one call in a term.
type Permit struct {
	Holder string
	// Token is the fencing token of the term.
	Token int64
	// Until is when the call has to be over. It lies within the validity, so that
	// nothing of the call arrives once another node may hold the lease.
	Until time.Time
	// Admit tells whether the call may begin at this moment, by the steady clock. Who
	// sends the call asks on a connection that stands, right before the bytes leave: a
	// process may have stood still since the permit was given.
	Admit func() error
}

// Act makes one call in the term of a token, in the time that the lease and most leave
// for it. The call's context ends with that time, and at once if the lease is lost. An
// error of ErrLapsed means that nothing was called.
func (l *Lease) Act(ctx context.Context, token int64, most time.Duration, call func(ctx context.Context, permit Permit) error) error {
	bounded, end, permit, err := l.beginAct(ctx, token, clock.NewMark(), most)
	if err != nil {
		return err
	}
	defer l.endAct(end)
	return call(bounded, permit)
}

// underWay is a call under way.
type underWay struct{ cancel context.CancelFunc }

func (l *Lease) beginAct(ctx context.Context, token int64, started clock.Mark, most time.Duration) (context.Context, *underWay, Permit, error) {
	now, limit := started.At(), started.At().Add(most)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.valid(token, now) {
		return nil, nil, Permit{}, ErrLapsed
	}
	if until := l.validUntil(); until.Before(limit) {
		limit = until
	}
	bounded, cancel := context.WithDeadline(ctx, limit)
	act := &underWay{cancel: cancel}
	l.acts[act] = struct{}{}
	l.lastAct = now
	return bounded, act, Permit{
		Holder: l.self.Name, Token: token, Until: limit,
		Admit: func() error { return l.admit(token, limit.Add(-started.Since())) },
	}, nil
}

// admit tells whether a call that has to be over by a time may begin now.
func (l *Lease) admit(token int64, limit time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The clock is read under the lock: a wait for it must not count.
	now := time.Now()
	if !now.Before(limit) || !l.valid(token, now) {
		return ErrLapsed
	}
	return nil
}

func (l *Lease) endAct(act *underWay) {
	act.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.acts, act)
	l.lastAct = time.Now()
	if len(l.acts) == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}

// awaitActs waits until no call is under way; each of them is bounded.
func (l *Lease) awaitActs() {
	l.mu.Lock()
	if len(l.acts) == 0 {
		l.mu.Unlock()
		return
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.mu.Unlock()
	<-idle
}

// sinceAct returns how long ago the last call began or ended.
func (l *Lease) sinceAct() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastAct)
}

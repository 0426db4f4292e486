package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

const (
	// runsMost bounds the calls that a node follows.
	runsMost = 16384
	// endedKeep is how long a call that this node ended may still be at work at its back
	// end; silentRunKeep, how long one without any sign of the back end stays suspected:
	// until its entry has lapsed.
	endedKeep     = 500 * time.Millisecond
	silentRunKeep = 4 * time.Second
	// heardWithin is how long ago a back end was heard from that is certainly there.
	heardWithin = time.Second
)

// run is a call to a back end that has not been answered.
type run struct {
	book *Book
	// backend is nil for a run that is not followed for want of room.
	backend *backend
	// request and work are the call's id and what it asks for: the call itself, with its
	// body, is not kept for as long.
	request string
	work    fingerprint.Fingerprint
	// at is the id of the back end.
	at   string
	cut  func()
	sent time.Time
	// heard is when the last part of the answer came, 0 if none did. It is set without the
	// book's lock: a stream has hundreds of parts.
	heard atomic.Int64
	// ended is when the call ended without an answer, zero while it is under way; lost
	// tells that the other side ended it.
	ended time.Time
	lost  bool
}

// silent tells whether the back end has not been heard from on the call since a while
// before a moment.
func (r *run) silent(now time.Time) bool {
	last := r.sent
	if heard := r.heard.Load(); heard > 0 {
		last = clock.Millis(heard).Time()
	}
	return now.Sub(last) >= heardWithin
}

// suspected tells whether the call may have been at work at a back end that ended shortly
// before now.
func (r *run) suspected(now time.Time) bool {
	if r.ended.IsZero() || r.lost {
		return true
	}
	if r.silent(r.ended) {
		return now.Sub(r.ended) < silentRunKeep
	}
	return now.Sub(r.ended) < endedKeep
}

// backend is what is followed of one back end.
type backend struct {
	id, address, service string
	runs                 map[*run]struct{}
	// leaving tells that the registry said so.
	leaving bool
	// probing tells that its address is being tried; probed is when it was last.
	probing bool
	probed  time.Time
}

// Begin implements upstream.Witness.
func (b *Book) Begin(call *upstream.Call, cut func()) upstream.Trace {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &run{book: b, request: call.ID, work: call.Work, at: call.Instance, cut: cut, sent: time.Now()}
	if b.runs >= runsMost {
		b.unfollowed++
		return r
	}
	held := b.backends[call.Instance]
	if held == nil {
		held = &backend{
			id: call.Instance, address: call.Address, service: b.config.Backend(call.Instance).Service, runs: make(map[*run]struct{}),
		}
		b.backends[call.Instance] = held
	}
	r.backend = held
	held.runs[r] = struct{}{}
	b.runs++
	return r
}

// followed tells whether it is still open what becomes of the run. The lock is held.
func (r *run) followed() bool {
	if r.backend == nil {
		return false
	}
	_, found := r.backend.runs[r]
	return found
}

// drop follows a run no longer. The lock is held.
func (b *Book) drop(r *run) {
	if !r.followed() {
		return
	}
	delete(r.backend.runs, r)
	b.runs--
	if len(r.backend.runs) == 0 && !r.backend.probing {
		delete(b.backends, r.backend.id)
	}
}

// Heard implements upstream.Trace.
func (r *run) Heard() { r.heard.Store(int64(clock.Now())) }

// successFrom and successBelow bound the statuses of answers that acquit a work. Others
// do not show that it ran: a back end may give up a request that waited there.
const (
	successFrom  = 200
	successBelow = 300
)

// End implements upstream.Trace.
func (r *run) End(end upstream.End, status int) {
	b := r.book
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	switch end {
	case upstream.EndWhole:
		b.drop(r)
		if status >= successFrom && status < successBelow {
			b.succeeded(r, now)
		}
	case upstream.EndNotRun, upstream.EndUnusable:
		b.drop(r)
	case upstream.EndLost:
		r.ended, r.lost = now, true
	case upstream.EndGivenUp:
		r.ended = now
	}
	if r.followed() && (r.lost || r.silent(now) && now.Sub(r.backend.probed) >= silentProbeRest) {
		b.probe(r.backend)
	}
}

// sweep follows calls no longer that ended so long ago that nothing speaks against them.
// The lock is held.
func (b *Book) sweep(now time.Time) {
	for _, held := range b.backends {
		for r := range held.runs {
			old := !r.ended.IsZero() && now.Sub(r.ended) >= silentRunKeep
			if old || !r.suspected(now) {
				b.drop(r)
			}
		}
	}
}

package quarantine

import (
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

const (
	// maxRuns bounds the calls that a node follows.
	maxRuns = 16384
	// endedKeep is how long a call that this node cancelled may still run at its backend.
	endedKeep = 500 * time.Millisecond
	// silentRunKeep is how long an ended call stays suspected if the backend was silent: the
	// registry has dropped a failed backend by then.
	silentRunKeep = 4 * time.Second
	// heardWithin is the time without data from the backend after which a call is silent.
	heardWithin = time.Second
)

// run is a call to a backend that has no complete response.
type run struct {
	tracker *Tracker
	// backend is nil if the run is not followed since there are too many.
	backend *backend
	// request and work are the id and fingerprint of the call. The call itself is not kept,
	// so that its body can be freed.
	request string
	work    fingerprint.Fingerprint
	// durable reports whether the call is made for a job.
	durable bool
	// at is the id of the backend.
	at string
	// cut cancels the call.
	cut  func()
	sent time.Time
	// heard is when the last data of the response arrived, in milliseconds, or 0 if none
	// did. It is atomic so that each part of a stream is recorded without taking Tracker.mu.
	heard atomic.Int64
	// ended is when the call ended without a complete response, zero while it is in progress.
	ended time.Time
	// lost reports whether the other side closed or reset the connection.
	lost bool
}

// silent reports whether nothing arrived from the backend on this call within heardWithin
// before now.
func (r *run) silent(now time.Time) bool {
	last := r.sent
	if heard := r.heard.Load(); heard > 0 {
		last = clock.Millis(heard).Time()
	}
	return now.Sub(last) >= heardWithin
}

// suspected reports whether the call may have been running at a backend that failed shortly
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

// backend is a backend with calls that are followed.
type backend struct {
	id, address, service string
	runs                 map[*run]struct{}
	// leaving reports whether the registry listed the backend as draining at any time.
	leaving bool
	// probing reports whether a probe is in progress; probed is when the last one ended.
	probing bool
	probed  time.Time
}

// Begin implements upstream.Observer.
func (t *Tracker) Begin(call *upstream.Call, cut func()) upstream.Trace {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &run{tracker: t, request: call.ID, work: call.Work, durable: call.Purpose.Durable(), at: call.Instance, cut: cut, sent: time.Now()}
	if t.runs >= maxRuns {
		t.unfollowed++
		return r
	}
	held := t.backends[call.Instance]
	if held == nil {
		held = &backend{
			id: call.Instance, address: call.Address, service: t.config.Backend(call.Instance).Service, runs: make(map[*run]struct{}),
		}
		t.backends[call.Instance] = held
	}
	r.backend = held
	held.runs[r] = struct{}{}
	t.runs++
	return r
}

// followed reports whether the run is still followed. The caller holds Tracker.mu.
func (r *run) followed() bool {
	if r.backend == nil {
		return false
	}
	_, found := r.backend.runs[r]
	return found
}

// drop stops following a run. The caller holds t.mu.
func (t *Tracker) drop(r *run) {
	if !r.followed() {
		return
	}
	delete(r.backend.runs, r)
	t.runs--
	if len(r.backend.runs) == 0 && !r.backend.probing {
		delete(t.backends, r.backend.id)
	}
}

// Heard implements upstream.Trace.
func (r *run) Heard() { r.heard.Store(int64(clock.Now())) }

// successFrom and successBelow bound the statuses of responses that clear a work. Other
// statuses do not show that the work ran, as a backend may reject a queued request.
const (
	successFrom  = 200
	successBelow = 300
)

// End implements upstream.Trace.
func (r *run) End(end upstream.End, status int) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch end {
	case upstream.EndComplete:
		t.drop(r)
		if status >= successFrom && status < successBelow {
			t.succeeded(r, now)
		}
	case upstream.EndNotRun, upstream.EndMalformed:
		t.drop(r)
	case upstream.EndLost:
		r.ended, r.lost = now, true
		t.noteLost(r, now)
	case upstream.EndCancelled:
		r.ended = now
	}
	if r.followed() && (r.lost || r.silent(now) && now.Sub(r.backend.probed) >= silentProbeRest) {
		t.probe(r.backend)
	}
}

// noteLost restarts the backoff of a work if its run was lost. The caller holds t.mu.
func (t *Tracker) noteLost(r *run, now time.Time) {
	s := t.suspects[r.work]
	if s == nil || !r.durable {
		return
	}
	s.lost = now
	t.setBackoff(s.work, backoffOf(s.durable(now)))
}

// sweep stops following ended calls that are no longer suspected, including lost ones after
// silentRunKeep. The caller holds t.mu.
func (t *Tracker) sweep(now time.Time) {
	for _, held := range t.backends {
		for r := range held.runs {
			old := !r.ended.IsZero() && now.Sub(r.ended) >= silentRunKeep
			if old || !r.suspected(now) {
				t.drop(r)
			}
		}
	}
}

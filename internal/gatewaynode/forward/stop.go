package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// errStopped is the cause with which requests end that the node is serving at the end of its stop.
var errStopped = errors.New("node has stopped")

// stopTimes are the times of a planned stop of the node.
type stopTimes struct {
	// told is when callers have heard of the stop, end when the requests end that are still served.
	told, end time.Time
}

// BeginStop begins a planned stop: from now on, requests are accepted that are expected to be answered
// before end or, once callers have heard of the stop, that end before it in any case. At end, the
// requests that are still served get 504, and streams are cut.
func (f *Forwarder) BeginStop(told, end time.Time) {
	f.stop.Store(&stopTimes{told: told, end: end})
	time.AfterFunc(time.Until(end), func() { f.cancel(errStopped) })
}

// accepts reports whether to accept a request that arrives now. ends is when its deadline or its
// route's timeout ends it, expected how long it is likely to take at most, 0 if not known.
func (s *stopTimes) accepts(now, ends time.Time, expected time.Duration) bool {
	if !ends.After(s.end) {
		return true
	}
	return now.Before(s.told) && expected > 0 && !now.Add(expected).After(s.end)
}

// acceptedWhileStopping reports whether a request is accepted as far as a planned stop is concerned.
func (x *try) acceptedWhileStopping() bool {
	stop := x.forwarder.stop.Load()
	return stop == nil || stop.accepts(time.Now(), x.endTime(), x.forwarder.durations.bound(x.route.Name))
}

// refuseWhileStopping refuses a request that might not end before the node stops. Other nodes are
// there for it at once.
func (x *try) refuseWhileStopping(w http.ResponseWriter) Report {
	left := time.Until(x.forwarder.stop.Load().end).Round(time.Millisecond)
	cause := fmt.Sprintf("node stops in %v, requests of the route take up to %v", left, x.forwarder.durations.bound(x.route.Name))
	Fail(w, http.StatusServiceUnavailable, minRetryAfter)
	return Report{Outcome: OutcomeRefused, Status: http.StatusServiceUnavailable, Cause: cause}
}

// stopped reports whether the requests of the node have been ended by its stop.
func (f *Forwarder) stopped() bool { return f.running.Err() != nil }

// bounded returns a context that ends with ctx, at a limit, or at the end of a planned stop.
func (f *Forwarder) bounded(ctx context.Context, limit time.Time) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithDeadline(ctx, limit)
	detach := context.AfterFunc(f.running, cancel)
	return bounded, func() {
		detach()
		cancel()
	}
}

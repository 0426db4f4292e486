package quarantine

import (
	"maps"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
)

const (
	// backoffThreshold is the number of failures from which a work of a job is backed off. A long
	// item meets fewer by chance during a burst of crashes, and would make its step late.
	backoffThreshold = 2 * QuarantineThreshold
	// firstBackoff is the backoff after backoffThreshold failures. It doubles with each further
	// failure, up to maxBackoff, which leaves the others of a service time to be served if every
	// backend that runs the work fails.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Backoff is the pause of a work of a job. The zero value is none.
type Backoff struct {
	// Failures is the number of backends that failed while running the work for a job.
	Failures int
	// Until is when the work may be sent again.
	Until time.Time
}

// Left returns the time until the work may be sent again, 0 if it may be sent now.
func (b Backoff) Left(now time.Time) time.Duration { return max(b.Until.Sub(now), 0) }

// backoffOf returns the backoff of a work after a number of failures under requests of jobs, the
// last of which was at last. It is a pure function.
func backoffOf(failures int, last time.Time) Backoff {
	if failures < backoffThreshold {
		return Backoff{}
	}
	pause := firstBackoff
	for range failures - backoffThreshold {
		pause = min(2*pause, maxBackoff)
	}
	return Backoff{Failures: failures, Until: last.Add(pause)}
}

// Backoff returns the backoff of a work. Requests of jobs are never quarantined: a job that was
// accepted must be completed, and its requests fail with their backends by chance. They are
// sent again once the backoff is over.
func (t *Tracker) Backoff(work fingerprint.Fingerprint) Backoff { return (*t.backoffs.Load())[work] }

// BackoffCount returns the number of works that are backed off.
func (t *Tracker) BackoffCount() int {
	count, now := 0, time.Now()
	for _, backoff := range *t.backoffs.Load() {
		if backoff.Left(now) > 0 {
			count++
		}
	}
	return count
}

// setBackoff sets or removes the backoff of a work. The caller holds t.mu.
func (t *Tracker) setBackoff(work fingerprint.Fingerprint, backoff Backoff) {
	current := *t.backoffs.Load()
	if current[work] == backoff {
		return
	}
	next := maps.Clone(current)
	if backoff.Failures == 0 {
		delete(next, work)
	} else {
		next[work] = backoff
	}
	t.backoffs.Store(&next)
}

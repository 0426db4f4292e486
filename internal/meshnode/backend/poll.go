package backend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/pause"
)

// jitterShare is the share of the poll interval by which a wait varies, so
// that the polls of many nodes do not fall together.
const jitterShare = 0.25

// poll reads the back end's load report until ctx ends.
func (s *Set) poll(ctx context.Context, t *tracked, b configlog.Backend) {
	defer s.polls.Done()
	// Seeded by the names, so that a run can be repeated.
	random := rand.New(rand.NewPCG(xxhash.Sum64String(s.cfg.Node), xxhash.Sum64String(b.Name)))
	for {
		report, err := s.load(ctx, b.Address)
		if ctx.Err() != nil {
			return
		}
		s.polled(t, report, err)
		if !pause.For(ctx, jitter(random, s.pollInterval())) {
			return
		}
		for wait := s.stillFresh(t); wait > 0; wait = s.stillFresh(t) {
			if !pause.For(ctx, wait) {
				return
			}
		}
	}
}

// pollInterval returns the mean time between two polls of a back end: that of
// the settings, or as much longer as PollRate asks for.
func (s *Set) pollInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pollIntervalLocked()
}

func (s *Set) pollIntervalLocked() time.Duration {
	if s.cfg.PollRate <= 0 {
		return s.cfg.PollInterval
	}
	needed := time.Duration(float64(len(s.backends)) / s.cfg.PollRate * float64(time.Second))
	return max(s.cfg.PollInterval, needed)
}

// stillFresh returns how long the poll of a back end can wait because an answer
// has just carried its report; it is never older than a poll would leave it.
func (s *Set) stillFresh(t *tracked) time.Duration {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.reported || t.pollFailures > 0 {
		return 0
	}
	shortest := time.Duration((1 - jitterShare) * float64(s.pollIntervalLocked()))
	return shortest - now.Sub(t.reportedAt)
}

func (s *Set) load(ctx context.Context, address string) (api.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PollTimeout)
	defer cancel()
	return s.client.Load(ctx, address)
}

func (s *Set) polled(t *tracked, report api.LoadReport, err error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		t.pollFailures++
		if t.pollFailures == s.cfg.Health.Threshold {
			s.lg.WithError(err).WithField("backend", t.configured.Name).Warn("back end does not report its load")
		}
		return
	}
	t.pollFailures = 0
	t.take(report, now)
}

// take records a report. One that is older than the last, by the back end's
// own clock, is dropped: answers may arrive out of order.
func (t *tracked) take(report api.LoadReport, now time.Time) {
	if t.reported && report.AsOfMS < t.report.AsOfMS && !restarted(t.report, report) {
		return
	}
	t.report = report
	t.reported = true
	t.reportedAt = now
	t.reportInFlight = t.inFlight
}

// restartedAfter is how far a back end's clock must have gone back for a report
// to be taken for one of a new process, in milliseconds.
const restartedAfter = 60_000

func restarted(last, report api.LoadReport) bool {
	return last.AsOfMS-report.AsOfMS > restartedAfter
}

func jitter(random *rand.Rand, interval time.Duration) time.Duration {
	share := 1 + jitterShare*(2*random.Float64()-1)
	return time.Duration(share * float64(interval))
}

package backend

import "time"

// HealthConfig bounds the handling of failures.
type HealthConfig struct {
	// Threshold is the number of consecutive failures that make a back end
	// suspect.
	Threshold int
	// BackoffMin is how long failed requests make it suspect at first; every
	// further failure doubles that, up to BackoffMax. Failed polls make it
	// suspect until one succeeds.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// health counts the consecutive failures of a back end's requests.
type health struct {
	failures     int
	suspectUntil time.Time
}

// failed records a failure; a severe one reaches the threshold at once.
func (h *health) failed(cfg HealthConfig, severe bool, now time.Time) {
	h.failures++
	if severe {
		h.failures = max(h.failures, cfg.Threshold)
	}
	if h.failures < cfg.Threshold {
		return
	}
	h.suspectUntil = now.Add(backoff(cfg, h.failures-cfg.Threshold))
}

func (h *health) succeeded() { *h = health{} }

func (h *health) suspect(now time.Time) bool { return now.Before(h.suspectUntil) }

func backoff(cfg HealthConfig, doublings int) time.Duration {
	wait := cfg.BackoffMin
	for range doublings {
		wait *= 2
		if wait >= cfg.BackoffMax {
			return cfg.BackoffMax
		}
	}
	return wait
}

// Package throttle limits the rate of calls to a stand-in of the platform.
package throttle

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/sliplift/sliplift/internal/api"
)

// Limiter refuses calls above a rate. A nil Limiter refuses none.
type Limiter struct {
	limiter *rate.Limiter
	name    string
}

// NewLimiter returns a limiter of perSecond calls a second and bursts of burst
// calls, for the service of that name. It returns nil, which refuses nothing,
// if perSecond is not positive.
func NewLimiter(name string, perSecond float64, burst int) *Limiter {
	if perSecond <= 0 {
		return nil
	}
	return &Limiter{limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, burst)), name: name}
}

// Take takes one call, or returns the refusal of it as an *api.Error with the
// time after which the next call fits.
func (l *Limiter) Take() error {
	if l == nil {
		return nil
	}
	reservation := l.limiter.Reserve()
	delay := reservation.Delay()
	if delay <= 0 {
		return nil
	}
	reservation.Cancel()
	return Refusal(delay, "%s: over the rate limit", l.name)
}

// Refusal returns the error of a call that is refused for its rate and may come
// back after delay.
func Refusal(delay time.Duration, format string, args ...any) *api.Error {
	retryAfterMS := max(1, delay.Milliseconds())
	return api.Refusal(http.StatusTooManyRequests, api.CodeRateLimited, retryAfterMS, format, args...)
}

package dispatch

import (
	"context"
	"sync"
	"time"
)

// recheckDivisor makes the watchdog look again sooner than after a whole
// timeout once a back end has been silent for one.
const recheckDivisor = 4

// watchdog gives an attempt up if its back end is silent and suspect. Silence
// alone is no reason: a stream may wait in the engine's queue for long.
type watchdog struct {
	suspect func() bool
	giveUp  context.CancelFunc
	timeout time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	stalled bool
}

// watch begins to watch the attempt. One that is not repeatable is left alone,
// because giving it up early would gain nothing.
func (a *attempt) watch(giveUp context.CancelFunc) *watchdog {
	w := &watchdog{suspect: a.ticket.Suspect, giveUp: giveUp, timeout: a.e.d.cfg.StallTimeout}
	if w.timeout <= 0 || !a.e.request.Repeatable {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, w.fired)
	return w
}

func (w *watchdog) fired() {
	suspect := w.suspect()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if !suspect {
		w.timer.Reset(w.timeout / recheckDivisor)
		return
	}
	w.stalled = true
	w.giveUp()
}

// heard begins the silence anew.
func (w *watchdog) heard() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

// stop ends the watch and tells whether it gave the attempt up.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.stalled
}

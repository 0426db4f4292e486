// Package signals takes the signals of a long-running process, from its start to its end.
//
// A signal without a handler has its default action, which for SIGHUP, SIGINT, SIGTERM and SIGPIPE is
// to end the process at once: what it has passed on gets no answer, and nothing is handed over. A
// handler that is taken away while a stop is under way gives the default action back. Package
// signals therefore never takes its handler away, and a main function calls Handle before anything
// else. Signals that come before that, while the runtime starts, still end the process.
package signals

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// pendingSignals is the number of signals that may wait to be delivered; further ones are dropped.
const pendingSignals = 16

// Handler tells of the signals that the process received.
type Handler struct {
	stop     context.Context
	received <-chan os.Signal

	mu       sync.Mutex
	onHangup func()
	// hangups counts the SIGHUPs that came before OnHangup was called.
	hangups int
}

// Handle installs the handler of the process. It is called once.
func Handle() *Handler {
	received := make(chan os.Signal, pendingSignals)
	signal.Notify(received, syscall.SIGHUP, os.Interrupt, syscall.SIGTERM)
	// A write to a standard output that nobody reads any more fails instead.
	signal.Ignore(syscall.SIGPIPE)
	stop, cancel := context.WithCancel(context.Background())
	h := &Handler{stop: stop, received: received}
	go h.run(cancel)
	return h
}

// Stop returns a context that is done once the process received SIGINT or SIGTERM. Further ones
// change nothing: the stop that is under way is bounded by the program.
func (h *Handler) Stop() context.Context { return h.stop }

// OnHangup sets the function that is called for each SIGHUP until the process ends, also for those
// that came before.
func (h *Handler) OnHangup(call func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onHangup = call
	for range h.hangups {
		call()
	}
	h.hangups = 0
}

func (h *Handler) run(cancel context.CancelFunc) {
	for received := range h.received {
		if received == syscall.SIGHUP {
			h.hangup()
			continue
		}
		cancel()
	}
}

func (h *Handler) hangup() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.onHangup == nil {
		h.hangups++
		return
	}
	h.onHangup()
}

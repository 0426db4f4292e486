package soak

import (
	"bytes"
	"os"
	"syscall"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

// signalGap is the time between two signals of a series.
const signalGap = 100 * time.Millisecond

// startedEvent is in the line that a gateway logs once it handles signals.
var startedEvent = []byte(`"` + eventlog.Event + `":"` + eventlog.Started + `"`)

// beginSignals sends series of signals that must change nothing: SIGHUP to one node or to all, and,
// to those that are stopping, SIGTERM and SIGINT as well. It returns what ends the series.
func (s *system) beginSignals(f fault) func() {
	targets := s.nodes
	if f.variant%2 == 1 {
		targets = s.nodes[f.target%len(s.nodes):][:1]
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(signalGap)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			for _, n := range targets {
				n.signalAgain()
			}
		}
	}()
	return func() { close(done) }
}

// signalAgain sends a SIGHUP, and to a node that is stopping a SIGTERM and a SIGINT. A process that
// does not handle signals yet gets none.
func (n *node) signalAgain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.handlesSignals() {
		return
	}
	n.send(syscall.SIGHUP)
	if n.stopping {
		n.send(syscall.SIGTERM)
		n.send(syscall.SIGINT)
	}
}

// handlesSignals tells whether the process has logged its start; the lock is held.
func (n *node) handlesSignals() bool {
	if n.handles {
		return true
	}
	content, err := os.ReadFile(n.log())
	if err != nil || int64(len(content)) < n.logStart {
		return false
	}
	n.handles = bytes.Contains(content[n.logStart:], startedEvent)
	return n.handles
}

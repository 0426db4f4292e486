package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/pause"
)

// stopState counts the requests in flight and holds whether new ones are taken.
type stopState struct {
	// pulls ends when the stop begins; waiting pulls then answer.
	pulls    context.Context
	endPulls context.CancelFunc

	mu       sync.Mutex
	begun    bool
	inFlight int
	// listener is the caller port, nil before it is open.
	listener net.Listener
	// idle is closed once the stop has begun and nothing is in flight.
	idle chan struct{}
}

func newStopState() *stopState {
	pulls, endPulls := context.WithCancel(context.Background())
	return &stopState{pulls: pulls, endPulls: endPulls, idle: make(chan struct{})}
}

func (s *stopState) setListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
}

// closePort refuses new connections; those that were accepted go on.
func (s *stopState) closePort() {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
}

// enter counts a request in, unless the stop has begun.
func (s *stopState) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return false
	}
	s.inFlight++
	return true
}

func (s *stopState) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.closeIfIdle()
}

func (s *stopState) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun {
		return
	}
	s.begun = true
	s.endPulls()
	s.closeIfIdle()
}

func (s *stopState) closeIfIdle() {
	if s.begun && s.inFlight == 0 {
		close(s.idle)
	}
}

func (s *stopState) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

func (s *stopState) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// BeginStop makes the server refuse new requests with code node_stopping.
// Requests in flight go on.
func (s *Server) BeginStop() { s.stop.begin() }

// InFlight returns the number of requests that have no final answer yet.
func (s *Server) InFlight() int { return s.stop.count() }

// Wait returns once every request in flight has its answer and the server has
// shut down, or ctx's error if ctx ends before; then Close cuts off the rest.
func (s *Server) Wait(ctx context.Context) error {
	s.stop.begin()
	select {
	case <-s.stop.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	grace := min(closeGrace, s.cfg.StopLinger)
	pause.For(ctx, s.cfg.StopLinger-grace)
	// http.Server drops what it reads once its shutdown has begun, so by then
	// nobody may have a reason to send.
	s.stop.closePort()
	s.sayFarewell()
	pause.For(ctx, grace)
	return s.http.Shutdown(ctx)
}

// closeGrace is the time from the closing of the port and the farewell to idle
// connections to the shutdown. It must be longer than a request is on its way.
const closeGrace = 100 * time.Millisecond

package gateway

import (
	"context"
	"sync"
	"time"
)

// stopState counts the requests in flight and holds whether new ones are taken.
type stopState struct {
	// pulls ends when the stop begins; waiting pulls then answer.
	pulls    context.Context
	endPulls context.CancelFunc

	mu       sync.Mutex
	begun    bool
	inFlight int
	// idle is closed once the stop has begun and nothing is in flight.
	idle chan struct{}
}

func newStopState() *stopState {
	pulls, endPulls := context.WithCancel(context.Background())
	return &stopState{pulls: pulls, endPulls: endPulls, idle: make(chan struct{})}
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
	timer := time.NewTimer(s.cfg.StopLinger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.http.Shutdown(ctx)
}

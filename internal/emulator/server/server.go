// Package server runs the HTTP server of one stand-in. It follows the crash
// faults of the stand-in: while one is on, the listener and every connection
// are closed; when it goes, the server listens on the same address again.
//
// Close returns after every handler has returned.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// ListenFunc opens a listener on an address (host:port).
type ListenFunc func(address string) (net.Listener, error)

// Config describes a server.
type Config struct {
	// Name is the target name of the stand-in's faults.
	Name string
	// Address is host:port; port 0 asks for any free port.
	Address string
	Listen  ListenFunc
	Faults  *fault.Set
	Handler http.Handler
	// OnCrash is called when a crash has closed the connections and all handlers
	// have returned, OnRestart before the server listens again. Both may be nil.
	OnCrash   func()
	OnRestart func()
}

// Server is a running HTTP server.
type Server struct {
	config  Config
	lg      logrus.FieldLogger
	address string
	cancel  context.CancelFunc
	stopped chan struct{}
}

// Start listens and serves until Close.
func Start(lg logrus.FieldLogger, config Config) (*Server, error) {
	listener, err := config.Listen(config.Address)
	if err != nil {
		return nil, errs.Errorf("%s: %w", config.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		config:  config,
		lg:      lg.WithField("stand_in", config.Name),
		address: listener.Addr().String(),
		cancel:  cancel,
		stopped: make(chan struct{}),
	}
	go s.run(ctx, listener)
	return s, nil
}

// Address returns host:port on which the server listens.
func (s *Server) Address() string { return s.address }

// Close closes the listener and every connection, and waits for the handlers.
func (s *Server) Close() {
	s.cancel()
	<-s.stopped
}

// run serves one incarnation after another.
func (s *Server) run(ctx context.Context, listener net.Listener) {
	defer close(s.stopped)
	for {
		live := serve(listener, s.config.Handler)
		s.waitForCrash(ctx)
		live.close()
		if ctx.Err() != nil {
			return
		}
		s.lg.Info("crash fault: connections closed")
		s.notify(s.config.OnCrash)
		if err := s.config.Faults.WaitWhile(ctx, s.config.Name, fault.KindCrash); err != nil {
			return
		}
		s.notify(s.config.OnRestart)
		next, err := s.config.Listen(s.address)
		if err != nil {
			s.lg.WithError(err).Error("the address is gone: the stand-in stays down")
			return
		}
		listener = next
	}
}

func (s *Server) notify(callback func()) {
	if callback != nil {
		callback()
	}
}

// waitForCrash returns when a crash fault is on or ctx ends.
func (s *Server) waitForCrash(ctx context.Context) {
	for {
		changed := s.config.Faults.Changed()
		if s.config.Faults.Active(s.config.Name, fault.KindCrash) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// lifetimeKey is the key of the context that Lifetime returns.
type lifetimeKey struct{}

// Lifetime returns the context that ends when the server closes or crashes, and
// not when the client of the request goes away.
func Lifetime(r *http.Request) context.Context {
	lifetime, ok := r.Context().Value(lifetimeKey{}).(context.Context)
	if !ok {
		return context.Background()
	}
	return lifetime
}

// incarnation is an HTTP server between two crashes. Its end ends the contexts
// of all its requests, also of those whose body is not read yet.
type incarnation struct {
	server   *http.Server
	cancel   context.CancelFunc
	mu       sync.Mutex
	closed   bool
	handlers sync.WaitGroup
}

func serve(listener net.Listener, handler http.Handler) *incarnation {
	lifetime, cancel := context.WithCancel(context.Background())
	base := context.WithValue(lifetime, lifetimeKey{}, lifetime)
	live := &incarnation{cancel: cancel}
	live.server = &http.Server{
		Handler:     live.count(handler),
		BaseContext: func(net.Listener) context.Context { return base },
	}
	live.handlers.Go(func() {
		// Serve returns only when the listener or the server is closed.
		_ = live.server.Serve(listener)
	})
	return live
}

// count lets close wait for the handlers that run.
func (i *incarnation) count(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !i.enter() {
			panic(http.ErrAbortHandler)
		}
		defer i.handlers.Done()
		handler.ServeHTTP(w, r)
	})
}

func (i *incarnation) enter() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.handlers.Add(1)
	return true
}

func (i *incarnation) close() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.cancel()
	_ = i.server.Close()
	i.handlers.Wait()
}

// WriteFailure answers a call that failed: an *api.Error with its status, a
// target that is down with 503, and anything else by breaking the connection,
// so that the client cannot know whether the call took effect.
func WriteFailure(w http.ResponseWriter, err error) {
	var answer *api.Error
	switch {
	case errors.As(err, &answer):
		httpjson.WriteError(w, answer)
	case errors.Is(err, fault.ErrDown):
		httpjson.WriteError(w, unavailable(err))
	default:
		panic(http.ErrAbortHandler)
	}
}

// unavailable is the answer of a service that fails as a whole. Like that of a
// gateway before the real service it says nothing about the call's effect.
func unavailable(err error) *api.Error {
	return &api.Error{
		Code:    api.CodeStoreUnavailable,
		Outcome: api.OutcomeUnknown,
		Message: err.Error(),
		Status:  http.StatusServiceUnavailable,
	}
}

// Answer sends value, or the failure of the call.
func Answer(w http.ResponseWriter, value any, err error) {
	if err != nil {
		WriteFailure(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, value)
}

// AsUncertain returns the error of a direct call as the platform's interfaces
// want it: an *api.Error stays, anything else becomes storeclient.ErrUncertain.
func AsUncertain(err error) error {
	var answer *api.Error
	if err == nil || errors.As(err, &answer) {
		return err
	}
	return storeclient.ErrUncertain.Wrap(err)
}

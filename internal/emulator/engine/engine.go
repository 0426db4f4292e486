// Package engine is the stand-in of a model engine: an HTTP server around the
// batching model of package batch, run in real time.
//
// POST /v1/generate streams frames as JSON lines; the header goes out as soon
// as the engine has accepted the stream, so a response with status 200 means
// that it may run. Every other status means that it did not. A client that goes
// away cancels its stream. POST /v1/cancel and /v1/kv/export end a stream, whose
// response then ends with a frame that says so. A stream resumes from an
// exported state: it produces only the tokens that follow.
//
// POST /v1/orders is fenced by the highest epoch seen. GET /v1/load answers with
// a snapshot of at most LoadLag of age, GET /v1/cache-events late and with gaps.
//
// The engine writes the truth into the history: stream_started when it accepts
// a stream, stream_ended with the segments, the checksum of the stream's own
// text, what it was resumed from, the checksum of both texts together and the
// finish reason. A stream that a crash or a lost client ended has
// the reason cancelled.
//
// Everything that a crash destroys is in a core; after the crash a new core
// begins with the configured version, an empty cache and no epoch seen.
package engine

import (
	"net/http"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/server"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// Dependencies are what an engine needs of its surroundings.
type Dependencies struct {
	Listen  server.ListenFunc
	Faults  *fault.Set
	Weights storeclient.Weights
	Sink    history.Sink
}

// Engine is a running engine.
type Engine struct {
	config  Config
	needs   Dependencies
	calls   server.BackendCalls
	lg      logrus.FieldLogger
	core    atomic.Pointer[core]
	leaving atomic.Bool
	server  *server.Server
}

// Start listens and serves until Close.
func Start(lg logrus.FieldLogger, config Config, needs Dependencies) (*Engine, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	e := &Engine{
		config: config,
		needs:  needs,
		calls:  server.BackendCalls{Name: config.Name, Faults: needs.Faults},
		lg:     lg.WithField("engine", config.Name),
	}
	e.restart()
	running, err := server.Start(lg, server.Config{
		Name:      config.Name,
		Address:   config.Address,
		Listen:    needs.Listen,
		Faults:    needs.Faults,
		Handler:   e.handler(),
		OnCrash:   func() { e.core.Load().close() },
		OnRestart: e.restart,
	})
	if err != nil {
		e.core.Load().close()
		return nil, err
	}
	e.server = running
	return e, nil
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.config.Name }

// Address returns host:port on which the engine listens.
func (e *Engine) Address() string { return e.server.Address() }

// SetLeaving sets what the engine reports about its own going.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Close breaks all streams and stops the engine.
func (e *Engine) Close() {
	e.server.Close()
	e.core.Load().close()
}

func (e *Engine) restart() {
	c := newCore(e.lg, e.config, e.needs, &e.leaving)
	e.core.Store(c)
	c.start()
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("POST /v1/kv/export", e.serveExport)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	return mux
}

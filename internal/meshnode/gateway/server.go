package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"path"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// LiveService runs live requests; *dispatch.Dispatcher implements it.
type LiveService interface {
	Do(ctx context.Context, request dispatch.Request) dispatch.Result
}

// PullQuery holds the query parameters of a pull.
type PullQuery struct {
	Cursor int64
	// Version is the trainer's version.
	Version int64
	// Limit is the largest number of samples; zero leaves it to the service.
	Limit int
	// Wait is how long to wait for the first sample.
	Wait time.Duration
}

// StepService runs the steps of trainers.
type StepService interface {
	Post(ctx context.Context, trainer string, step int64, request api.StepRequest) (api.StepResponse, *api.Error)
	Pull(ctx context.Context, trainer string, step int64, query PullQuery) (api.PullResponse, *api.Error)
	Ack(ctx context.Context, trainer string, step int64, cursor int64) (api.AckResponse, *api.Error)
	Publish(ctx context.Context, trainer string, request api.VersionRequest) (api.VersionResponse, *api.Error)
}

// Pools gives the configuration of pools; *backend.Set implements it.
type Pools interface {
	Pool(name string) (configlog.Pool, bool)
}

// Readiness tells whether the node may take requests.
type Readiness interface {
	// Ready returns nil, or why the node is not ready.
	Ready() error
}

// Services are what the gateway hands requests to.
type Services struct {
	Live  LiveService
	Steps StepService
	Pools Pools
	// Readiness may be nil; then the node is always ready.
	Readiness Readiness
}

// Config holds the bounds of the caller port.
type Config struct {
	// BodyLimit bounds a request body in bytes.
	BodyLimit int64
	// MaxDeadline bounds the deadline that a live request may ask for.
	MaxDeadline time.Duration
	// MaxPullWait bounds how long a pull may wait.
	MaxPullWait time.Duration
	// MaxSamples bounds the samples of a step.
	MaxSamples int
	// MaxTokens bounds the answer that a request may ask an engine for.
	MaxTokens int
	// InFlightLimit bounds the live requests in flight; zero means no bound.
	InFlightLimit int
	// StopLinger is how long a node that has finished its requests goes on
	// refusing new ones, so that callers get an answer and not a closed port.
	StopLinger time.Duration
	// StopRetryAfter is the advice that goes with a refusal while stopping.
	StopRetryAfter time.Duration
}

const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = time.Minute
	idleTimeout       = 2 * time.Minute
)

// Server is the HTTP server of the caller port.
type Server struct {
	lg       logrus.FieldLogger
	cfg      Config
	services Services
	metrics  *metrics
	stop     *stopState
	live     *requestIDs
	idle     *idleConnections
	http     *http.Server
}

// NewServer returns a Server whose metrics are on registry.
func NewServer(lg logrus.FieldLogger, cfg Config, services Services, registry *prometheus.Registry) *Server {
	s := &Server{
		lg:       lg,
		cfg:      cfg.withDefaults(),
		services: services,
		metrics:  newMetrics(registry),
		stop:     newStopState(),
		live:     newRequestIDs(),
		idle:     newIdleConnections(),
	}
	s.http = &http.Server{
		Handler:           s.routes(registry),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         s.idle.track,
	}
	return s
}

// Handler returns the server's handler, for a server of the caller's own.
func (s *Server) Handler() http.Handler { return s.http.Handler }

// Serve answers requests on listener until Wait or Close, and returns nil then.
func (s *Server) Serve(listener net.Listener) error {
	s.stop.setListener(listener)
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || s.stop.stopping() {
		return nil
	}
	return err
}

// Close ends the server at once and cuts off what is in flight.
func (s *Server) Close() error {
	s.stop.begin()
	return s.http.Close()
}

func (s *Server) routes(registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/requests", s.operation(operationLive, s.whenReady(s.serveLive)))
	mux.Handle("POST /v1/trainers/{trainer}/steps/{step}", s.operation(operationPost, s.whenReady(s.servePost)))
	mux.Handle("GET /v1/trainers/{trainer}/steps/{step}/samples", s.operation(operationPull, s.servePull))
	mux.Handle("POST /v1/trainers/{trainer}/steps/{step}/ack", s.operation(operationAck, s.serveAck))
	mux.Handle("POST /v1/trainers/{trainer}/versions", s.operation(operationPublish, s.whenReady(s.servePublish)))
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/", serveUnknownPath)
	return exactPaths(mux)
}

// exactPaths answers paths that the mux would redirect or refuse without a
// typed error, such as "//v1/requests".
func exactPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if escaped := r.URL.EscapedPath(); r.RequestURI == "*" || path.Clean("/"+escaped) != escaped {
			serveUnknownPath(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func serveUnknownPath(w http.ResponseWriter, r *http.Request) {
	httpjson.WriteError(w, api.Refusal(http.StatusNotFound, api.CodeNotFound, 0, "no %s %s", r.Method, r.URL.Path))
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.mayServe(); err != nil {
		httpjson.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// mayServe returns why new requests are refused, nil if they are not.
func (s *Server) mayServe() *api.Error {
	if s.stop.stopping() {
		return s.stoppingError()
	}
	return s.notReady()
}

// notReady returns why the node takes no new work, nil if it does.
func (s *Server) notReady() *api.Error {
	if s.services.Readiness == nil {
		return nil
	}
	if err := s.services.Readiness.Ready(); err != nil {
		return api.Refusal(http.StatusServiceUnavailable, api.CodeNotReady, notReadyRetryMS, "%v", err)
	}
	return nil
}

func (s *Server) stoppingError() *api.Error {
	return api.Refusal(http.StatusServiceUnavailable, api.CodeStopping, s.cfg.StopRetryAfter.Milliseconds(), "the node is stopping")
}

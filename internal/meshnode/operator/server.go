package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

const (
	// queryBodyLimit leaves room for the escapes of JSON around a text.
	queryBodyLimit = 4*query.MaxTextBytes + 4096
	// maxQueries bounds the queries that run at the same time on one node.
	maxQueries = 64
	// overloadRetryMS is when coming back helps after too many queries.
	overloadRetryMS = 1000
	// maxAuthorBytes bounds the name of an operator.
	maxAuthorBytes = 128
	// readHeaderTimeout bounds a client that connects and says nothing.
	readHeaderTimeout = 10 * time.Second
)

// Executor is what the server needs of the query package.
type Executor interface {
	Parse(source string) ([]query.Parsed, error)
	Run(ctx context.Context, batch query.Batch, statements []query.Parsed, emit func(query.Result)) query.Summary
}

// ServerConfig sets up a Server.
type ServerConfig struct {
	// Node is the name of this node.
	Node     string
	Executor Executor
	// Status returns the node's status; AsOf is set by the server.
	Status func() Status
	// Metrics serves /metrics; nil for none.
	Metrics http.Handler
}

// Server serves the operator port.
type Server struct {
	logger  logrus.FieldLogger
	config  ServerConfig
	http    *http.Server
	running chan struct{}
	// base is the context of all requests; stop ends it.
	base context.Context
	stop context.CancelCauseFunc
}

// NewServer returns a server that is not serving yet.
func NewServer(logger logrus.FieldLogger, config ServerConfig) *Server {
	s := &Server{logger: logger, config: config, running: make(chan struct{}, maxQueries)}
	s.base, s.stop = context.WithCancelCause(context.Background())
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return s.base },
	}
	return s
}

// Handler returns the server's routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", s.handleQuery)
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	mux.HandleFunc("GET /healthz", s.handleHealth)
	if s.config.Metrics != nil {
		mux.Handle("GET /metrics", s.config.Metrics)
	}
	return mux
}

// Serve answers on the listener until Shutdown or Close; it then returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errs.Wrap(err)
	}
	return nil
}

// Shutdown stops accepting, and waits for the statements that are running: a
// change is settled, a WAIT ends early, and no further statement begins.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop(ErrStopping)
	return errs.Wrap(s.http.Shutdown(ctx))
}

// Close cuts every connection.
func (s *Server) Close() error {
	s.stop(ErrStopping)
	return errs.Wrap(s.http.Close())
}

func (s *Server) status() Status {
	status := s.config.Status()
	status.AsOf = time.Now()
	return status
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.status())
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	status := s.status()
	if !status.Ready || status.Stopping {
		httpjson.Write(w, http.StatusServiceUnavailable, status)
		return
	}
	httpjson.Write(w, http.StatusOK, status)
}

func (s *Server) handleQuery(w http.ResponseWriter, r *http.Request) {
	select {
	case s.running <- struct{}{}:
		defer func() { <-s.running }()
	default:
		httpjson.WriteError(w, api.Refusal(http.StatusTooManyRequests, api.CodeOverloaded, overloadRetryMS,
			"%d queries are running on this node", maxQueries))
		return
	}
	var request QueryRequest
	if refusal := httpjson.Read(w, r, queryBodyLimit, &request); refusal != nil {
		httpjson.WriteError(w, refusal)
		return
	}
	statements, refusal := s.check(&request)
	if refusal != nil {
		httpjson.WriteError(w, refusal)
		return
	}
	if request.Output == DeliveryStream {
		s.stream(w, r, request, statements)
		return
	}
	s.whole(w, r, request, statements)
}

// check reads a request and gives it an id where it has none; a refusal means
// that nothing ran.
func (s *Server) check(request *QueryRequest) ([]query.Parsed, *api.Error) {
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	if uuid.Validate(request.ID) != nil {
		return nil, api.Invalid("id: %q is not a UUID", request.ID)
	}
	if len(request.Author) > maxAuthorBytes {
		return nil, api.Invalid("author: %d bytes; at most %d are allowed", len(request.Author), maxAuthorBytes)
	}
	switch request.Output {
	case "", DeliveryWhole, DeliveryStream:
	default:
		return nil, api.Invalid("output: %q is not allowed; allowed are %s and %s", request.Output, DeliveryWhole, DeliveryStream)
	}
	statements, err := s.config.Executor.Parse(request.Statements)
	if err != nil {
		return nil, api.Refusal(http.StatusBadRequest, api.CodeSyntax, 0, "%v", err)
	}
	return statements, nil
}

func (s *Server) whole(w http.ResponseWriter, r *http.Request, request QueryRequest, statements []query.Parsed) {
	response := QueryResponse{ID: request.ID, Node: s.config.Node, Results: []query.Result{}}
	response.Summary = s.config.Executor.Run(r.Context(), request.batch(), statements, func(result query.Result) {
		response.Results = append(response.Results, result)
	})
	httpjson.Write(w, http.StatusOK, response)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, request QueryRequest, statements []query.Parsed) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	send := func(line StreamLine) {
		// Run notices by the request's context that the client went away.
		if err := errors.Join(encoder.Encode(line), controller.Flush()); err != nil {
			s.logger.WithError(err).WithField("query", request.ID).Debug("the client of a query went away")
		}
	}
	summary := s.config.Executor.Run(r.Context(), request.batch(), statements, func(result query.Result) {
		send(StreamLine{Result: &result})
	})
	send(StreamLine{Summary: &summary})
}

// batch returns the batch of a request that was checked.
func (r QueryRequest) batch() query.Batch {
	return query.NewBatch(uuid.MustParse(r.ID), r.Author, r.Statements)
}

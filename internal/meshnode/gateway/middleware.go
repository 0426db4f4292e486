package gateway

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// record is what one request leaves in the log and the metrics. Pool is set
// once it is known to be configured, so that labels stay few.
type record struct {
	requestID string
	pool      string
	trainer   string
	backend   string
	outcome   api.Outcome
	code      api.Code
	attempts  int
}

// answer is a success body, or an error.
type answer struct {
	value any
	err   *api.Error
}

func failed(err *api.Error) answer { return answer{err: err} }

// handler serves one operation and fills the record in.
type handler func(w http.ResponseWriter, r *http.Request, entry *record) answer

// whenReady wraps a handler of new work: it refuses while the node is not ready.
// Pulls and acknowledgements are not new work; a node that is drained goes on
// answering them for the steps it owns.
func (s *Server) whenReady(serve handler) handler {
	return func(w http.ResponseWriter, r *http.Request, entry *record) answer {
		if err := s.notReady(); err != nil {
			return failed(err)
		}
		return serve(w, r, entry)
	}
}

// operation wraps a handler: it refuses while the node stops, answers panics,
// and logs and counts every request.
func (s *Server) operation(name operation, serve handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		entry := &record{}
		result, entered := s.admit(w, r, entry, serve)
		if entered {
			defer s.leave()
		}
		if s.stop.stopping() {
			w.Header().Set("Connection", "close")
		}
		if result.err != nil {
			entry.outcome, entry.code = result.err.Outcome, result.err.Code
			httpjson.WriteError(w, result.err)
		} else {
			entry.outcome = api.OutcomeCompleted
			httpjson.Write(w, http.StatusOK, result.value)
		}
		s.finish(name, entry, time.Since(started))
	})
}

// admit runs the handler if the node takes requests, and tells whether the
// request was counted as in flight.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, entry *record, serve handler) (result answer, entered bool) {
	if !s.stop.enter() {
		return failed(s.stoppingError()), false
	}
	s.metrics.inFlight.Inc()
	return s.protect(w, r, entry, serve), true
}

func (s *Server) leave() {
	s.metrics.inFlight.Dec()
	s.stop.leave()
}

// protect turns a panic of the handler into an answer. What the request did
// before is not known.
func (s *Server) protect(w http.ResponseWriter, r *http.Request, entry *record, serve handler) (result answer) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		s.metrics.panics.Inc()
		s.lg.WithFields(logrus.Fields{"request_id": entry.requestID, "panic": cause, "stack": string(debug.Stack())}).Error("handler panicked")
		result = failed(&api.Error{
			Code:      api.CodeInternal,
			Outcome:   api.OutcomeUnknown,
			Message:   "internal error",
			RequestID: entry.requestID,
			Status:    http.StatusInternalServerError,
		})
	}()
	return serve(w, r, entry)
}

func (s *Server) finish(name operation, entry *record, took time.Duration) {
	s.metrics.requests.WithLabelValues(string(name), entry.pool, string(entry.outcome)).Inc()
	s.metrics.duration.WithLabelValues(string(name), entry.pool).Observe(took.Seconds())
	fields := logrus.Fields{
		"operation":   name,
		"request_id":  entry.requestID,
		"pool":        entry.pool,
		"outcome":     entry.outcome,
		"duration_ms": float64(took.Microseconds()) / 1000,
	}
	if entry.trainer != "" {
		fields["trainer"] = entry.trainer
	}
	if entry.attempts > 0 {
		fields["backend"] = entry.backend
		fields["attempts"] = entry.attempts
	}
	if entry.code != "" {
		fields["code"] = entry.code
	}
	s.lg.WithFields(fields).Info("request")
}

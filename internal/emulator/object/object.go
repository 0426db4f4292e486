// Package object is the stand-in of the platform's object store. A Service
// implements platform.Objects directly, with the same rate limit and faults as
// over HTTP. Objects are written whole; a crash of the server loses none.
package object

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/server"
	"github.com/sliplift/sliplift/internal/emulator/throttle"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// Config describes the store.
type Config struct {
	// Name is the target name of the store's faults.
	Name string
	// Address is host:port of its HTTP interface.
	Address string
	// PerSecond is the largest rate of calls; zero means no limit.
	PerSecond float64
	// Burst is the number of calls that may come at once.
	Burst int
	// MaximumBytes bounds an object.
	MaximumBytes int64
}

// DefaultConfig returns a store of 200 calls a second and objects of 64 MiB.
func DefaultConfig() Config {
	return Config{Name: "objects", Address: "127.0.0.1:0", PerSecond: 200, Burst: 50, MaximumBytes: 64 << 20}
}

// Service is the object store. It is safe for concurrent use.
type Service struct {
	config  Config
	faults  *fault.Set
	limiter *throttle.Limiter

	mu      sync.Mutex
	objects map[string][]byte
}

// NewService returns an empty store.
func NewService(config Config, faults *fault.Set) *Service {
	return &Service{
		config:  config,
		faults:  faults,
		limiter: throttle.NewLimiter(config.Name, config.PerSecond, config.Burst),
		objects: map[string][]byte{},
	}
}

// PutObject implements platform.Objects.
func (s *Service) PutObject(ctx context.Context, key string, content []byte) error {
	return server.AsUncertain(s.put(ctx, key, content))
}

// GetObject implements platform.Objects.
func (s *Service) GetObject(ctx context.Context, key string) ([]byte, error) {
	content, err := s.get(ctx, key)
	return content, server.AsUncertain(err)
}

// DeleteObject implements platform.Objects. Deleting what is not there succeeds.
func (s *Service) DeleteObject(ctx context.Context, key string) error {
	return server.AsUncertain(s.remove(ctx, key))
}

func (s *Service) put(ctx context.Context, key string, content []byte) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	if int64(len(content)) > s.config.MaximumBytes {
		return api.Refusal(http.StatusRequestEntityTooLarge, api.CodeTooLarge, 0, "%s: over %d bytes", key, s.config.MaximumBytes)
	}
	s.mu.Lock()
	s.objects[key] = slices.Clone(content)
	s.mu.Unlock()
	return s.end()
}

func (s *Service) get(ctx context.Context, key string) ([]byte, error) {
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content, exists := s.objects[key]
	if !exists {
		return nil, api.Refusal(http.StatusNotFound, api.CodeNotFound, 0, "%s: no such object", key)
	}
	return slices.Clone(content), nil
}

func (s *Service) remove(ctx context.Context, key string) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.objects, key)
	s.mu.Unlock()
	return s.end()
}

func (s *Service) begin(ctx context.Context) error {
	if err := s.faults.Before(ctx, s.config.Name); err != nil {
		return err
	}
	return s.limiter.Take()
}

// end lets the answer to a call that changed something be lost.
func (s *Service) end() error {
	return s.faults.LoseAnswer(s.config.Name)
}

// Handler returns the HTTP interface of the store: PUT, GET and DELETE on
// /v1/objects/{key} with raw bytes.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/objects/{key}", s.servePut)
	mux.HandleFunc("GET /v1/objects/{key}", s.serveGet)
	mux.HandleFunc("DELETE /v1/objects/{key}", s.serveDelete)
	return mux
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.config.MaximumBytes))
	if err != nil {
		httpjson.WriteError(w, api.Refusal(http.StatusBadRequest, api.CodeMalformed, 0, "body: %v", err))
		return
	}
	s.answerEmpty(w, s.put(r.Context(), r.PathValue("key"), content))
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	content, err := s.get(r.Context(), r.PathValue("key"))
	if err != nil {
		server.WriteFailure(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A failure here means that the client went away; nobody is left to tell.
	_, _ = w.Write(content)
}

func (s *Service) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.answerEmpty(w, s.remove(r.Context(), r.PathValue("key")))
}

func (s *Service) answerEmpty(w http.ResponseWriter, err error) {
	if err != nil {
		server.WriteFailure(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

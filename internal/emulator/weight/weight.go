// Package weight is the stand-in of the platform's weight store. Trainers put
// versions, engines pull them. A pull holds one of a few slots for as long as
// the bytes take; where no slot is free the store answers 429 with the time
// after which one should be. A Service implements platform.Weights directly,
// with the same limits and faults as over HTTP; a crash loses no version.
package weight

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

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
	// ConcurrentPulls is the largest number of pulls at once; zero means no limit.
	ConcurrentPulls int
	// BytesPerSecond is the rate of one pull; zero means that it takes no time.
	BytesPerSecond int64
}

// DefaultConfig returns a store of 4 pulls at once, each of 4 GB a second.
func DefaultConfig() Config {
	return Config{Name: "weights", Address: "127.0.0.1:0", ConcurrentPulls: 4, BytesPerSecond: 4_000_000_000}
}

type key struct {
	model   string
	version int64
}

// Service is the weight store. It is safe for concurrent use.
type Service struct {
	config Config
	faults *fault.Set

	mu       sync.Mutex
	versions map[key]api.WeightVersion
	pulls    int
}

// NewService returns an empty store.
func NewService(config Config, faults *fault.Set) *Service {
	return &Service{config: config, faults: faults, versions: map[key]api.WeightVersion{}}
}

// PutWeights implements platform.Weights.
func (s *Service) PutWeights(ctx context.Context, version api.WeightVersion) error {
	return server.AsUncertain(s.put(ctx, version))
}

// GetWeights implements platform.Weights. It takes as long as the pull of the
// bytes.
func (s *Service) GetWeights(ctx context.Context, model string, version int64) (api.WeightVersion, error) {
	weights, err := s.pull(ctx, key{model: model, version: version})
	return weights, server.AsUncertain(err)
}

func (s *Service) put(ctx context.Context, version api.WeightVersion) error {
	if err := s.faults.Before(ctx, s.config.Name); err != nil {
		return err
	}
	s.mu.Lock()
	s.versions[key{model: version.Model, version: version.Version}] = version
	s.mu.Unlock()
	return s.faults.LoseAnswer(s.config.Name)
}

func (s *Service) pull(ctx context.Context, wanted key) (api.WeightVersion, error) {
	if err := s.faults.Before(ctx, s.config.Name); err != nil {
		return api.WeightVersion{}, err
	}
	weights, err := s.beginPull(wanted)
	if err != nil {
		return api.WeightVersion{}, err
	}
	defer s.endPull()
	if err := fault.Sleep(ctx, s.pullTime(weights)); err != nil {
		return api.WeightVersion{}, err
	}
	return weights, nil
}

func (s *Service) beginPull(wanted key) (api.WeightVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	weights, exists := s.versions[wanted]
	if !exists {
		return api.WeightVersion{}, api.Refusal(http.StatusNotFound, api.CodeNotFound, 0, "%s: no version %d", wanted.model, wanted.version)
	}
	if s.config.ConcurrentPulls > 0 && s.pulls >= s.config.ConcurrentPulls {
		return api.WeightVersion{}, throttle.Refusal(s.pullTime(weights), "%s: %d pulls under way", s.config.Name, s.pulls)
	}
	s.pulls++
	return weights, nil
}

func (s *Service) endPull() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulls--
}

func (s *Service) pullTime(weights api.WeightVersion) time.Duration {
	if s.config.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(weights.Bytes) / float64(s.config.BytesPerSecond) * float64(time.Second))
}

// Handler returns the HTTP interface of the store: PUT and GET on
// /v1/weights/{model}/{version}.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/weights/{model}/{version}", s.servePut)
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.serveGet)
	return mux
}

func (s *Service) servePut(w http.ResponseWriter, r *http.Request) {
	wanted, invalid := pathKey(r)
	if invalid != nil {
		httpjson.WriteError(w, invalid)
		return
	}
	var weights api.WeightVersion
	if malformed := httpjson.Read(w, r, httpjson.DefaultBodyLimit, &weights); malformed != nil {
		httpjson.WriteError(w, malformed)
		return
	}
	if weights.Model != wanted.model || weights.Version != wanted.version {
		httpjson.WriteError(w, api.Invalid("model, version: the body names %s %d", weights.Model, weights.Version))
		return
	}
	if err := s.put(r.Context(), weights); err != nil {
		server.WriteFailure(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	wanted, invalid := pathKey(r)
	if invalid != nil {
		httpjson.WriteError(w, invalid)
		return
	}
	weights, err := s.pull(r.Context(), wanted)
	server.Answer(w, weights, err)
}

func pathKey(r *http.Request) (key, *api.Error) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		return key{}, api.Invalid("version: %q is not a number", r.PathValue("version"))
	}
	return key{model: r.PathValue("model"), version: version}, nil
}

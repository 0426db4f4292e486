// Package scoring is the stand-in of the scoring service. The score of a text
// is a function of its prompt and text. A Service implements platform.Scorer
// directly, with the same rate limit and faults as over HTTP.
package scoring

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/server"
	"github.com/sliplift/sliplift/internal/emulator/throttle"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// Config describes the service.
type Config struct {
	// Name is the target name of the service's faults.
	Name string
	// Address is host:port of its HTTP interface.
	Address string
	// ScoreTime is the time that a score takes.
	ScoreTime time.Duration
	// PerSecond is the largest rate of calls; zero means no limit.
	PerSecond float64
	// Burst is the number of calls that may come at once.
	Burst int
}

// DefaultConfig returns a service that takes 5 ms a score and has no limit.
func DefaultConfig() Config {
	return Config{Name: "scoring", Address: "127.0.0.1:0", ScoreTime: 5 * time.Millisecond}
}

// Service is the scoring service. It is safe for concurrent use.
type Service struct {
	config  Config
	faults  *fault.Set
	limiter *throttle.Limiter
}

// NewService returns a scoring service.
func NewService(config Config, faults *fault.Set) *Service {
	return &Service{config: config, faults: faults, limiter: throttle.NewLimiter(config.Name, config.PerSecond, config.Burst)}
}

// TextScore returns the score in [0,1) that the service gives to a text.
func TextScore(prompt, text string) float64 {
	digest := xxhash.NewWithSeed(xxhash.Sum64String(prompt))
	_, _ = digest.WriteString(text)
	const steps = 1000
	return float64(digest.Sum64()%steps) / steps
}

// Score implements platform.Scorer.
func (s *Service) Score(ctx context.Context, request api.ScoreRequest) (api.ScoreResponse, error) {
	response, err := s.score(ctx, request)
	return response, server.AsUncertain(err)
}

func (s *Service) score(ctx context.Context, request api.ScoreRequest) (api.ScoreResponse, error) {
	if err := s.faults.Before(ctx, s.config.Name); err != nil {
		return api.ScoreResponse{}, err
	}
	if err := s.limiter.Take(); err != nil {
		return api.ScoreResponse{}, err
	}
	if err := fault.Sleep(ctx, s.config.ScoreTime); err != nil {
		return api.ScoreResponse{}, err
	}
	if err := s.faults.LoseAnswer(s.config.Name); err != nil {
		return api.ScoreResponse{}, err
	}
	return api.ScoreResponse{Score: TextScore(request.Prompt, request.Text)}, nil
}

// Handler returns the HTTP interface of the service: POST /v1/score.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/score", func(w http.ResponseWriter, r *http.Request) {
		var request api.ScoreRequest
		if malformed := httpjson.Read(w, r, httpjson.DefaultBodyLimit, &request); malformed != nil {
			httpjson.WriteError(w, malformed)
			return
		}
		response, err := s.score(r.Context(), request)
		server.Answer(w, response, err)
	})
	return mux
}

package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

func (s *Server) servePost(w http.ResponseWriter, r *http.Request, entry *record) answer {
	trainer, step, err := stepOf(r, entry)
	if err != nil {
		return failed(err)
	}
	var body api.StepRequest
	if err := httpjson.Read(w, r, s.cfg.BodyLimit, &body); err != nil {
		return failed(err)
	}
	if err := s.checkStep(&body); err != nil {
		return failed(err)
	}
	entry.pool = body.Pool
	value, err := s.services.Steps.Post(r.Context(), trainer, step, body)
	return answer{value: value, err: err}
}

func (s *Server) servePull(_ http.ResponseWriter, r *http.Request, entry *record) answer {
	trainer, step, err := stepOf(r, entry)
	if err != nil {
		return failed(err)
	}
	query, err := s.pullQuery(r.URL.Query())
	if err != nil {
		return failed(err)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.stop.pulls, cancel)()
	value, err := s.services.Steps.Pull(ctx, trainer, step, query)
	return answer{value: value, err: err}
}

func (s *Server) serveAck(w http.ResponseWriter, r *http.Request, entry *record) answer {
	trainer, step, err := stepOf(r, entry)
	if err != nil {
		return failed(err)
	}
	var body api.AckRequest
	if err := httpjson.Read(w, r, s.cfg.BodyLimit, &body); err != nil {
		return failed(err)
	}
	if body.Cursor < 0 {
		return failed(api.Invalid("cursor: %d is negative", body.Cursor))
	}
	value, err := s.services.Steps.Ack(r.Context(), trainer, step, body.Cursor)
	return answer{value: value, err: err}
}

func (s *Server) servePublish(w http.ResponseWriter, r *http.Request, entry *record) answer {
	trainer, err := trainerOf(r, entry)
	if err != nil {
		return failed(err)
	}
	var body api.VersionRequest
	if err := httpjson.Read(w, r, s.cfg.BodyLimit, &body); err != nil {
		return failed(err)
	}
	if _, err := s.enginePool(body.Pool); err != nil {
		return failed(err)
	}
	if body.Version <= 0 {
		return failed(api.Invalid("version: %d is not positive", body.Version))
	}
	entry.pool = body.Pool
	value, err := s.services.Steps.Publish(r.Context(), trainer, body)
	return answer{value: value, err: err}
}

func trainerOf(r *http.Request, entry *record) (string, *api.Error) {
	trainer := r.PathValue("trainer")
	if err := checkName("trainer", trainer, maxNameLength); err != nil {
		return "", err
	}
	entry.trainer = trainer
	return trainer, nil
}

func stepOf(r *http.Request, entry *record) (string, int64, *api.Error) {
	trainer, err := trainerOf(r, entry)
	if err != nil {
		return "", 0, err
	}
	step, parseErr := strconv.ParseInt(r.PathValue("step"), 10, 64)
	if parseErr != nil || step < 0 {
		return "", 0, api.Invalid("step: %q is not a number from 0", r.PathValue("step"))
	}
	return trainer, step, nil
}

func (s *Server) enginePool(name string) (configlog.Pool, *api.Error) {
	pool, err := s.pool(name)
	if err != nil {
		return pool, err
	}
	if pool.Kind != configlog.PoolEngines {
		return pool, api.Invalid("pool: %q does not hold engines", name)
	}
	return pool, nil
}

func (s *Server) checkStep(body *api.StepRequest) *api.Error {
	pool, err := s.enginePool(body.Pool)
	switch {
	case err != nil:
		return err
	case len(body.Prompts) == 0:
		return api.Invalid("prompts: empty")
	case body.SamplesPerPrompt <= 0:
		return api.Invalid("samples_per_prompt: %d is not positive", body.SamplesPerPrompt)
	case body.SamplesPerPrompt > s.cfg.MaxSamples/len(body.Prompts):
		return api.Invalid("samples_per_prompt: over %d samples in the step", s.cfg.MaxSamples)
	case body.VersionBound < 0:
		return api.Invalid("version_bound: %d is negative", body.VersionBound)
	case pool.VersionBound > 0 && body.VersionBound > pool.VersionBound:
		return api.Invalid("version_bound: %d is over the pool's %d", body.VersionBound, pool.VersionBound)
	}
	for i, prompt := range body.Prompts {
		if prompt == "" {
			return api.Invalid("prompts: number %d is empty", i)
		}
	}
	return s.checkMaxTokens(body.MaxTokens)
}

func (s *Server) pullQuery(values url.Values) (PullQuery, *api.Error) {
	parser := queryParser{values: values}
	query := PullQuery{
		Cursor:  parser.number("cursor", 1<<62),
		Version: parser.number("version", 1<<62),
		Limit:   int(parser.number("limit", int64(s.cfg.MaxSamples))),
		Wait:    api.Milliseconds(parser.number("wait_ms", s.cfg.MaxPullWait.Milliseconds())),
	}
	for name := range values {
		switch name {
		case "cursor", "version", "limit", "wait_ms":
		default:
			return query, api.Invalid("%s: unknown query parameter", name)
		}
	}
	return query, parser.err
}

// queryParser keeps the first error.
type queryParser struct {
	values url.Values
	err    *api.Error
}

// number returns a parameter in [0, limit], zero where it is absent.
func (p *queryParser) number(name string, limit int64) int64 {
	text := p.values.Get(name)
	if text == "" {
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if (err != nil || number < 0 || number > limit) && p.err == nil {
		p.err = api.Invalid("%s: %q is not in 0..%d", name, text, limit)
	}
	return number
}

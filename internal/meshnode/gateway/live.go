package gateway

import (
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

const (
	// maxNameLength bounds request ids and the names of callers and trainers,
	// in bytes.
	maxNameLength = 128
	// maxKeyLength bounds idempotency keys, in bytes.
	maxKeyLength = 256
	// overloadedRetryMS is the advice of a node whose in-flight limit is reached.
	overloadedRetryMS = 100
)

func (s *Server) serveLive(w http.ResponseWriter, r *http.Request, entry *record) answer {
	received := time.Now()
	var body api.LiveRequest
	if err := httpjson.Read(w, r, s.cfg.BodyLimit, &body); err != nil {
		return failed(err)
	}
	if body.RequestID == "" {
		body.RequestID = uuid.NewString()
	}
	entry.requestID = body.RequestID
	pool, err := s.checkLive(&body)
	if err != nil {
		err.RequestID = body.RequestID
		return failed(err)
	}
	entry.pool = pool.Name
	if !s.live.enter(body.RequestID) {
		err := api.Refusal(http.StatusConflict, api.CodeInvalid, 0, "request_id: a request with this id is in flight")
		err.RequestID = body.RequestID
		return failed(err)
	}
	defer s.live.leave(body.RequestID)
	if limit := s.cfg.InFlightLimit; limit > 0 && s.live.count() > limit {
		err := api.Refusal(http.StatusTooManyRequests, api.CodeOverloaded, overloadedRetryMS, "%d live requests are in flight in this node", limit)
		err.RequestID = body.RequestID
		return failed(err)
	}
	result := s.services.Live.Do(r.Context(), dispatch.Request{
		RequestID:      body.RequestID,
		Caller:         body.Caller,
		Pool:           body.Pool,
		Priority:       body.Priority,
		Deadline:       received.Add(api.Milliseconds(body.DeadlineMS)),
		Repeatable:     body.Repeatable,
		IdempotencyKey: body.IdempotencyKey,
		Prompt:         body.Prompt,
		MaxTokens:      body.MaxTokens,
	})
	entry.backend, entry.attempts = result.Backend, result.Attempts
	if result.Err != nil {
		return failed(result.Err)
	}
	return answer{value: api.LiveResponse{
		RequestID: result.RequestID,
		Outcome:   result.Outcome,
		Text:      result.Text,
		Tokens:    result.Tokens,
		Segments:  result.Segments,
		Backend:   result.Backend,
		Attempts:  result.Attempts,
	}}
}

// checkLive checks every field and returns the request's pool.
func (s *Server) checkLive(body *api.LiveRequest) (configlog.Pool, *api.Error) {
	none := configlog.Pool{}
	if err := checkName("request_id", body.RequestID, maxNameLength); err != nil {
		return none, err
	}
	if err := checkName("caller", body.Caller, maxNameLength); err != nil {
		return none, err
	}
	if err := checkName("idempotency_key", body.IdempotencyKey, maxKeyLength); err != nil {
		return none, err
	}
	if body.DeadlineMS <= 0 || body.DeadlineMS > s.cfg.MaxDeadline.Milliseconds() {
		return none, api.Invalid("deadline_ms: %d is not in 1..%d", body.DeadlineMS, s.cfg.MaxDeadline.Milliseconds())
	}
	if body.Priority < api.PriorityLive || body.Priority > api.PriorityLowest {
		return none, api.Invalid("priority: %d is not in %d..%d", body.Priority, api.PriorityLive, api.PriorityLowest)
	}
	if !body.Repeatable && body.IdempotencyKey == "" {
		return none, api.Refusal(http.StatusBadRequest, api.CodeMissingKey, 0, "idempotency_key: required because repeatable is false")
	}
	pool, err := s.pool(body.Pool)
	if err != nil {
		return none, err
	}
	if pool.Kind == configlog.PoolEngines {
		return pool, s.checkMaxTokens(body.MaxTokens)
	}
	if body.MaxTokens < 0 {
		return none, api.Invalid("max_tokens: %d is negative", body.MaxTokens)
	}
	return pool, nil
}

func (s *Server) pool(name string) (configlog.Pool, *api.Error) {
	if name == "" {
		return configlog.Pool{}, api.Invalid("pool: empty")
	}
	pool, ok := s.services.Pools.Pool(name)
	if !ok {
		return configlog.Pool{}, api.Refusal(http.StatusNotFound, api.CodeUnknownPool, 0, "pool: no pool %q", name)
	}
	return pool, nil
}

func (s *Server) checkMaxTokens(tokens int) *api.Error {
	if tokens <= 0 || tokens > s.cfg.MaxTokens {
		return api.Invalid("max_tokens: %d is not in 1..%d", tokens, s.cfg.MaxTokens)
	}
	return nil
}

// checkName refuses names that are too long, are not UTF-8 (JSON would make
// several of them equal) or hold control characters or spaces; an empty name passes.
func checkName(field, name string, limit int) *api.Error {
	if len(name) > limit {
		return api.Invalid("%s: %d bytes, over %d", field, len(name), limit)
	}
	if !utf8.ValidString(name) {
		return api.Invalid("%s: not UTF-8", field)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
		return api.Invalid("%s: holds a space or control character", field)
	}
	return nil
}

// requestIDs holds the ids of the live requests in flight. Back ends know a
// stream by its request id, so two must not share one.
type requestIDs struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newRequestIDs() *requestIDs { return &requestIDs{ids: map[string]struct{}{}} }

func (q *requestIDs) enter(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, taken := q.ids[id]; taken {
		return false
	}
	q.ids[id] = struct{}{}
	return true
}

func (q *requestIDs) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ids)
}

func (q *requestIDs) leave(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.ids, id)
}

package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request api.GenerateRequest
	if !e.calls.Read(w, r, &request) {
		return
	}
	if invalid := checkGenerate(request); invalid != nil {
		httpjson.WriteError(w, invalid)
		return
	}
	c := e.core.Load()
	s, refused := c.submit(request)
	if refused != nil {
		httpjson.WriteError(w, refused)
		return
	}
	if err := c.serveStream(r.Context(), s, newFrameWriter(r.Context(), c, request, w)); err != nil {
		// The stream may have ended by itself in the meantime.
		c.stop(s.key, api.FinishCancelled)
		panic(http.ErrAbortHandler)
	}
}

func checkGenerate(request api.GenerateRequest) *api.Error {
	switch {
	case request.RequestID == "":
		return api.Invalid("request_id: empty")
	case request.MaxTokens <= 0:
		return api.Invalid("max_tokens: %d is not positive", request.MaxTokens)
	case request.Resume != nil && request.Resume.RequestID != request.RequestID:
		return api.Invalid("resume: state of request %q", request.Resume.RequestID)
	case request.Resume != nil && request.Resume.Tokens < 0:
		return api.Invalid("resume: %d tokens", request.Resume.Tokens)
	}
	return nil
}

// serveStream writes frames until the stream has ended; an error says that the
// client did not get the whole of it.
func (c *core) serveStream(ctx context.Context, s *stream, frames *frameWriter) error {
	if err := frames.begin(); err != nil {
		return err
	}
	for {
		select {
		case <-s.notify:
		case <-ctx.Done():
			return ctx.Err()
		}
		p := c.take(s)
		if err := frames.write(p); err != nil {
			return err
		}
		if p.ended {
			return nil
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request api.CancelRequest
	if !e.calls.Read(w, r, &request) {
		return
	}
	_, cancelled := e.core.Load().stop(keyOf(request), api.FinishCancelled)
	e.calls.Answer(w, api.CancelResponse{Cancelled: cancelled}, nil)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var request api.CancelRequest
	if !e.calls.Read(w, r, &request) {
		return
	}
	state, running := e.core.Load().export(keyOf(request))
	if !running {
		e.calls.Answer(w, nil, api.Refusal(http.StatusNotFound, api.CodeNotFound, 0,
			"%s: no stream %s attempt %d", e.config.Name, request.RequestID, request.Attempt))
		return
	}
	e.calls.Answer(w, state, nil)
}

func keyOf(request api.CancelRequest) batch.Key {
	return batch.Key{RequestID: request.RequestID, Attempt: request.Attempt}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order api.Order
	if !e.calls.Read(w, r, &order) {
		return
	}
	response, refused := e.core.Load().order(order)
	e.calls.Answer(w, response, refused)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if e.calls.Begin(w, r) {
		httpjson.Write(w, http.StatusOK, e.core.Load().laggedReport())
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after int64
	if text := r.URL.Query().Get("after"); text != "" {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			httpjson.WriteError(w, api.Invalid("after: %q is not a number", text))
			return
		}
		after = number
	}
	if e.calls.Begin(w, r) {
		httpjson.Write(w, http.StatusOK, e.core.Load().cacheEvents(time.Now(), after))
	}
}

package engine

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
	"github.com/sliplift/sliplift/internal/history"
)

// queueRetryAfterMS is the Retry-After of an engine whose queue is full.
const queueRetryAfterMS = 500

// stream joins the handler of a generate request with the machine. The core's
// mutex guards its fields.
type stream struct {
	key     batch.Key
	request api.GenerateRequest
	notify  chan struct{}
	// offered counts the tokens of which the handler was told, sent those that
	// it took.
	offered int
	sent    int
	ended   bool
	reason  api.FinishReason
	final   batch.Progress
}

func (s *stream) wakeHandler() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// portion is what a handler takes from its stream at once.
type portion struct {
	progress batch.Progress
	version  int64
	ended    bool
	reason   api.FinishReason
	// total and checksum are those of the whole stream, set once it ended.
	total    int
	checksum string
	load     *api.LoadReport
}

// submit accepts the request or refuses it; a refused one never runs.
func (c *core) submit(request api.GenerateRequest) (*stream, *api.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.role == api.RoleDraining {
		return nil, api.Refusal(http.StatusServiceUnavailable, api.CodeNoBackend, 0, "%s: draining", c.config.Name)
	}
	s := &stream{
		key:     batch.Key{RequestID: request.RequestID, Attempt: request.Attempt},
		request: request,
		notify:  make(chan struct{}, 1),
	}
	now := time.Now()
	c.advance(now)
	if err := c.machine.Submit(c.machineTime(now), c.batchRequest(s)); err != nil {
		return nil, c.refusal(err)
	}
	c.streams[s.key] = s
	c.record(history.KindStreamStarted, s, history.Event{})
	c.wakeLoop()
	return s, nil
}

func (c *core) refusal(err error) *api.Error {
	if errors.Is(err, batch.ErrQueueFull) {
		return api.Refusal(http.StatusTooManyRequests, api.CodeOverloaded, queueRetryAfterMS, "%s: %v", c.config.Name, err)
	}
	return api.Refusal(http.StatusConflict, api.CodeInvalid, 0, "%s: %v", c.config.Name, err)
}

func (c *core) batchRequest(s *stream) batch.Request {
	request := batch.Request{
		Key:       s.key,
		Priority:  s.request.Priority,
		Prompt:    s.request.Prompt,
		MaxTokens: s.request.MaxTokens,
	}
	if resume := s.request.Resume; resume != nil {
		request.Resumed = resume.Tokens
		request.Imported = strings.HasPrefix(resume.Handle, c.handlePrefix())
	}
	return request
}

func (c *core) handlePrefix() string { return "kv/" + c.config.KVGroup + "/" }

// endStream is called once for every stream, with what it truly produced.
func (c *core) endStream(key batch.Key, reason api.FinishReason, progress batch.Progress) {
	s, exists := c.streams[key]
	if !exists {
		panic(fmt.Sprintf("engine: stream %v ended that nobody began", key))
	}
	delete(c.streams, key)
	s.ended = true
	s.reason = reason
	s.final = progress
	c.record(history.KindStreamEnded, s, c.truth(s))
	s.wakeHandler()
}

// truth is what an ended stream produced, and what it was resumed from.
func (c *core) truth(s *stream) history.Event {
	text := s.final.Text()
	event := history.Event{
		Segments:      c.segments(s.final),
		Checksum:      checksum(text),
		WholeChecksum: checksum(s.resumedText() + text),
		FinishReason:  s.reason,
	}
	if resume := s.request.Resume; resume != nil {
		event.ResumedTokens = resume.Tokens
		event.ResumedChecksum = checksum(resume.Text)
	}
	return event
}

// resumedText is the text that the stream was resumed from, empty for a new one.
func (s *stream) resumedText() string {
	if s.request.Resume == nil {
		return ""
	}
	return s.request.Resume.Text
}

func (c *core) segments(progress batch.Progress) []api.Segment {
	segments := make([]api.Segment, 0, len(progress.Segments))
	for _, segment := range progress.Segments {
		segments = append(segments, api.Segment{Version: segment.Version, Tokens: segment.Tokens, Engine: c.config.Name})
	}
	return segments
}

func (c *core) record(kind history.Kind, s *stream, event history.Event) {
	event.Kind = kind
	event.Process = c.config.Name
	event.Backend = c.config.Name
	event.Pool = s.request.Pool
	event.RequestID = s.key.RequestID
	event.Attempt = s.key.Attempt
	event.PromptChecksum = checksum(s.request.Prompt)
	c.needs.Sink.Record(event)
}

// stop ends a stream before its time and tells what it had produced; false
// says that it is not running.
func (c *core) stop(key batch.Key, reason api.FinishReason) (*stream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.advance(now)
	s, running := c.streams[key]
	if !running {
		return nil, false
	}
	progress, err := c.machine.Cancel(c.machineTime(now), key)
	if err != nil {
		panic(fmt.Sprintf("engine: machine lost stream %v: %v", key, err))
	}
	c.endStream(key, reason, progress)
	c.wakeLoop()
	return s, true
}

// export ends a stream and returns the state to resume from.
func (c *core) export(key batch.Key) (api.KVState, bool) {
	s, running := c.stop(key, api.FinishExported)
	if !running {
		return api.KVState{}, false
	}
	tokens := s.final.Start + s.final.Tokens
	return api.KVState{
		RequestID: key.RequestID,
		Tokens:    tokens,
		Text:      s.resumedText() + s.final.Text(),
		Handle:    fmt.Sprintf("%s%s/%s/%d", c.handlePrefix(), c.config.Name, key.RequestID, tokens),
	}, true
}

// take returns what the stream has produced since the last call.
func (c *core) take(s *stream) portion {
	c.mu.Lock()
	defer c.mu.Unlock()
	produced := s.final
	if !s.ended {
		progress, err := c.machine.Progress(s.key)
		if err != nil {
			panic(fmt.Sprintf("engine: machine lost stream %v: %v", s.key, err))
		}
		produced = progress
	}
	p := portion{progress: produced.After(s.sent), version: c.machine.Load().Version, ended: s.ended, reason: s.reason}
	s.sent = produced.Tokens
	if s.ended {
		load := c.report(time.Now())
		p.load = &load
		p.total = produced.Tokens
		p.checksum = checksum(produced.Text())
	}
	return p
}

func checksum(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

package dispatch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// callLog records what reached the back ends and the claimer, what was done in
// the background last.
type callLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *callLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fmt.Sprintf(format, args...))
}

func (l *callLog) take() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.lines
	l.lines = nil
	slices.SortStableFunc(lines, func(a, b string) int {
		return cmp.Or(cmp.Compare(background(a), background(b)), cmp.Compare(background(a)*strings.Compare(a, b), 0))
	})
	return lines
}

// background is 0 for what a request waits for, which is in order, and 1 for
// what is done in the background, which is not.
func background(line string) int {
	if strings.Contains(line, "cancel") || strings.HasPrefix(line, "claim") {
		return 1
	}
	return 0
}

// fakeBackend is an engine or application that behaves by a script, one word a
// request; the last word stays. Token number n of an answer is letter n.
//
//	ok         the whole answer
//	wait=D     the whole answer after D
//	late       the whole answer among frames of other attempts and requests
//	cut=N      N tokens, then the connection breaks
//	silent=N   N tokens, then nothing more, also no load reports
//	stream=N   N tokens, then the rest once it was exported or cancelled
//	corrupt    a whole answer with a wrong checksum
//	refuse     429, not run
//	invalid    400, not run
//	conflict   409, the attempt may be known there
//	error      500, fate unknown
//	down       nobody listens
//	cut-off    connecting to it never ends
type fakeBackend struct {
	name    string
	version int64
	log     *callLog
	server  *http.Server

	mu     sync.Mutex
	script []string
	silent bool
	ended  chan api.FinishReason
}

func newFakeBackend(t *testing.T, network *memnet.Network, log *callLog, name string, version int64, script []string) *fakeBackend {
	b := &fakeBackend{name: name, version: version, log: log, script: script, ended: make(chan api.FinishReason, 1)}
	switch script[0] {
	case "down":
		return b
	case "cut-off":
		network.Cut("node", name)
	}
	listener, err := network.Listen(name + ":80")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", b.serveLoad)
	mux.HandleFunc("POST /v1/generate", b.serveGenerate)
	mux.HandleFunc("POST /v1/invoke", b.serveInvoke)
	mux.HandleFunc("POST /v1/cancel", b.serveCancel)
	mux.HandleFunc("POST /v1/kv/export", b.serveExport)
	b.server = &http.Server{Handler: mux}
	go b.server.Serve(listener)
	return b
}

func (b *fakeBackend) close() {
	if b.server != nil {
		b.server.Close()
	}
}

func (b *fakeBackend) next() (word string, number int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	word = b.script[0]
	if len(b.script) > 1 {
		b.script = b.script[1:]
	}
	word, value, _ := strings.Cut(word, "=")
	number, _ = strconv.Atoi(value)
	if duration, err := time.ParseDuration(value); err == nil {
		number = int(duration)
	}
	if word == "silent" {
		b.silent = true
	}
	return word, number
}

func (b *fakeBackend) report() api.LoadReport {
	return api.LoadReport{Backend: b.name, Capacity: 8, Version: b.version, Role: api.RoleServing, AsOfMS: time.Now().UnixMilli()}
}

func (b *fakeBackend) serveLoad(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	silent := b.silent
	b.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	httpjson.Write(w, http.StatusOK, b.report())
}

func (b *fakeBackend) serveCancel(w http.ResponseWriter, r *http.Request) {
	var request api.CancelRequest
	httpjson.Read(w, r, httpjson.DefaultBodyLimit, &request)
	b.log.add("%s: cancel attempt %d", b.name, request.Attempt)
	httpjson.Write(w, http.StatusOK, api.CancelResponse{Cancelled: true})
}

func (b *fakeBackend) serveExport(w http.ResponseWriter, r *http.Request) {
	var request api.CancelRequest
	httpjson.Read(w, r, httpjson.DefaultBodyLimit, &request)
	b.log.add("%s: export attempt %d", b.name, request.Attempt)
	b.ended <- api.FinishExported
	time.Sleep(time.Millisecond)
	httpjson.Write(w, http.StatusOK, api.KVState{RequestID: request.RequestID, Tokens: 2, Text: "ab", Handle: "kv-" + b.name})
}

// failed answers the words that need no stream, and tells whether it did.
func (b *fakeBackend) failed(w http.ResponseWriter, word string) bool {
	switch word {
	case "refuse":
		httpjson.WriteError(w, api.Refusal(http.StatusTooManyRequests, api.CodeOverloaded, 700, "full"))
	case "failing":
		httpjson.WriteError(w, api.Refusal(http.StatusServiceUnavailable, api.CodeNoBackend, 700, "down"))
	case "invalid":
		httpjson.WriteError(w, api.Invalid("prompt: too long"))
	case "conflict":
		httpjson.WriteError(w, api.Refusal(http.StatusConflict, api.CodeInvalid, 0, "known"))
	case "error":
		w.WriteHeader(http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

func (b *fakeBackend) serveInvoke(w http.ResponseWriter, r *http.Request) {
	var request api.InvokeRequest
	httpjson.Read(w, r, httpjson.DefaultBodyLimit, &request)
	b.log.add("%s: invoke attempt %d", b.name, request.Attempt)
	word, number := b.next()
	answer := api.InvokeResponse{RequestID: request.RequestID, Body: "done", Checksum: checksumOf("done")}
	switch word {
	case "cut":
		panic(http.ErrAbortHandler)
	case "silent":
		<-r.Context().Done()
		return
	case "corrupt":
		answer.Checksum = checksumOf("other")
	case "wait":
		if !wait(r.Context(), time.Duration(number)) {
			return
		}
	}
	if !b.failed(w, word) {
		httpjson.Write(w, http.StatusOK, answer)
	}
}

func (b *fakeBackend) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request api.GenerateRequest
	httpjson.Read(w, r, httpjson.DefaultBodyLimit, &request)
	line := fmt.Sprintf("%s: generate attempt %d", b.name, request.Attempt)
	if request.Resume != nil {
		line += fmt.Sprintf(" after %q", request.Resume.Text)
		if request.Resume.Handle != "" {
			line += " with " + request.Resume.Handle
		}
	}
	b.log.add("%s", line)
	word, number := b.next()
	if b.failed(w, word) {
		return
	}
	if word == "wait" && !wait(r.Context(), time.Duration(number)) {
		return
	}
	stream := newFakeStream(b, w, &request)
	switch word {
	case "cut":
		stream.tokens(number)
		panic(http.ErrAbortHandler)
	case "silent":
		stream.tokens(number)
		<-r.Context().Done()
		return
	case "stream":
		stream.tokens(number)
		select {
		case reason := <-b.ended:
			stream.end(reason)
		case <-r.Context().Done():
		}
		return
	case "late":
		foreign := api.StreamFrame{RequestID: request.RequestID, Attempt: request.Attempt - 1, Tokens: 1, Text: "!"}
		stream.encode(foreign)
		foreign.RequestID, foreign.Attempt = "another", request.Attempt
		stream.encode(foreign)
	case "corrupt":
		stream.wrongChecksum = true
	}
	stream.tokens(request.MaxTokens)
	stream.end(api.FinishLength)
}

// fakeStream writes the frames of one stream.
type fakeStream struct {
	backend       *fakeBackend
	writer        http.ResponseWriter
	request       *api.GenerateRequest
	position      int
	sequence      int64
	text          string
	wrongChecksum bool
}

func newFakeStream(b *fakeBackend, w http.ResponseWriter, request *api.GenerateRequest) *fakeStream {
	s := &fakeStream{backend: b, writer: w, request: request}
	if request.Resume != nil {
		s.position = request.Resume.Tokens
	}
	return s
}

// tokens writes one frame a token until the answer has total tokens.
func (s *fakeStream) tokens(total int) {
	for ; s.position < total; s.position++ {
		letter := string(rune('a' + s.position%26))
		s.text += letter
		s.frame(api.StreamFrame{Tokens: 1, Text: letter})
	}
}

func (s *fakeStream) end(reason api.FinishReason) {
	load := s.backend.report()
	checksum := checksumOf(s.text)
	if s.wrongChecksum {
		checksum = checksumOf(s.text + "!")
	}
	s.frame(api.StreamFrame{Done: true, TotalTokens: len(s.text), Checksum: checksum, FinishReason: reason, Load: &load})
}

func (s *fakeStream) frame(frame api.StreamFrame) {
	frame.RequestID, frame.Attempt = s.request.RequestID, s.request.Attempt
	frame.Sequence, frame.Version = s.sequence, s.backend.version
	s.sequence++
	s.encode(frame)
}

func (s *fakeStream) encode(frame api.StreamFrame) {
	_ = json.NewEncoder(s.writer).Encode(frame)
	_ = http.NewResponseController(s.writer).Flush()
}

func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

func checksumOf(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// fakeClaimer grants each key once.
type fakeClaimer struct {
	log *callLog

	mu      sync.Mutex
	mode    string
	holders map[string]string
	answers map[string]*api.LiveResponse
}

func newFakeClaimer(log *callLog) *fakeClaimer {
	return &fakeClaimer{log: log, holders: map[string]string{}, answers: map[string]*api.LiveResponse{}}
}

func (c *fakeClaimer) Claim(ctx context.Context, key, requestID string) (ClaimResult, error) {
	c.mu.Lock()
	mode := c.mode
	holder, held := c.holders[key]
	answer := c.answers[key]
	if !held && mode != "down" {
		c.holders[key] = requestID
	}
	c.mu.Unlock()
	switch {
	case mode == "down":
		return ClaimResult{}, errors.New("no majority")
	case mode == "lost":
		<-ctx.Done()
		return ClaimResult{}, ctx.Err()
	case held:
		return ClaimResult{Holder: holder, Answer: answer}, nil
	}
	return ClaimResult{Granted: true}, nil
}

func (c *fakeClaimer) Complete(_ context.Context, key, requestID string, outcome api.Outcome, answer *api.LiveResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.add("claim %s: %s", key, outcome)
	if c.holders[key] != requestID {
		return nil
	}
	if outcome == api.OutcomeRefused {
		delete(c.holders, key)
	}
	c.answers[key] = answer
	return nil
}

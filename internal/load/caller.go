package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dghubble/sling"
	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// Checksum returns the xxhash64 of text as 16 hexadecimal digits, leading zeros
// included, as histories hold it.
func Checksum(text string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(text)) }

// CallerConfig says what a Caller sends.
type CallerConfig struct {
	// Name is the calling application's name.
	Name string
	// Nodes are the nodes to call, the preferred one first.
	Nodes    []Node
	Pool     string
	Priority api.Priority
	// Deadline is the time given to each sending of a request.
	Deadline   time.Duration
	Repeatable bool
	MaxTokens  int
	// Attempts is the most sendings of one request.
	Attempts int
	// RetryDelay is the wait after a sending that was not answered.
	RetryDelay time.Duration
}

func (c CallerConfig) withDefaults() CallerConfig {
	if c.Deadline == 0 {
		c.Deadline = 10 * time.Second
	}
	if c.Attempts == 0 {
		c.Attempts = 1
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = defaultRetryDelay
	}
	return c
}

// Answer is the final word on a request of a Caller.
type Answer struct {
	Outcome api.Outcome
	// Response is set where Outcome is completed.
	Response api.LiveResponse
	// Err is the last error, nil where Outcome is completed.
	Err error
	// Sendings counts how often the request was sent.
	Sendings int
}

// Caller sends live requests. It is safe for concurrent use.
type Caller struct {
	cfg   CallerConfig
	nodes *nodes
	sink  history.Sink
}

// NewCaller returns a caller that calls nodes through httpClient.
func NewCaller(cfg CallerConfig, httpClient *http.Client, sink history.Sink) *Caller {
	return &Caller{cfg: cfg.withDefaults(), nodes: newNodes(httpClient, cfg.Nodes), sink: sink}
}

// Send sends a request with the prompt until it completes, the attempts are
// used up, or the answer says that sending it again does not help.
func (c *Caller) Send(ctx context.Context, prompt string) Answer {
	request := api.LiveRequest{
		Caller:     c.cfg.Name,
		Pool:       c.cfg.Pool,
		Priority:   c.cfg.Priority,
		DeadlineMS: c.cfg.Deadline.Milliseconds(),
		Repeatable: c.cfg.Repeatable,
		Prompt:     prompt,
		MaxTokens:  c.cfg.MaxTokens,
	}
	if !c.cfg.Repeatable {
		request.IdempotencyKey = uuid.NewString()
	}
	answer := Answer{}
	// Outcomes of earlier sendings count: a refusal of the last one does not
	// say that an earlier one, whose answer was lost, did not run.
	mayHaveRun := false
	for {
		answer.Response, answer.Err = c.sendOnce(ctx, request)
		answer.Sendings++
		answer.Outcome = outcomeOf(answer.Err)
		if answer.Outcome == api.OutcomeRefused && mayHaveRun {
			answer.Outcome = api.OutcomeUnknown
		}
		mayHaveRun = mayHaveRun || answer.Outcome != api.OutcomeRefused
		if answer.Err == nil || answer.Sendings >= c.cfg.Attempts {
			return answer
		}
		delay, again := retryDelay(answer.Err, c.cfg.RetryDelay)
		if !again || wait(ctx, delay) != nil {
			return answer
		}
	}
}

// sendOnce is one sending, with a request id of its own.
func (c *Caller) sendOnce(ctx context.Context, request api.LiveRequest) (api.LiveResponse, error) {
	request.RequestID = uuid.NewString()
	node := c.nodes.node()
	event := history.Event{
		Kind:           history.KindRequestSent,
		Process:        c.cfg.Name,
		RequestID:      request.RequestID,
		Key:            request.IdempotencyKey,
		Repeatable:     request.Repeatable,
		Pool:           request.Pool,
		Node:           node.Name,
		PromptChecksum: Checksum(request.Prompt),
	}
	c.sink.Record(event)
	sendContext, cancel := context.WithTimeout(ctx, c.cfg.Deadline+answerGrace)
	defer cancel()
	var connected atomic.Bool
	// A kept connection that is found closed is replaced by a new one: only the
	// last that was asked for counts.
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	var response api.LiveResponse
	err := c.nodes.doAt(httptrace.WithClientTrace(sendContext, trace), node, func(s *sling.Sling) *sling.Sling {
		return s.Post("/v1/requests").BodyJSON(request)
	}, &response)
	event.Kind = history.KindRequestAnswered
	event.Outcome = outcomeOf(err)
	if err == nil {
		event.Checksum = Checksum(response.Text)
		event.Segments = response.Segments
		event.Backend = response.Backend
	}
	// A caller that gave up waiting was not cut off.
	if errors.Is(err, httpjson.ErrNoAnswer) && connected.Load() && sendContext.Err() == nil {
		event.Cut = 1
	}
	c.sink.Record(event)
	return response, err
}

func outcomeOf(err error) api.Outcome {
	if err == nil {
		return api.OutcomeCompleted
	}
	var answer *api.Error
	if errors.As(err, &answer) {
		return answer.Outcome
	}
	return api.OutcomeUnknown
}

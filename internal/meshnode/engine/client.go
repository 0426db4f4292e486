package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/dghubble/sling"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/httpresponse"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

const (
	// frameLineLimit bounds one line of a stream in bytes.
	frameLineLimit = 1 << 20
	// answerLimit bounds a whole JSON answer, or all lines of a stream, in bytes.
	answerLimit = 16 << 20
	// drainLimit bounds what is read behind an end marker, in bytes, so that the
	// connection can be used again.
	drainLimit = 4 << 10
	// scanBufferSize is the initial size of a line buffer in bytes.
	scanBufferSize = 16 << 10
)

// Client calls back ends by their host:port address. It is safe for
// concurrent use.
type Client struct {
	http   *http.Client
	faults Faults
}

// NewClient returns a client over httpClient, which is not changed. Its
// Timeout should be zero: streams last as long as the caller's context.
func NewClient(httpClient *http.Client) *Client {
	own := *httpClient
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &own}
}

// Generate runs request on the engine at address. onFrame, which may be nil,
// sees every accepted frame in order; its error ends the stream.
func (c *Client) Generate(ctx context.Context, address string, request api.GenerateRequest, onFrame func(api.StreamFrame) error) Result {
	response, state, err := c.send(ctx, address, "/v1/generate", request)
	if err != nil {
		return Result{State: state, Err: err}
	}
	defer response.Body.Close()
	frames := &assembler{requestID: request.RequestID, attempt: request.Attempt, trusting: c.faults.TrustFrames}
	err = readFrames(io.LimitReader(response.Body, answerLimit), frames, onFrame)
	result := frames.result(err)
	result.Load = c.faults.seen(result.Load)
	return result
}

// Invoke runs request on the application instance at address.
func (c *Client) Invoke(ctx context.Context, address string, request api.InvokeRequest) InvokeResult {
	response, state, err := c.send(ctx, address, "/v1/invoke", request)
	if err != nil {
		return InvokeResult{State: state, Err: err}
	}
	defer response.Body.Close()
	var answer api.InvokeResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, answerLimit)).Decode(&answer); err != nil {
		return InvokeResult{State: StatePartial, Err: ErrCut.Errorf("answer: %w", err)}
	}
	drain(response.Body)
	if answer.RequestID != request.RequestID {
		return InvokeResult{State: StatePartial, Err: ErrCorrupt.Errorf("answer to request %q", answer.RequestID)}
	}
	if !checksumMatches(answer.Checksum, answer.Body) {
		return InvokeResult{State: StatePartial, Err: ErrCorrupt.Errorf("checksum %q does not match the body", answer.Checksum)}
	}
	return InvokeResult{State: StateComplete, Body: answer.Body, Load: c.faults.seen(answer.Load)}
}

// send posts body and returns a response of status 200, or how far the
// request came and why.
func (c *Client) send(ctx context.Context, address, path string, body any) (*http.Response, State, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		// The transport asks for a connection again only after it wrote nothing
		// on the last one.
		GetConn: func(string) { connected.Store(false) },
		// From here on bytes may be written, also after the context has ended.
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	request, err := sling.New().Post("http://" + address + path).BodyJSON(body).Request()
	if err != nil {
		return nil, StateNotSent, ErrTransport.Wrap(err)
	}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		if connected.Load() {
			return nil, StatePartial, ErrTransport.Wrap(err)
		}
		return nil, StateNotSent, ErrTransport.Wrap(err)
	}
	if err := httpresponse.Validate(response); err != nil {
		response.Body.Close()
		return nil, StatePartial, ErrAnswer.Wrap(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, StatePartial, nil
	}
	defer response.Body.Close()
	err = httpjson.ReadError(response)
	var answer *api.Error
	if !errors.As(err, &answer) {
		return nil, StatePartial, ErrAnswer.Wrap(err)
	}
	return nil, failureState(answer), answer
}

var scanBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, scanBufferSize)
	return &buffer
}}

// readFrames feeds frames to the assembler until the end marker, an error, or
// the end of the stream.
func readFrames(body io.Reader, frames *assembler, onFrame func(api.StreamFrame) error) error {
	buffer := scanBuffers.Get().(*[]byte)
	defer scanBuffers.Put(buffer)
	scanner := bufio.NewScanner(body)
	scanner.Buffer(*buffer, frameLineLimit)
	var frame api.StreamFrame
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		frame = api.StreamFrame{}
		if err := json.Unmarshal(line, &frame); err != nil {
			return ErrCut.Errorf("frame after %d: %w", frames.next, err)
		}
		if err := frames.add(&frame, onFrame); err != nil {
			return err
		}
		if frames.last != nil {
			drain(body)
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return ErrCut.Wrap(err)
	}
	return nil
}

// drain reads the little that may follow an answer, so that its connection
// goes back to the pool.
func drain(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, drainLimit)
}

func corrupt(err error) bool { return errors.Is(err, ErrCorrupt) }

package httpjson

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/httpresponse"
)

// ErrNoAnswer tags every error of Do that is not the server's own word: the
// effect of the request may have happened.
const ErrNoAnswer = errs.Tag("no answer")

const (
	// answerLimit bounds what Do takes for an answer, in bytes.
	answerLimit = 256 << 20
	// errorLimit bounds what is read of an error's body, in bytes.
	errorLimit = 64 << 10
)

// Do sends the request and decodes a successful answer into answer, which may
// be nil. An error for which errors.As finds an *api.Error is the server's own
// word, with its status; any other is tagged ErrNoAnswer.
func Do(ctx context.Context, client *http.Client, request *sling.Sling, answer any) error {
	return DoLimited(ctx, client, request, answerLimit, answer)
}

// DoLimited is Do for answers of at most limit bytes.
func DoLimited(ctx context.Context, client *http.Client, request *sling.Sling, limit int64, answer any) error {
	content, err := Fetch(ctx, client, request, limit)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return ErrNoAnswer.Wrap(err)
	}
	return nil
}

// Fetch sends the request and returns the body of a successful answer. One of
// more than limit bytes is an error, since what fits is not the answer. Errors
// are those of Do.
func Fetch(ctx context.Context, client *http.Client, request *sling.Sling, limit int64) ([]byte, error) {
	httpRequest, err := request.Request()
	if err != nil {
		return nil, ErrNoAnswer.Wrap(err)
	}
	response, err := client.Do(httpRequest.WithContext(ctx))
	if err != nil {
		return nil, ErrNoAnswer.Wrap(err)
	}
	defer response.Body.Close()
	if err := httpresponse.Validate(response); err != nil {
		return nil, ErrNoAnswer.Wrap(err)
	}
	// net/http does not tell whether such an answer was reset while the request was being written.
	if httpRequest.Body != nil && httpresponse.EndsWithConnection(response) {
		return nil, ErrNoAnswer.Errorf("answer to a request with a body has no length")
	}
	if response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices {
		return nil, ReadError(response)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, ErrNoAnswer.Wrap(err)
	}
	if int64(len(content)) > limit {
		return nil, ErrNoAnswer.Errorf("answer of more than %d bytes", limit)
	}
	return content, nil
}

// ReadError reads the body of an answer that is no success. It returns the
// server's own *api.Error, with the answer's status, or an error tagged
// ErrNoAnswer where the body holds none: a status alone, such as a 503 of a
// server that is failing, says nothing about the effect.
func ReadError(response *http.Response) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, errorLimit))
	if err != nil {
		return ErrNoAnswer.Wrap(err)
	}
	answer := &api.Error{}
	if err := json.Unmarshal(content, answer); err != nil || answer.Code == "" {
		return ErrNoAnswer.Errorf("status %d: %.200s", response.StatusCode, content)
	}
	answer.Status = response.StatusCode
	return answer
}

package httpjson

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// ErrNoAnswer tags every error of Do that is not the server's own word: the
// effect of the request may have happened.
const ErrNoAnswer = errs.Tag("no answer")

// answerLimit bounds what Do reads of an answer, in bytes.
const answerLimit = 256 << 20

// Do sends the request and decodes a successful answer into answer, which may
// be nil. An error for which errors.As finds an *api.Error is the server's own
// word, with its status; any other is tagged ErrNoAnswer.
func Do(ctx context.Context, client *http.Client, request *sling.Sling, answer any) error {
	httpRequest, err := request.Request()
	if err != nil {
		return ErrNoAnswer.Wrap(err)
	}
	response, err := client.Do(httpRequest.WithContext(ctx))
	if err != nil {
		return ErrNoAnswer.Wrap(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil {
		return ErrNoAnswer.Wrap(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response.StatusCode, content)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return ErrNoAnswer.Errorf("status %d: %w", response.StatusCode, err)
	}
	return nil
}

func statusError(status int, content []byte) error {
	answer := &api.Error{}
	if err := json.Unmarshal(content, answer); err != nil || answer.Code == "" {
		return ErrNoAnswer.Errorf("status %d: %.200s", status, content)
	}
	answer.Status = status
	return answer
}

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/dghubble/sling"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/httpresponse"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// errorBodyLimit bounds what is read of an error's body, in bytes.
const errorBodyLimit = 1 << 20

// Client calls the operator port of one node. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	base       *sling.Sling
}

// NewClient returns a client of the operator port at host:port. Deadlines come
// from the contexts of the calls; a Timeout of httpClient must be longer than
// any WAIT.
func NewClient(httpClient *http.Client, address string) *Client {
	return &Client{httpClient: httpClient, base: sling.New().Base("http://" + address)}
}

// Query runs the statements and hands each result to take as it comes. An error
// is an *api.Error (nothing ran), ErrNotSent (nothing ran) or ErrAnswerLost:
// what was not handed to take may have run or may yet run.
func (c *Client) Query(ctx context.Context, request QueryRequest, take func(query.Result)) (query.Summary, error) {
	request.Output = DeliveryStream
	response, err := c.do(ctx, c.base.New().Post("/v1/query").BodyJSON(request))
	if err != nil {
		return query.Summary{}, err
	}
	defer response.Body.Close()
	return readStream(response.Body, take)
}

func readStream(body io.Reader, take func(query.Result)) (query.Summary, error) {
	decoder := json.NewDecoder(body)
	for {
		var line StreamLine
		if err := decoder.Decode(&line); err != nil {
			return query.Summary{}, ErrAnswerLost.Errorf("the stream of results broke off: %v", err)
		}
		if line.Result != nil {
			take(*line.Result)
		}
		if line.Summary != nil {
			return *line.Summary, nil
		}
	}
}

// Status asks for the node's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	response, err := c.do(ctx, c.base.New().Get("/v1/status"))
	if err != nil {
		return Status{}, err
	}
	defer response.Body.Close()
	var status Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return Status{}, ErrAnswerLost.Wrap(err)
	}
	return status, nil
}

// do sends the request and sorts the failures.
func (c *Client) do(ctx context.Context, builder *sling.Sling) (*http.Response, error) {
	request, err := builder.Request()
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	response, err := c.httpClient.Do(request.WithContext(ctx))
	if err != nil {
		if neverConnected(err) {
			return nil, ErrNotSent.Wrap(err)
		}
		return nil, ErrAnswerLost.Wrap(err)
	}
	if err := httpresponse.Validate(response); err != nil {
		response.Body.Close()
		return nil, ErrAnswerLost.Wrap(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readError(response)
}

// neverConnected tells whether the request failed before it could be sent.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readError returns the node's own refusal, or else says that the answer was
// lost: a status without the node's body may come from anything in between.
func readError(response *http.Response) error {
	var refusal api.Error
	err := json.NewDecoder(io.LimitReader(response.Body, errorBodyLimit)).Decode(&refusal)
	if err != nil || refusal.Code == "" || refusal.Outcome != api.OutcomeRefused {
		return ErrAnswerLost.Errorf("status %s", response.Status)
	}
	refusal.Status = response.StatusCode
	return &refusal
}

package storeclient

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/dghubble/sling"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// Addresses names the platform's services as host:port.
type Addresses struct {
	Table    string
	Objects  string
	Weights  string
	Machines string
	Scoring  string
}

// Client calls the platform's services over HTTP. It implements Table, Objects,
// Weights, Machines and Scorer and is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	addresses  Addresses
}

// NewClient returns a client of the services at the addresses. Deadlines come
// from the contexts of the calls.
func NewClient(httpClient *http.Client, addresses Addresses) *Client {
	return &Client{httpClient: httpClient, addresses: addresses}
}

// answerLimit bounds an answer, and so an object that is read back, in bytes.
const answerLimit = 1 << 30

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error) {
	var response api.TransactionResponse
	request := c.base(c.addresses.Table).Post("/v1/table/transactions").BodyJSON(transaction)
	return response, c.do(ctx, request, &response)
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (api.Row, error) {
	var row api.Row
	request := c.base(c.addresses.Table).Get("/v1/table/rows/" + url.PathEscape(key))
	return row, c.do(ctx, request, &row)
}

// scanQuery is the query string of a scan.
type scanQuery struct {
	Prefix string `url:"prefix"`
	After  string `url:"after,omitempty"`
	Limit  int    `url:"limit,omitempty"`
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error) {
	var response api.ScanResponse
	query := scanQuery{Prefix: prefix, After: after, Limit: limit}
	request := c.base(c.addresses.Table).Get("/v1/table/rows").QueryStruct(query)
	return response, c.do(ctx, request, &response)
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, key string, content []byte) error {
	request := c.base(c.addresses.Objects).Put(objectPath(key)).Body(bytes.NewReader(content))
	return c.do(ctx, request, nil)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	request := c.base(c.addresses.Objects).Get(objectPath(key))
	content, err := httpjson.Fetch(ctx, c.httpClient, request, answerLimit)
	return content, classify(err)
}

// DeleteObject implements Objects.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	return c.do(ctx, c.base(c.addresses.Objects).Delete(objectPath(key)), nil)
}

// Machines implements Machines.
func (c *Client) Machines(ctx context.Context) (api.MachineList, error) {
	var list api.MachineList
	return list, c.do(ctx, c.base(c.addresses.Machines).Get("/v1/machines"), &list)
}

// Score implements Scorer.
func (c *Client) Score(ctx context.Context, request api.ScoreRequest) (api.ScoreResponse, error) {
	var response api.ScoreResponse
	return response, c.do(ctx, c.base(c.addresses.Scoring).Post("/v1/score").BodyJSON(request), &response)
}

// weightPath returns the path of a model's version in the weight store.
func weightPath(model string, version int64) string {
	return "/v1/weights/" + url.PathEscape(model) + "/" + formatVersion(version)
}

// PutWeights implements Weights.
func (c *Client) PutWeights(ctx context.Context, version api.WeightVersion) error {
	path := weightPath(version.Model, version.Version)
	return c.do(ctx, c.base(c.addresses.Weights).Put(path).BodyJSON(version), nil)
}

// GetWeights implements Weights.
func (c *Client) GetWeights(ctx context.Context, model string, version int64) (api.WeightVersion, error) {
	var found api.WeightVersion
	return found, c.do(ctx, c.base(c.addresses.Weights).Get(weightPath(model, version)), &found)
}

func (c *Client) base(address string) *sling.Sling {
	return sling.New().Client(c.httpClient).Base("http://" + address)
}

func objectPath(key string) string { return "/v1/objects/" + url.PathEscape(key) }

// do sends the request and decodes a successful answer into value, which may be
// nil.
func (c *Client) do(ctx context.Context, request *sling.Sling, value any) error {
	return classify(httpjson.DoLimited(ctx, c.httpClient, request, answerLimit, value))
}

// classify returns the service's definite word as it is and tags any other error
// ErrUncertain, also a word that says itself that the effect is not known.
func classify(err error) error {
	var definite *api.Error
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &definite), definite.Outcome == api.OutcomeUnknown:
		return ErrUncertain.Wrap(err)
	}
	return definite
}

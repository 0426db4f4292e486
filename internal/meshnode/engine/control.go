package engine

import (
	"context"

	"github.com/dghubble/sling"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
)

// Load returns the back end's load report.
func (c *Client) Load(ctx context.Context, address string) (api.LoadReport, error) {
	var report api.LoadReport
	err := c.call(ctx, sling.New().Get("http://"+address+"/v1/load"), &report)
	return *c.faults.seen(&report), err
}

// CacheEvents returns the cache events behind the sequence number after.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (api.CacheEvents, error) {
	query := struct {
		After int64 `url:"after"`
	}{after}
	var events api.CacheEvents
	err := c.call(ctx, sling.New().Get("http://"+address+"/v1/cache-events").QueryStruct(query), &events)
	return events, err
}

// Cancel ends a stream; the answer says whether it was still running.
func (c *Client) Cancel(ctx context.Context, address string, request api.CancelRequest) (api.CancelResponse, error) {
	var answer api.CancelResponse
	err := c.post(ctx, address, "/v1/cancel", request, &answer)
	return answer, err
}

// Export ends a stream and returns the state from which another engine can
// continue it.
func (c *Client) Export(ctx context.Context, address string, request api.CancelRequest) (api.KVState, error) {
	var state api.KVState
	err := c.post(ctx, address, "/v1/kv/export", request, &state)
	return state, err
}

// Order gives the back end a fenced order.
func (c *Client) Order(ctx context.Context, address string, order api.Order) (api.OrderResponse, error) {
	var answer api.OrderResponse
	err := c.post(ctx, address, "/v1/orders", order, &answer)
	return answer, err
}

func (c *Client) post(ctx context.Context, address, path string, body, answer any) error {
	return c.call(ctx, sling.New().Post("http://"+address+path).BodyJSON(body), answer)
}

// call sends one control request. An error for which errors.As finds an
// *api.Error is the definite answer of the back end; any other is tagged
// httpjson.ErrNoAnswer and leaves the effect open.
func (c *Client) call(ctx context.Context, request *sling.Sling, answer any) error {
	return httpjson.DoLimited(ctx, c.http, request, answerLimit, answer)
}

package load

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/httpjson"
)

// nodes is the list of nodes that a client may call, and the one it calls now.
type nodes struct {
	httpClient *http.Client
	addresses  []string
	current    atomic.Int64
}

func newNodes(httpClient *http.Client, addresses []string) *nodes {
	return &nodes{httpClient: httpClient, addresses: addresses}
}

// address returns the node to call now.
func (n *nodes) address() string {
	return n.addresses[int(n.current.Load())%len(n.addresses)]
}

// next goes on to the node after the given one, unless another call of the
// same client already did.
func (n *nodes) next(after string) {
	current := n.current.Load()
	if n.addresses[int(current)%len(n.addresses)] == after {
		n.current.CompareAndSwap(current, current+1)
	}
}

// base begins a request to a node.
func base(address string) *sling.Sling { return sling.New().Base("http://" + address) }

// do sends one request, built for the current node, and goes on to the next
// node if the answer says that another may do better.
func (n *nodes) do(ctx context.Context, build func(*sling.Sling) *sling.Sling, answer any) error {
	address := n.address()
	err := httpjson.Do(ctx, n.httpClient, build(base(address)), answer)
	if err != nil && anotherNodeMayHelp(err) {
		n.next(address)
	}
	return err
}

// anotherNodeMayHelp tells errors of the node from those of the request.
func anotherNodeMayHelp(err error) bool {
	var answer *api.Error
	if !errors.As(err, &answer) {
		return true
	}
	switch answer.Code {
	case api.CodeStopping, api.CodeNotReady, api.CodeNotOwner, api.CodeNoBackend, api.CodeOverloaded, api.CodeClaimUnavailable:
		return true
	}
	return false
}

// retryDelay returns how long to wait before trying again, and false where
// trying again does not help.
func retryDelay(err error, unanswered time.Duration) (time.Duration, bool) {
	var answer *api.Error
	if !errors.As(err, &answer) {
		return unanswered, true
	}
	if answer.RetryAfterMS <= 0 {
		return 0, false
	}
	return api.Milliseconds(answer.RetryAfterMS), true
}

// wait sleeps unless the context ends first.
func wait(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

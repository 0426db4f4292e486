package load

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
	"github.com/sliplift/sliplift/internal/pause"
)

// Node is a node that a client may call.
type Node struct {
	// Name is the node's name for the history; empty where it is not known.
	Name string
	// Address is host:port of its caller port.
	Address string
}

// UnmarshalFlag implements flags.Unmarshaler: IP:PORT or NAME=IP:PORT.
func (n *Node) UnmarshalFlag(text string) error {
	name, address, named := strings.Cut(text, "=")
	if !named {
		name, address = "", text
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errs.Errorf("must be IP:PORT or NAME=IP:PORT")
	}
	*n = Node{Name: name, Address: address}
	return nil
}

// nodes is the list of nodes that a client may call, and the one it calls now.
type nodes struct {
	httpClient *http.Client
	list       []Node
	current    atomic.Int64
}

func newNodes(httpClient *http.Client, list []Node) *nodes {
	return &nodes{httpClient: httpClient, list: list}
}

// node returns the node to call now.
func (n *nodes) node() Node {
	return n.list[int(n.current.Load())%len(n.list)]
}

// next goes on to the node after the given one, unless another call of the
// same client already did.
func (n *nodes) next(after Node) {
	current := n.current.Load()
	if n.list[int(current)%len(n.list)] == after {
		n.current.CompareAndSwap(current, current+1)
	}
}

// do sends one request to the current node.
func (n *nodes) do(ctx context.Context, build func(*sling.Sling) *sling.Sling, answer any) error {
	return n.doAt(ctx, n.node(), build, answer)
}

// doWithin is do with a bound on the time of the answer.
func (n *nodes) doWithin(ctx context.Context, limit time.Duration, build func(*sling.Sling) *sling.Sling, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return n.do(ctx, build, answer)
}

// doAt sends one request to the node, and goes on to the next one if the
// answer says that another may do better.
func (n *nodes) doAt(ctx context.Context, node Node, build func(*sling.Sling) *sling.Sling, answer any) error {
	request := build(sling.New().Base("http://" + node.Address))
	err := httpjson.Do(ctx, n.httpClient, request, answer)
	if err != nil && anotherNodeMayHelp(err) {
		n.next(node)
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
	if !errors.As(err, &answer) || errors.Is(err, storeclient.ErrUncertain) {
		return unanswered, true
	}
	if answer.RetryAfterMS <= 0 {
		return 0, false
	}
	return api.Milliseconds(answer.RetryAfterMS), true
}

// wait returns why ctx ended if it does before the delay has passed.
func wait(ctx context.Context, delay time.Duration) error {
	if !pause.For(ctx, delay) {
		return context.Cause(ctx)
	}
	return nil
}

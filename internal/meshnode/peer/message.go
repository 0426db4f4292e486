// Package peer carries JSON lines between nodes over TCP. A connection begins
// with a hello line in each direction (the dialling end first) and then carries
// requests and responses both ways; each line is one Message. Delivery is at
// most once and unordered: a message may be lost, and every protocol above must
// bear that.
//
// A connection is opened by the first message to an address, reused by the
// other end, and closed when idle, so that a node holds connections only to the
// nodes it has lately talked to. Nothing is ever sent twice. A call's error
// tells whether the request can have reached the other node (ErrNoAnswer) or
// cannot have (ErrNotSent). A response is accepted only over the connection
// that carried its request.
package peer

import (
	"context"
	"encoding/json"
)

// Kind names the protocol that a message belongs to, for example
// "membership.heartbeat" or "claim.request".
type Kind string

// Message is one line between nodes.
type Message struct {
	Kind Kind `json:"kind"`
	// From is the sender's node name, Incarnation that of its process. They are
	// not on the wire: the receiver fills them in from the connection's hello.
	From        string `json:"-"`
	Incarnation int64  `json:"-"`
	// ID joins a response to its request; zero for one-way messages.
	ID       uint64 `json:"id,omitempty"`
	Response bool   `json:"response,omitempty"`
	// TimeoutMS is the time that a request's sender will wait for the response.
	TimeoutMS int64           `json:"timeout_ms,omitempty"`
	Error     string          `json:"error,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// Handler answers a message from another node. The returned value is encoded
// as the response's body; it is dropped for one-way messages.
type Handler func(ctx context.Context, from string, body json.RawMessage) (any, error)

// Caller is what protocols need of a transport.
type Caller interface {
	// Send sends a one-way message and does not wait; it may be lost.
	Send(address string, kind Kind, body any)
	// Call sends a request and decodes the response's body into response.
	Call(ctx context.Context, address string, kind Kind, body, response any) error
}

// Registry takes the handlers of the protocols; call before serving.
type Registry interface {
	Handle(kind Kind, handler Handler)
}

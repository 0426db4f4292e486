// Package peer carries JSON lines between nodes over TCP. A connection begins
// with a hello line and then carries requests and responses in both
// directions; each line is one Message. Delivery is at most once and
// unordered between connections: a message may be lost, and every protocol
// above must bear that.
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
	// From is the sender's node name, Incarnation that of its process.
	From        string `json:"from"`
	Incarnation int64  `json:"incarnation"`
	// ID joins a response to its request; zero for one-way messages.
	ID       uint64          `json:"id,omitempty"`
	Response bool            `json:"response,omitempty"`
	Error    string          `json:"error,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
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

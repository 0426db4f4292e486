// Package operator serves the operator port of a node and has its client.
//
// POST /v1/query runs a text of the operators' language (package query). The
// whole text is parsed first: a mistake answers 400 with code syntax_error, and
// nothing ran. Otherwise the answer is 200, also where a statement did not
// succeed, and holds one result per statement that ran and a summary that names
// those that did not. Statements run one after another and stop at the first
// that did not succeed.
//
// The client chooses the id of a query, from which together with the text the
// ids of its changes follow (query.Batch). So when an answer is lost on its way the client can
// still name each change whose fate it does not know.
//
// GET /v1/status tells a program about the node, GET /healthz answers 200 while
// the node serves and 503 otherwise, and GET /metrics is for Prometheus.
package operator

import (
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// Delivery says how results come.
type Delivery string

const (
	// DeliveryWhole sends one QueryResponse when all statements have run.
	DeliveryWhole Delivery = "whole"
	// DeliveryStream sends one StreamLine per result as it comes, and a last one
	// with the summary.
	DeliveryStream Delivery = "stream"
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	// ID is a UUID that gives the changes of the text their ids. The server
	// chooses one if it is empty. Sending the same ID with the same text again
	// makes no change a second time.
	ID string `json:"id,omitempty"`
	// Author names the operator in the log of changes.
	Author     string `json:"author,omitempty"`
	Statements string `json:"statements"`
	// Output is DeliveryWhole if empty.
	Output Delivery `json:"output,omitempty"`
}

// QueryResponse is the answer to a QueryRequest.
type QueryResponse struct {
	ID      string         `json:"id"`
	Node    string         `json:"node"`
	Results []query.Result `json:"results"`
	Summary query.Summary  `json:"summary"`
}

// StreamLine is one line of a streamed answer: a result, or the summary as the
// last line. A stream that ends without a summary is cut.
type StreamLine struct {
	Result  *query.Result  `json:"result,omitempty"`
	Summary *query.Summary `json:"summary,omitempty"`
}

// Status is the answer to GET /v1/status.
type Status struct {
	Node        string `json:"node"`
	Version     string `json:"version"`
	Zone        string `json:"zone,omitempty"`
	Incarnation int64  `json:"incarnation"`
	// Ready says that the node takes requests of callers.
	Ready bool `json:"ready"`
	// Stopping says that a planned stop has begun.
	Stopping bool `json:"stopping"`
	// Reason says why the node is not ready.
	Reason string `json:"reason,omitempty"`
	// Revision is the revision of the configuration that the node applied.
	Revision int64 `json:"revision"`
	// MembersAlive and MembersKnown count nodes as this one sees them.
	MembersAlive int       `json:"members_alive"`
	MembersKnown int       `json:"members_known"`
	AsOf         time.Time `json:"as_of"`
}

// Errors of the client.
const (
	// ErrNotSent says that no connection came about: nothing ran.
	ErrNotSent = errs.Tag("operator: not sent")
	// ErrAnswerLost says that the answer did not arrive whole: what was asked
	// may have run.
	ErrAnswerLost = errs.Tag("operator: answer lost")
	// ErrStopping is why statements are not begun on a node that stops.
	ErrStopping = errs.Tag("operator: the node stops")
)

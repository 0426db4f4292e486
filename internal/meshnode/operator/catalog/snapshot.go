// Package catalog answers SHOW and EXPLAIN: it builds the tables of the
// operators' language from value snapshots of the node's parts.
//
// Some of what a table shows is known only to other nodes: the load reports of
// back ends that this node does not watch, the steps that others own, the
// leases that they hold. Catalog.Show therefore asks the members it sees for
// what they know at first hand (peer message operator.show), and merges their
// words with its own: of two load reports the younger counts, of two words on a
// step or a lease the one with the higher epoch. Members that do not answer are
// named in the table. Nothing is asked for tables that this node knows whole.
//
// Ages are carried between nodes and never instants, because their clocks are
// not synchronised. An age does not count the way between the nodes, so it is a
// lower bound.
package catalog

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// MemberState is how this node sees another.
type MemberState string

const (
	MemberAlive   MemberState = "alive"
	MemberSuspect MemberState = "suspect"
	// MemberUnreachable is in a region of which nothing is heard.
	MemberUnreachable MemberState = "unreachable"
	MemberDead        MemberState = "dead"
	MemberLeft        MemberState = "left"
)

// Member is a node as this one sees it.
type Member struct {
	Name string
	// Address is host:port of its peer port.
	Address string
	Zone    string
	Region  string
	Site    string
	State   MemberState
	// Source names the node that told the state; this node for what it saw.
	Source      string
	Incarnation int64
	// Revision is the revision that it said it applied; zero where it is not
	// known.
	Revision int64
	// LastHeard is this node's time of its last word; zero if there was none.
	LastHeard time.Time
}

// Report is the last load report of a back end that a node fetched itself.
type Report struct {
	Load api.LoadReport `json:"load"`
	// Node is the node that fetched it.
	Node string `json:"node"`
	// AgeMS is the time since it arrived there. The report may have been old
	// already when it arrived.
	AgeMS int64 `json:"age_ms"`
}

// Step is a trainer's step as its owner or a former owner knows it.
type Step struct {
	Trainer      string `json:"trainer"`
	Step         int64  `json:"step"`
	Pool         string `json:"pool"`
	State        string `json:"state"`
	Owner        string `json:"owner"`
	Epoch        int64  `json:"epoch"`
	Samples      int    `json:"samples"`
	Finished     int    `json:"finished"`
	Delivered    int    `json:"delivered"`
	Acknowledged int    `json:"acknowledged"`
	// AgeMS is the time since the step was posted or taken over.
	AgeMS int64 `json:"age_ms"`
}

// Lease is a control lease as its holder knows it.
type Lease struct {
	Shard  string `json:"shard"`
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
	// ExpiresInMS is the time until it expires unless it is renewed.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// RequestEvent is one thing that a node remembers of a request.
type RequestEvent struct {
	// AfterMS counts from the moment that the node took the request.
	AfterMS int64  `json:"after_ms"`
	Node    string `json:"node"`
	Attempt int    `json:"attempt"`
	// Event is what happened, for example "chosen" or "answered".
	Event   string `json:"event"`
	Backend string `json:"backend,omitempty"`
	// Reason says why, for example the load that made a back end the best.
	Reason string `json:"reason,omitempty"`
}

// Sources are the node's parts as functions that return snapshots. All are safe
// for concurrent use and do not block. A table whose source is nil is answered
// with an error, never as empty.
type Sources struct {
	// Config returns the applied configuration, and false before it was read.
	Config func() (*configlog.State, bool)
	// Entries returns the recent entries of the configuration log, oldest first.
	Entries func() []configlog.Entry
	// Members returns all known nodes with this one.
	Members func() []Member
	// Reports returns the reports that this node fetched itself.
	Reports func() []Report
	// Steps returns the steps that this node owns.
	Steps func() []Step
	// Leases returns the control leases that this node holds.
	Leases func() []Lease
	// Request returns what this node remembers of a request, nil if nothing.
	Request func(requestID string) []RequestEvent
}

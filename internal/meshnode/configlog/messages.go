package configlog

import "github.com/sliplift/sliplift/internal/meshnode/peer"

// Kinds of the messages between nodes.
const (
	// KindPush carries new entries, one way.
	KindPush peer.Kind = "config.push"
	// KindPull asks for the entries after a revision.
	KindPull peer.Kind = "config.pull"
	// KindStatus asks which revision a node applied.
	KindStatus peer.Kind = "config.status"
)

// PushMessage is the body of KindPush.
type PushMessage struct {
	// Address is where the sender can be asked for more.
	Address  string  `json:"address"`
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"entries"`
}

// PullRequest is the body of KindPull.
type PullRequest struct {
	After int64 `json:"after"`
}

// PullResponse answers a PullRequest. Snapshot is set where the node no longer
// has all entries.
type PullResponse struct {
	Revision int64     `json:"revision"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Entries  []Entry   `json:"entries,omitempty"`
}

// StatusRequest is the body of KindStatus. A node that is behind the asker
// pulls from it.
type StatusRequest struct {
	// Address is where the asker can be asked for more.
	Address  string `json:"address"`
	Revision int64  `json:"revision"`
}

// StatusResponse answers a StatusRequest.
type StatusResponse struct {
	Revision int64 `json:"revision"`
	Ready    bool  `json:"ready"`
	// Members counts the members that the node knows.
	Members int `json:"members"`
}

package machinewatch

import "github.com/sliplift/sliplift/internal/meshnode/peer"

// Kinds of the messages between nodes.
const (
	// KindLeaving carries a View, one way.
	KindLeaving peer.Kind = "machines.leaving"
	// KindExchange compares the Views of two nodes.
	KindExchange peer.Kind = "machines.exchange"
)

// Brief is a View without its names.
type Brief struct {
	AsOfMS int64  `json:"as_of_unix_ms"`
	Reader string `json:"reader"`
	Hash   uint64 `json:"hash"`
}

// ExchangeRequest is the body of KindExchange: the sender's View in brief.
type ExchangeRequest struct {
	Brief
}

// ExchangeResponse answers an ExchangeRequest with the other node's View: whole
// where it is newer than the asker's and other names are leaving, else in brief.
type ExchangeResponse struct {
	Brief
	View *View `json:"view,omitempty"`
}

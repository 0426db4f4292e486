package claim

import (
	"context"
	"encoding/json"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
)

// Kinds of the messages between nodes.
const (
	KindRequest  peer.Kind = "claim.request"
	KindRelease  peer.Kind = "claim.release"
	KindComplete peer.Kind = "claim.complete"
	KindTicket   peer.Kind = "claim.ticket"
	KindHandOver peer.Kind = "claim.handover"
	KindRecover  peer.Kind = "claim.recover"
)

// Member is a node that may be a replica.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Token names one round of one claimant. It is never used again.
type Token struct {
	Claimant    string `json:"claimant"`
	Incarnation int64  `json:"incarnation"`
	// Sequence counts the rounds of the claimant's incarnation.
	Sequence  uint64 `json:"sequence"`
	RequestID string `json:"request_id"`
}

// Request asks a replica to grant Key to Token.
type Request struct {
	Key   string `json:"key"`
	Token Token  `json:"token"`
	// Revision is that of the newest member list which the claimant knows.
	Revision int64 `json:"revision"`
}

// VoteKind is a replica's answer to a Request.
type VoteKind string

const (
	// VoteGranted means that the register holds the token of the request.
	VoteGranted VoteKind = "granted"
	// VoteHeld means that the register holds another token.
	VoteHeld VoteKind = "held"
	// VoteAbstain means that the replica may have forgotten a grant.
	VoteAbstain VoteKind = "abstain"
	// VoteReleased means that the token of the request was released before.
	VoteReleased VoteKind = "released"
	// VoteFull means that the replica has no room for another key.
	VoteFull VoteKind = "full"
	// VoteStale means that the claimant's member list is out of date.
	VoteStale VoteKind = "stale"
)

// Vote answers a Request.
type Vote struct {
	Kind VoteKind `json:"kind"`
	// Holder is the token that the register holds; set for VoteHeld.
	Holder Token `json:"holder,omitzero"`
	// Record is what the holder reported; nil until then.
	Record *Record `json:"record,omitempty"`
}

// Record is the outcome of the request that won a key.
type Record struct {
	Outcome api.Outcome `json:"outcome"`
	// Answer is set if the request completed and its answer was small enough to
	// keep.
	Answer *api.LiveResponse `json:"answer,omitempty"`
}

// size returns the number of bytes that the answer takes, nearly.
func (r Record) size() int {
	if r.Answer == nil {
		return 0
	}
	return len(r.Answer.Text)
}

// Release gives a token back. Its claimant never dispatches under it.
type Release struct {
	Key   string `json:"key"`
	Token Token  `json:"token"`
}

// Complete records the outcome of the request that won a key.
type Complete struct {
	Key    string `json:"key"`
	Token  Token  `json:"token"`
	Record Record `json:"record"`
}

// Acknowledgement answers a Release and a Complete.
type Acknowledgement struct{}

// handle registers what answers the messages of a kind, whose bodies are a T.
func handle[T any](registry peer.Registry, kind peer.Kind, answer func(message T) any) {
	registry.Handle(kind, func(_ context.Context, _ string, body json.RawMessage) (any, error) {
		var message T
		if err := json.Unmarshal(body, &message); err != nil {
			return nil, err
		}
		return answer(message), nil
	})
}

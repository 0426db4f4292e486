package membership

import "github.com/sliplift/sliplift/internal/meshnode/peer"

// Kinds of messages between members.
const (
	KindPing         peer.Kind = "membership.ping"
	KindAck          peer.Kind = "membership.ack"
	KindProbeRequest peer.Kind = "membership.probe_request"
	KindNack         peer.Kind = "membership.nack"
	KindGossip       peer.Kind = "membership.gossip"
	KindSync         peer.Kind = "membership.sync"
	KindBuckets      peer.Kind = "membership.buckets"
	KindEntries      peer.Kind = "membership.entries"
	KindDelta        peer.Kind = "membership.delta"
)

// Payload is the body of a message: one of Ping, Ack, ProbeRequest, Nack,
// Gossip, Sync, Buckets, Entries and Delta.
type Payload interface {
	Kind() peer.Kind
	heartbeat() Heartbeat
}

// Envelope is a message to be sent. Delivery may fail without notice.
type Envelope struct {
	To      string
	Address string
	Payload Payload
}

// Heartbeat is the part that all messages share.
type Heartbeat struct {
	// To is the name of the member that is meant; another node that got hold of
	// its address does not answer.
	To          string `json:"to"`
	Incarnation int64  `json:"incarnation"`
	Refutation  int64  `json:"refutation,omitempty"`
	// Digest is what other protocols let this node tell.
	Digest  int64         `json:"digest,omitempty"`
	Heard   []RegionHeard `json:"heard,omitempty"`
	Updates []Update      `json:"updates,omitempty"`
}

func (h Heartbeat) heartbeat() Heartbeat { return h }

// RegionHeard tells how long ago a region was heard, and by whom.
type RegionHeard struct {
	Region string `json:"region"`
	AgeMS  int64  `json:"age_ms"`
	By     string `json:"by"`
}

// Update is a piece of news about a member.
type Update struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
	Refutation  int64  `json:"refutation,omitempty"`
	State       State  `json:"state"`
	// Observers names those that got no answer, for suspect and dead members.
	Observers []string `json:"observers,omitempty"`
	// Identity is set where the receiver may not know the incarnation yet.
	Identity *Identity `json:"identity,omitempty"`
}

// Ping asks for an Ack with the same sequence number.
type Ping struct {
	Heartbeat
	Sequence uint64 `json:"sequence"`
}

// Ack answers a Ping, or a ProbeRequest in the stead of Target.
type Ack struct {
	Heartbeat
	Sequence uint64 `json:"sequence"`
	Target   string `json:"target,omitempty"`
}

// ProbeRequest asks a helper to ping Target and to answer with Ack or Nack.
type ProbeRequest struct {
	Heartbeat
	Sequence uint64 `json:"sequence"`
	Target   string `json:"target"`
}

// Nack says that the helper got no answer from Target either.
type Nack struct {
	Heartbeat
	Sequence uint64 `json:"sequence"`
	Target   string `json:"target"`
}

// Gossip carries news only.
type Gossip struct {
	Heartbeat
}

// Sync begins a comparison of views. Hash covers all members that are not gone;
// it is not answered if it equals the receiver's.
type Sync struct {
	Heartbeat
	Hash uint64 `json:"hash"`
}

// Buckets answers a Sync that differs, with a hash for each bucket of names.
type Buckets struct {
	Heartbeat
	Hashes []uint64 `json:"hashes"`
}

// Entries answers Buckets with the versions of all members in those buckets
// that differ.
type Entries struct {
	Heartbeat
	Buckets  []int     `json:"buckets"`
	Versions []Version `json:"versions,omitempty"`
}

// Version is how recent a node's knowledge of a member is.
type Version struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
	Refutation  int64  `json:"refutation,omitempty"`
}

// Delta carries what the receiver lacks, and asks for what the sender lacks.
type Delta struct {
	Heartbeat
	Records []Update `json:"records,omitempty"`
	Want    []string `json:"want,omitempty"`
}

// Kind implements Payload.
func (Ping) Kind() peer.Kind { return KindPing }

// Kind implements Payload.
func (Ack) Kind() peer.Kind { return KindAck }

// Kind implements Payload.
func (ProbeRequest) Kind() peer.Kind { return KindProbeRequest }

// Kind implements Payload.
func (Nack) Kind() peer.Kind { return KindNack }

// Kind implements Payload.
func (Gossip) Kind() peer.Kind { return KindGossip }

// Kind implements Payload.
func (Sync) Kind() peer.Kind { return KindSync }

// Kind implements Payload.
func (Buckets) Kind() peer.Kind { return KindBuckets }

// Kind implements Payload.
func (Entries) Kind() peer.Kind { return KindEntries }

// Kind implements Payload.
func (Delta) Kind() peer.Kind { return KindDelta }

// Package relay passes calls about batch jobs on to another node while the node
// that got them is out of touch with the store: the store may turn single nodes
// away, or a partition may do so, while it serves the others, and callers choose
// their node by chance.
//
// Live requests are not relayed: a node serves them with what it knows. A call is
// relayed once at most; the node that gets it answers as well as it can. What may
// have been done is never sent to a second node: its outcome is unknown, as that
// of any call without an answer. A call goes only to nodes of the regions in which its
// body, or what answers it, may be seen.
package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

// Config configures a Relay.
type Config struct {
	Client *upstream.Client
	// Peers returns the other nodes that calls may be relayed to.
	Peers func() []presence.Node
	// InTouch tells whether this node is in touch with the store.
	InTouch func() bool
	Log     *eventlog.Log
	// Own is where this node stands.
	Own place.Place
}

// Relay passes calls on. It is safe for concurrent use.
type Relay struct {
	config Config
	turn   atomic.Uint64
}

// New returns a relay.
func New(config Config) *Relay { return &Relay{config: config} }

// Needed tells whether calls should be relayed.
func (r *Relay) Needed() bool { return !r.config.InTouch() }

const (
	// triesMost is the number of nodes that one call is sent to.
	triesMost = 2
	// quickRefusal is within which time a refusal tells that the node refuses at
	// once, so that another may be asked.
	quickRefusal = 300 * time.Millisecond
)

var (
	// errNoPeer says that no other node could be reached.
	errNoPeer = errors.New("relay: no other node")
	// errNoPeerWithin says that no other node stands where the call may be seen.
	errNoPeerWithin = errors.New("relay: no other node in the regions of the call")
)

// Pass sends the call to another node in one of the regions and returns its answer,
// whose body must be closed. The error is an *upstream.Error; its fate NotSent means that
// no node got the call.
func (r *Relay) Pass(ctx context.Context, call *upstream.Call, regions place.Regions) (*upstream.Answer, error) {
	failure := &upstream.Error{Fate: upstream.NotSent, Cause: errNoPeer}
	var refusal *upstream.Answer
	peers := r.choose(regions)
	if len(peers) == 0 && !regions.IsAll() {
		failure.Cause = errNoPeerWithin
		r.noteWithheld(call, regions)
	}
	for _, peer := range peers {
		started := time.Now()
		attempt := *call
		attempt.Address, attempt.Purpose = peer.Address, upstream.PurposePeer
		// Calls are relayed rarely, and a kept connection may have fallen silent: the call
		// would wait on it until its caller has no time left for another node.
		attempt.NewConnection = true
		answer, err := r.config.Client.Do(ctx, &attempt)
		if err != nil {
			r.note(call, peer, err.Error())
			if fate := upstream.FateOf(err); fate != upstream.NotSent {
				return nil, err
			}
			continue
		}
		if refusal != nil {
			_ = refusal.Body.Close()
			refusal = nil
		}
		if answer.Status != http.StatusServiceUnavailable || time.Since(started) > quickRefusal {
			r.note(call, peer, "")
			return answer, nil
		}
		refusal = answer
	}
	if refusal != nil {
		return refusal, nil
	}
	return nil, failure
}

// choose returns the nodes of regions to try, the nearest first, by turns.
func (r *Relay) choose(regions place.Regions) []presence.Node {
	return order(presence.Within(r.config.Peers(), regions), r.config.Own, int(r.turn.Add(1)))
}

// order returns triesMost of the peers at most, the nearest first, beginning at another
// one with each turn. It is pure.
func order(peers []presence.Node, own place.Place, turn int) []presence.Node {
	turned := make([]presence.Node, 0, len(peers))
	for i := range peers {
		turned = append(turned, peers[(i+turn)%len(peers)])
	}
	slices.SortStableFunc(turned, func(a, b presence.Node) int {
		return cmp.Compare(place.DefaultDistance(own, a.Place()), place.DefaultDistance(own, b.Place()))
	})
	return turned[:min(len(turned), triesMost)]
}

func (r *Relay) noteWithheld(call *upstream.Call, regions place.Regions) {
	r.config.Log.Warn(eventlog.CallRelayed, eventlog.Fields{
		eventlog.Request: call.ID, "method": call.Method, "target": call.Target,
		eventlog.Regions: regions.String(), eventlog.Cause: errNoPeerWithin.Error(),
	})
}

func (r *Relay) note(call *upstream.Call, peer presence.Node, cause string) {
	fields := eventlog.Fields{eventlog.Request: call.ID, "method": call.Method, "target": call.Target, "to": peer.Name}
	if cause == "" {
		r.config.Log.Info(eventlog.CallRelayed, fields)
		return
	}
	fields[eventlog.Cause] = cause
	r.config.Log.Warn(eventlog.CallRelayed, fields)
}

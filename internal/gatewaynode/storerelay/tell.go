package storerelay

import (
	"context"
	"encoding/json"
	"sync"

	"golang.org/x/time/rate"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

const (
	// tellParallel is how many nodes are told at a time.
	tellParallel = 16
	// tellPerSecond bounds the nodes that one tells in a second: each is a connection. If all
	// of 330 nodes tell all others, each makes and takes so many in a second, some 1% of a
	// core, for eleven seconds.
	tellPerSecond = 30
)

// OnTold gives the function that takes what other nodes tell this one.
func (d *Detour) OnTold(take func(message json.RawMessage)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onTold = take
}

// Tell tells all other nodes something directly, once, as well as it can: it is for what
// the store does not take just now. It returns when all have answered or were given up.
func (d *Detour) Tell(ctx context.Context, message json.RawMessage) {
	d.mu.Lock()
	peers := d.peers
	d.mu.Unlock()
	if peers == nil {
		return
	}
	slots := make(chan struct{}, tellParallel)
	var group sync.WaitGroup
	pace := rate.NewLimiter(tellPerSecond, tellPerSecond)
	told, failed := 0, 0
	var mu sync.Mutex
	for _, peer := range peers() {
		if peer.PeerAddress == "" {
			continue
		}
		if pace.Wait(ctx) != nil {
			break
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			way := &client{address: peer.PeerAddress, dial: d.config.Dial}
			defer way.close()
			_, err := way.call(ctx, request{Operation: opTell, Message: message})
			mu.Lock()
			defer mu.Unlock()
			told++
			if err != nil {
				failed++
			}
		})
	}
	group.Wait()
	d.config.Log.Info(eventlog.PeersTold, eventlog.Fields{eventlog.Count: told, "failed": failed, "bytes": len(message)})
}

// takeTold takes what another node tells.
func (d *Detour) takeTold(message json.RawMessage) answer {
	d.mu.Lock()
	take := d.onTold
	d.mu.Unlock()
	if take == nil {
		return answer{Outcome: outcomeRefused, Cause: "this node takes no messages"}
	}
	take(message)
	return answer{Outcome: outcomeOK}
}

package storerelay

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// errNoneWithin says that no other node in the regions of a call took it.
var errNoneWithin = errors.New("no other node in the regions of the call")

// own returns where this node stands.
func (d *Detour) own() place.Place {
	return place.Place{Zone: d.config.Zone, Region: d.config.Region}
}

// commit commits a transaction that may be seen in regions.
func (d *Detour) commit(ctx context.Context, asked request, regions place.Regions) (int64, error) {
	got := d.call(ctx, asked, regions)
	return got.Revision, got.err()
}

// showsBodies tells whether a transaction, or the conflict that answers it, holds rows
// that must not be seen everywhere.
func (d *Detour) showsBodies(transaction rowstore.Transaction) bool {
	if d.config.HoldsBodies == nil {
		return false
	}
	return slices.ContainsFunc(transaction.Puts, func(row rowstore.Row) bool { return d.config.HoldsBodies(row.Table) }) ||
		slices.ContainsFunc(transaction.Conditions, func(c rowstore.Condition) bool { return d.config.HoldsBodies(c.Table) })
}

// regionsFor returns the regions in which a read of a table may be seen.
func (d *Detour) regionsFor(ctx context.Context, table string) place.Regions {
	if d.config.HoldsBodies == nil || !d.config.HoldsBodies(table) {
		return place.Regions{}
	}
	return d.regionsOf(ctx)
}

// regionsOf returns the regions that the context of a call names, and the node's own where
// it names none.
func (d *Detour) regionsOf(ctx context.Context) place.Regions {
	if regions, told := rowstore.BoundTo(ctx); told || d.config.Region == "" {
		return regions
	}
	return place.NewRegions(d.config.Region)
}

// callWithin makes a call through nodes of regions, one after the other until one makes
// it: one that refuses has done nothing.
func (d *Detour) callWithin(ctx context.Context, asked request, regions place.Regions) answer {
	d.mu.Lock()
	peers := d.peers
	d.mu.Unlock()
	for _, peer := range candidates(presence.Within(peers(), regions), d.own()) {
		via := d.asideOf(peer)
		if via == nil {
			break
		}
		got, err := via.call(ctx, asked)
		if err != nil {
			d.dropAside(peer.Name, via)
			got = answerOf(err)
		}
		if got.Outcome != outcomeRefused {
			return got
		}
	}
	d.noteWithheld(regions)
	return answerOf(fmt.Errorf("%w: %w (%s)", rowstore.ErrRefused, errNoneWithin, regions))
}

// asideOf returns the client of a node, nil if the node goes its own way meanwhile.
func (d *Detour) asideOf(peer presence.Node) *client {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.via == nil {
		return nil
	}
	if d.aside == nil {
		d.aside = make(map[string]*client)
	}
	if d.aside[peer.Name] == nil {
		d.aside[peer.Name] = &client{address: peer.PeerAddress, dial: d.config.Dial}
	}
	return d.aside[peer.Name]
}

func (d *Detour) dropAside(name string, via *client) {
	d.mu.Lock()
	if d.aside[name] == via {
		delete(d.aside, name)
	}
	d.mu.Unlock()
	via.close()
}

// noteWithheld says once, for each set of regions, that there is no way within them while
// the node goes through another.
func (d *Detour) noteWithheld(regions place.Regions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withheld[regions] || d.via == nil {
		return
	}
	if d.withheld == nil {
		d.withheld = make(map[place.Regions]bool)
	}
	d.withheld[regions] = true
	d.config.Log.Warn(eventlog.StoreDetour, eventlog.Fields{
		"via": d.viaNode.Name, eventlog.Regions: regions.String(), eventlog.Cause: errNoneWithin.Error(),
	})
}

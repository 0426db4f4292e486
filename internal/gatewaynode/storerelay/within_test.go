package storerelay

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
)

// TestBodiesGoThroughNodesOfTheirRegions: the store turns n0 away, which stands in region
// a as n1 does, n2 in b and n3 in c. Calls go through n1; those with bodies through a node
// of their regions, and of the own region where they name none.
func TestBodiesGoThroughNodesOfTheirRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4)
		defer f.stop()
		n0 := f.nodes[0]
		n0.config.Region = "a"
		n0.config.HoldsBodies = func(table string) bool { return table == "bodies" }
		regions := []string{"a", "a", "b", "c"}
		n0.SetPeers(func() []presence.Node {
			var others []presence.Node
			for i := 1; i < len(regions); i++ {
				name := fmt.Sprint("n", i)
				near := map[bool]string{true: "z", false: "far"}[i == 1]
				others = append(others, presence.Node{Name: name, PeerAddress: name + ":90", Zone: near, Region: regions[i]})
			}
			return others
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		f.work(ctx, f.nodes[1:])
		f.ways[0].Set(rowstoretest.Refused)
		time.AfterFunc(2*time.Second, cancel)
		keepCalling(ctx, n0)
		if via := n0.Away(); via != "n1" {
			t.Fatalf("calls go through %q", via)
		}
		bodies := rowstore.Transaction{Puts: []rowstore.Row{{RowID: rowstore.RowID{Table: "bodies", Key: "k"}, Value: []byte("v")}}}
		within := func(names ...string) context.Context { return rowstore.Within(t.Context(), place.NewRegions(names...)) }
		for _, test := range []struct {
			name  string
			ctx   context.Context
			way   int
			error error
		}{
			{"its region is another", within("b"), 2, nil},
			{"the region of the node that calls go through is among its own", within("a", "c"), 1, nil},
			{"it names no region", t.Context(), 1, nil},
			{"it may be seen everywhere", within(), 1, nil},
			{"no node stands in its region", within("d"), 0, rowstore.ErrRefused},
		} {
			before := f.ways[test.way].Calls()
			_, err := n0.Commit(test.ctx, bodies)
			if !errors.Is(err, test.error) {
				t.Errorf("commit, %s: %v", test.name, err)
			}
			if _, err := n0.List(test.ctx, "bodies", "", "", "", 1); !errors.Is(err, test.error) {
				t.Errorf("list, %s: %v", test.name, err)
			}
			if calls := f.ways[test.way].Calls() - before; calls != 2 && test.error == nil {
				t.Errorf("%s: %d calls through n%d", test.name, calls, test.way)
			}
		}
		if _, err := n0.List(within("d"), "t", "", "", "", 1); err != nil {
			t.Errorf("a read without bodies: %v", err)
		}
	})
}

// TestCandidates: the own zone goes first, then the own region, then the larger ones.
func TestCandidates(t *testing.T) {
	node := func(name, zone, region string, cores float64) presence.Node {
		return presence.Node{Name: name, PeerAddress: name, Zone: zone, Region: region, Cores: cores}
	}
	peers := []presence.Node{
		node("far", "c1", "c", 4), node("region", "a2", "a", 1), node("zone", "a1", "a", 0.5), node("large", "b1", "b", 8),
		{Name: "unreachable", Zone: "a1", Region: "a", Cores: 9},
	}
	got := ""
	for _, peer := range candidates(peers, place.Place{Zone: "a1", Region: "a"}) {
		got += peer.Name + " "
	}
	if want := "zone region large "; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

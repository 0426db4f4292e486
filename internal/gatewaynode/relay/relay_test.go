package relay

import (
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
)

func TestOrder(t *testing.T) {
	peers := []presence.Node{{Name: "a", Zone: "x", Region: "r"}, {Name: "b", Zone: "y", Region: "s"}, {Name: "c", Zone: "x", Region: "r"}, {Name: "d", Zone: "z", Region: "r"}}
	for _, test := range []struct {
		name  string
		peers []presence.Node
		own   place.Place
		turn  int
		want  string
	}{
		{"nobody", nil, place.Place{Zone: "x", Region: "r"}, 1, ""},
		{"own zone first", peers, place.Place{Zone: "x", Region: "r"}, 0, "ac"},
		{"by turns", peers, place.Place{Zone: "x", Region: "r"}, 1, "ca"},
		{"others after the own zone's", peers, place.Place{Zone: "y", Region: "s"}, 0, "ba"},
		{"the own region after the own zone", peers[1:], place.Place{Zone: "x", Region: "r"}, 0, "cd"},
		{"a zone without nodes", peers, place.Place{Zone: "w", Region: "r"}, 3, "da"},
	} {
		got := ""
		for _, peer := range order(test.peers, test.own, test.turn) {
			got += peer.Name
		}
		if got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

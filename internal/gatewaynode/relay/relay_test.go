package relay

import (
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
)

func TestOrder(t *testing.T) {
	peers := []presence.Node{{Name: "a", Zone: "x"}, {Name: "b", Zone: "y"}, {Name: "c", Zone: "x"}, {Name: "d", Zone: "z"}}
	for _, test := range []struct {
		name  string
		peers []presence.Node
		zone  string
		turn  int
		want  string
	}{
		{"nobody", nil, "x", 1, ""},
		{"own zone first", peers, "x", 0, "ac"},
		{"by turns", peers, "x", 1, "ca"},
		{"others after the own zone's", peers, "y", 0, "ba"},
		{"a zone without nodes", peers, "w", 3, "da"},
	} {
		got := ""
		for _, peer := range order(test.peers, test.zone, test.turn) {
			got += peer.Name
		}
		if got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

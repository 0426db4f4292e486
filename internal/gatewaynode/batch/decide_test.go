package batch

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
)

func TestDecide(t *testing.T) {
	open := ownershipState{known: true}
	mine := func(s ownershipState) ownershipState { s.owned = true; return s }
	gone := func(s ownershipState, rank int, orphaned time.Duration) ownershipState {
		s.owner, s.rank, s.orphanedFor = presence.Gone, rank, orphaned
		return s
	}
	cases := []struct {
		name string
		in   ownershipState
		want action
	}{
		{"own job that is not open is opened", mine(open), actOpen},
		{"own open job stays open", ownershipState{known: true, owned: true, running: true}, actNothing},
		{"own job that has ended is closed", ownershipState{known: true, owned: true, running: true, finished: true}, actClose},
		{"job with another owner is closed", ownershipState{known: true, running: true}, actClose},
		{"stopping node opens no job", ownershipState{known: true, owned: true, stopping: true}, actNothing},
		{"unknown job", ownershipState{}, actNothing},
		{"owner alive", ownershipState{known: true, owner: presence.Alive}, actNothing},
		{"owner state unknown", ownershipState{known: true, owner: presence.Unknown}, actNothing},
		{"owner gone, first in rank", gone(open, 0, 0), actTakeOver},
		{"owner gone, second in rank waits", gone(open, 1, 0), actNothing},
		{"owner gone, second in rank after its stagger", gone(open, 1, takeOverStagger), actTakeOver},
		{"owner gone, this node not ranked", gone(open, -1, time.Hour), actNothing},
		{"owner gone, takeover in progress", func() ownershipState { s := gone(open, 0, 0); s.changingOwner = true; return s }(), actNothing},
		{"owner gone, job ended", func() ownershipState { s := gone(open, 0, 0); s.finished = true; return s }(), actNothing},
		{"owner gone, this node stopping", func() ownershipState { s := gone(open, 0, 0); s.stopping = true; return s }(), actNothing},
		{"own job outside its regions is handed over", ownershipState{known: true, owned: true, running: true, disallowedHere: true}, actLeaveRegion},
		{"own job outside its regions is not opened", ownershipState{known: true, owned: true, disallowedHere: true}, actLeaveRegion},
		{"own job outside its regions was handed over recently", ownershipState{known: true, owned: true, disallowedHere: true, leftRecently: true}, actNothing},
		{"own open job outside its regions is handed over again at once", ownershipState{known: true, owned: true, running: true, disallowedHere: true, leftRecently: true}, actLeaveRegion},
		{"own job outside its regions, hand-over in progress", ownershipState{known: true, owned: true, running: true, disallowedHere: true, changingOwner: true}, actNothing},
		{"own ended job outside its regions is closed", ownershipState{known: true, owned: true, running: true, disallowedHere: true, finished: true}, actClose},
		{"stopping node leaves the hand-over to Stop", ownershipState{known: true, owned: true, running: true, disallowedHere: true, stopping: true}, actNothing},
		{"owner gone, job outside its regions", func() ownershipState { s := gone(open, 0, time.Hour); s.disallowedHere = true; return s }(), actNothing},
	}
	for _, test := range cases {
		if got := decide(test.in); got != test.want {
			t.Errorf("%s: action %d, want %d", test.name, got, test.want)
		}
	}
}

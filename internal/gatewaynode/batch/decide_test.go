package batch

import (
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
)

func TestDecide(t *testing.T) {
	open := situation{known: true}
	mine := func(s situation) situation { s.mine = true; return s }
	gone := func(s situation, rank int, orphaned time.Duration) situation {
		s.owner, s.rank, s.orphanedFor = presence.Gone, rank, orphaned
		return s
	}
	cases := []struct {
		name string
		in   situation
		want action
	}{
		{"own job that is not open is opened", mine(open), actOpen},
		{"own open job stays open", situation{known: true, mine: true, running: true}, actNothing},
		{"own job that has ended is closed", situation{known: true, mine: true, running: true, finished: true}, actClose},
		{"job with another owner is closed", situation{known: true, running: true}, actClose},
		{"stopping node opens no job", situation{known: true, mine: true, stopping: true}, actNothing},
		{"unknown job", situation{}, actNothing},
		{"owner alive", situation{known: true, owner: presence.Alive}, actNothing},
		{"owner state unknown", situation{known: true, owner: presence.Unknown}, actNothing},
		{"owner gone, first in rank", gone(open, 0, 0), actTakeOver},
		{"owner gone, second in rank waits", gone(open, 1, 0), actNothing},
		{"owner gone, second in rank after its stagger", gone(open, 1, takeOverStagger), actTakeOver},
		{"owner gone, this node not ranked", gone(open, -1, time.Hour), actNothing},
		{"owner gone, takeover in progress", func() situation { s := gone(open, 0, 0); s.taking = true; return s }(), actNothing},
		{"owner gone, job ended", func() situation { s := gone(open, 0, 0); s.finished = true; return s }(), actNothing},
		{"owner gone, this node stopping", func() situation { s := gone(open, 0, 0); s.stopping = true; return s }(), actNothing},
		{"own job outside its regions is handed over", situation{known: true, mine: true, running: true, outside: true}, actLeave},
		{"own job outside its regions is not opened", situation{known: true, mine: true, outside: true}, actLeave},
		{"own job outside its regions was handed over recently", situation{known: true, mine: true, outside: true, leftLately: true}, actNothing},
		{"own open job outside its regions is handed over again at once", situation{known: true, mine: true, running: true, outside: true, leftLately: true}, actLeave},
		{"own job outside its regions, hand-over in progress", situation{known: true, mine: true, running: true, outside: true, taking: true}, actNothing},
		{"own ended job outside its regions is closed", situation{known: true, mine: true, running: true, outside: true, finished: true}, actClose},
		{"stopping node leaves the hand-over to Stop", situation{known: true, mine: true, running: true, outside: true, stopping: true}, actNothing},
		{"owner gone, job outside its regions", func() situation { s := gone(open, 0, time.Hour); s.outside = true; return s }(), actNothing},
	}
	for _, test := range cases {
		if got := decide(test.in); got != test.want {
			t.Errorf("%s: action %d, want %d", test.name, got, test.want)
		}
	}
}

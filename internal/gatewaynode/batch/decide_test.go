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
		{"own job that does not run is opened", mine(open), actOpen},
		{"own job that runs is left alone", situation{known: true, mine: true, running: true}, actNothing},
		{"own job that has ended is closed", situation{known: true, mine: true, running: true, finished: true}, actClose},
		{"job that went to another owner is closed", situation{known: true, running: true}, actClose},
		{"stopping node opens nothing", situation{known: true, mine: true, stopping: true}, actNothing},
		{"unknown job", situation{}, actNothing},
		{"owner alive", situation{known: true, owner: presence.Alive}, actNothing},
		{"owner not known to be gone", situation{known: true, owner: presence.Unknown}, actNothing},
		{"owner gone, first in rank", gone(open, 0, 0), actTakeOver},
		{"owner gone, second in rank waits", gone(open, 1, 0), actNothing},
		{"owner gone, second in rank after its stagger", gone(open, 1, takeOverStagger), actTakeOver},
		{"owner gone, not among the live", gone(open, -1, time.Hour), actNothing},
		{"owner gone, take-over under way", func() situation { s := gone(open, 0, 0); s.taking = true; return s }(), actNothing},
		{"owner gone, job ended", func() situation { s := gone(open, 0, 0); s.finished = true; return s }(), actNothing},
		{"owner gone, this node stops", func() situation { s := gone(open, 0, 0); s.stopping = true; return s }(), actNothing},
		{"own job that may not live here is handed over", situation{known: true, mine: true, running: true, outside: true}, actLeave},
		{"own job that may not live here is not opened", situation{known: true, mine: true, outside: true}, actLeave},
		{"own job that came back after this node handed it over", situation{known: true, mine: true, outside: true, leftLately: true}, actNothing},
		{"own job that may not live here and runs is handed over whenever it was before", situation{known: true, mine: true, running: true, outside: true, leftLately: true}, actLeave},
		{"own job that is being handed over", situation{known: true, mine: true, running: true, outside: true, taking: true}, actNothing},
		{"own job that may not live here and has ended is closed", situation{known: true, mine: true, running: true, outside: true, finished: true}, actClose},
		{"stopping node hands over by its stop", situation{known: true, mine: true, running: true, outside: true, stopping: true}, actNothing},
		{"owner gone, the job may not live here", func() situation { s := gone(open, 0, time.Hour); s.outside = true; return s }(), actNothing},
	}
	for _, test := range cases {
		if got := decide(test.in); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

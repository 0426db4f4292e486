package processtest

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/load"
)

// slowApplications keep a booking at the application long enough to act while it
// is there.
const slowApplications = "application-delay = 1s\n"

// bookingsAtOnce is the number of bookings in flight when their node is killed.
const bookingsAtOnce = 32

func TestNodeOfBookingsIsKilled(t *testing.T) {
	for name, storeDown := range map[string]bool{"store up": false, "store down": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			killNodeOfBookings(t, storeDown)
		})
	}
}

// killNodeOfBookings kills the node that bookings were sent to while some of
// them are at the applications. Their caller sends each again through another
// node under the same key.
func killNodeOfBookings(t *testing.T, storeDown bool) {
	s := startSystem(t, slowApplications)
	s.createPools("n2", nil)
	if storeDown {
		s.fail(fault.Fault{Target: "table", Kind: fault.KindDown})
	}
	begun := s.bookingsBegun()
	caller := s.newCaller("booking", 8, "n1", "n2")
	var answers [bookingsAtOnce]load.Answer
	var sending sync.WaitGroup
	for i := range answers {
		sending.Go(func() { answers[i] = caller.Send(t.Context(), fmt.Sprintf("visit %d", i)) })
	}
	eventually(t, "bookings are at the applications", func() error {
		if s.bookingsBegun() == begun {
			return errors.New("none yet")
		}
		return nil
	})
	s.kill("n1")
	sending.Wait()
	retried := 0
	for _, answer := range answers {
		if answer.Sendings > 1 {
			retried++
		}
	}
	if retried == 0 {
		t.Error("no booking was sent again")
	}
	s.wantNewBookingsCompleted()
	s.judge(history.PromiseAtMostOnce, history.PromiseRefusedNotRun, history.PromiseRightAnswer)
}

// bookingsBegun counts the bookings that have reached an application.
func (s *system) bookingsBegun() int {
	running := 0
	for _, name := range applicationNames {
		if poolOf(name) != "booking" {
			continue
		}
		report, err := s.engines().Load(s.t.Context(), s.ports.address(name))
		if err != nil {
			s.t.Fatal(err)
		}
		running += report.Running + report.Waiting
	}
	return running
}

// wantNewBookingsCompleted sends bookings under new keys through the nodes that
// are left.
func (s *system) wantNewBookingsCompleted() {
	s.t.Helper()
	for _, node := range []string{"n2", "n3"} {
		caller := s.newCaller("booking", 1, node)
		eventually(s.t, "a new booking through "+node, func() error {
			answer := caller.Send(s.t.Context(), "A later visit.")
			if answer.Outcome != api.OutcomeCompleted {
				return fmt.Errorf("%s: %w", answer.Outcome, answer.Err)
			}
			return nil
		})
	}
}

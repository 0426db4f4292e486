package processtest

import (
	"fmt"
	"sync"
	"testing"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/load"
)

// liveAtOnce is the number of live requests of each kind that are in flight when
// their node is told to stop.
const liveAtOnce = 16

func TestPlannedStopWithWorkInFlight(t *testing.T) {
	t.Parallel()
	s := startSystem(t, slowApplications)
	s.createPools("n2", nil)
	stopPreviews := s.traffic(s.newCaller("preview", 5, "n1"), 20)
	pools := []string{"titles", "booking"}
	callers := map[string]*load.Caller{}
	for _, pool := range pools {
		callers[pool] = s.newCaller(pool, 1, "n1")
	}
	var mu sync.Mutex
	var answers []load.Answer
	var sending sync.WaitGroup
	// Sent in mid-step, each is at a back end or on its way there when the
	// signal comes.
	send := func() {
		for i := range liveAtOnce {
			for _, pool := range pools {
				sending.Go(func() {
					answer := callers[pool].Send(t.Context(), fmt.Sprintf("%s %d", pool, i))
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, answer)
				})
			}
		}
	}
	sink := newTriggerSink(s.users, history.KindSampleDelivered, map[int64]func(){
		earlyInStep: func() {
			send()
			eventually(t, "bookings are at the applications", s.bookingsRun)
			s.stop("n1")
		},
	})
	trainer := s.newTrainer(sink, "n1")
	s.publish(trainer, 2)
	s.runStep(trainer, 1)
	sending.Wait()
	for _, answer := range answers {
		if answer.Outcome != api.OutcomeCompleted && answer.Outcome != api.OutcomeRefused {
			t.Errorf("a request got %s: %v", answer.Outcome, answer.Err)
		}
	}
	if previews := stopPreviews(); previews.Completed != previews.Total() {
		t.Errorf("previews with other nodes to go to: %+v", previews.Counts)
	}
	s.judge(append(samplePromises, history.PromisePlannedStop, history.PromiseAtMostOnce, history.PromiseRefusedNotRun,
		history.PromiseRightAnswer)...)
}

// bookingsRun is the condition that each instance of the booking application is
// at work.
func (s *system) bookingsRun() error {
	for _, name := range []string{"booking-1", "booking-2"} {
		report, err := s.engines().Load(s.t.Context(), s.ports.address(name))
		if err != nil {
			return err
		}
		if report.Running == 0 {
			return fmt.Errorf("%s is idle", name)
		}
	}
	return nil
}

func TestPlannedStopWhileStoreIsDown(t *testing.T) {
	t.Parallel()
	s := startSystem(t, slowApplications)
	s.createPools("n2", nil)
	leaving := s.leaseHolder("n2", "booking/0").node
	staying := otherNode(leaving)
	s.fail(fault.Fault{Target: "table", Kind: fault.KindDown})
	caller := s.newCaller("booking", 1, leaving)
	var answers [liveAtOnce]load.Answer
	var sending sync.WaitGroup
	for i := range answers {
		sending.Go(func() { answers[i] = caller.Send(t.Context(), fmt.Sprintf("visit %d", i)) })
	}
	eventually(t, "bookings are at the applications", s.bookingsRun)
	s.stop(leaving)
	sending.Wait()
	for _, answer := range answers {
		if answer.Outcome != api.OutcomeCompleted && answer.Outcome != api.OutcomeRefused {
			t.Errorf("a booking got %s: %v", answer.Outcome, answer.Err)
		}
	}
	// It told the others, though its leases could not be given up.
	rows, err := s.show(staying, "SHOW nodes WHERE name = "+leaving)
	if err != nil || len(rows) != 1 || rows[0]["state"] != "left" {
		t.Errorf("%s as %s sees it: %v, %v", leaving, staying, rows, err)
	}
	s.judge(history.PromisePlannedStop, history.PromiseAtMostOnce, history.PromiseRightAnswer)
}

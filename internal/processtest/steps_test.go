package processtest

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"testing"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
)

// samplePromises are those that each delivered sample is judged by.
var samplePromises = []history.Promise{
	history.PromiseTrueVersions,
	history.PromiseVersionBound,
	history.PromiseExactlyOnce,
}

func TestStepLiveRequestsAndBookings(t *testing.T) {
	t.Parallel()
	s := startSystem(t, "")
	s.createPools("n1", nil)
	stopPreviews := s.traffic(s.newCaller("preview", 3, "n2"), 40)
	stopBookings := s.traffic(s.newCaller("booking", 3, "n3"), 20)
	trainer := s.newTrainer(s.users)
	s.publish(trainer, 2)
	s.runStep(trainer, 1)
	previews, bookings := stopPreviews(), stopBookings()
	if previews.Completed != previews.Total() || bookings.Completed != bookings.Total() || bookings.Total() == 0 {
		t.Errorf("without a fault all requests complete: previews %+v, bookings %+v", previews.Counts, bookings.Counts)
	}
	s.judge(append(samplePromises, history.PromiseRightAnswer, history.PromiseAtMostOnce,
		history.PromisePlannedStop, history.PromiseConfiguration)...)
}

// ownership says who owns a step.
type ownership struct {
	node  string
	epoch int64
}

// stepOwner returns the owner of the only step, as the asked node tells. It
// fails the test where there is none; it may be called by any goroutine.
func (s *system) stepOwner(ask string) ownership {
	rows, err := s.show(ask, "SHOW steps WHERE state = running")
	if err != nil || len(rows) != 1 {
		s.t.Errorf("running steps: %v, %v", rows, err)
		return ownership{}
	}
	epoch, err := strconv.ParseInt(rows[0]["epoch"], 10, 64)
	if err != nil {
		s.t.Errorf("epoch of the step: %v", err)
	}
	return ownership{rows[0]["owner"], epoch}
}

// Samples of the step after which a test acts: some are delivered, others are
// not even committed.
const (
	earlyInStep = 10
	laterInStep = 30
)

func TestStepOwnerIsKilled(t *testing.T) {
	t.Parallel()
	s := startSystem(t, "")
	s.createPools("n2", nil)
	var former ownership
	sink := newTriggerSink(s.users, history.KindSampleDelivered, map[int64]func(){
		earlyInStep: func() {
			former = s.stepOwner("n3")
			s.kill(former.node)
		},
	})
	trainer := s.newTrainer(sink, "n1")
	s.publish(trainer, 2)
	s.runStep(trainer, 1)
	if former.node != "n1" {
		t.Errorf("the step was owned by %q, not by the node it was posted to", former.node)
	}
	s.publish(trainer, 3)
	s.runStep(trainer, 2)
	s.judge(append(samplePromises, history.PromiseConfiguration)...)
}

func TestStepOwnerIsPausedPastItsLease(t *testing.T) {
	t.Parallel()
	s := startSystem(t, "")
	s.createPools("n2", nil)
	var former, next ownership
	var late error
	sink := newTriggerSink(s.users, history.KindSampleDelivered, map[int64]func(){
		earlyInStep: func() {
			former = s.stepOwner("n3")
			s.pause("n1")
		},
		// By then another node took the step over and delivered.
		laterInStep: func() {
			next = s.stepOwner("n3")
			s.resume("n1")
			late = s.pullFrom("n1", 1, former.epoch)
		},
	})
	trainer := s.newTrainer(sink, "n1")
	s.publish(trainer, 2)
	s.runStep(trainer, 1)
	if former.node != "n1" || next.node == "n1" || next.epoch <= former.epoch {
		t.Errorf("owner %+v, after the takeover %+v", former, next)
	}
	if late != nil {
		t.Errorf("pull from the former owner: %v", late)
	}
	s.publish(trainer, 3)
	s.runStep(trainer, 2)
	s.judge(append(samplePromises, history.PromiseConfiguration)...)
}

// pullFrom pulls a step from its beginning at one node, as a trainer that missed
// the takeover would, and wants no sample under the former epoch.
func (s *system) pullFrom(node string, step int64, formerEpoch int64) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), clientTimeout)
	defer cancel()
	path := fmt.Sprintf("/v1/trainers/%s/steps/%d/samples?cursor=0&version=2&limit=8&wait_ms=100", url.PathEscape(trainerName), step)
	var answer api.PullResponse
	err := s.call(ctx, s.nodes[node].caller+path, &answer)
	var refusal *api.Error
	switch {
	case errors.As(err, &refusal):
		return nil
	case err != nil:
		return err
	case len(answer.Samples) > 0 && answer.Epoch <= formerEpoch:
		return fmt.Errorf("%d samples under epoch %d, the former owner's was %d", len(answer.Samples), answer.Epoch, formerEpoch)
	}
	return nil
}

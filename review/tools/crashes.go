package main

import (
	"fmt"
	"os"
	"time"
)

// The step of runCrashes: as in the small deployments, a trainer waits for 90% of its groups
// and for 12 s. A long item has less than the most events that their sheets name.
const (
	samplers     = 6
	groups       = 5
	groupSize    = 4
	shortEvents  = 17
	longEvents   = 110
	stepDeadline = 12 * time.Second
	contact      = 3 * time.Second
	leftLying    = 5 * time.Second
	// crashes is how many samplers crash, the first firstCrash after the step was sent, the
	// others crashEvery later, and each is down for downFor.
	crashes    = 4
	firstCrash = 900 * time.Millisecond
	crashEvery = 700 * time.Millisecond
	downFor    = 300 * time.Millisecond
)

// runCrashes submits one step and crashes, four times 0.7 s apart, the one sampler of six that
// runs its longest item. It judges whether the step times out while that item is at no sampler.
func runCrashes([]string) int {
	s, err := newSystem()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	if err := s.prepare(samplers, 3); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	job := lot{Step: 0, Model: "model", MinVersion: 1, Desired: groups}
	for i := range groups * groupSize {
		events := shortEvents
		if i == 0 {
			events = longEvents
		}
		job.Items = append(job.Items, newItem(fmt.Sprintf("item%02d", i), fmt.Sprintf("group%d", i/groupSize), events))
	}
	long := job.Items[0].ID
	if err := s.submit("step0", job); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	submitted := time.Now()
	done := make(chan time.Time, 1)
	go func() { done <- s.crashUnder(long, submitted) }()
	listed, whole := s.follow("step0", submitted.Add(stepDeadline))
	lastCrash := <-done
	return s.judgeCrashes(long, listed, whole, submitted, lastCrash)
}

// prepare starts samplers and gateways and writes the configuration.
func (s *system) prepare(samplers, gateways int, flags ...string) error {
	for range samplers {
		if _, err := s.addSampler("", flags...); err != nil {
			return err
		}
	}
	if err := s.operator("config", configuration()); err != nil {
		return err
	}
	for range gateways {
		if err := s.addGateway(); err != nil {
			return err
		}
	}
	// Traffic of the deployments starts 10 s after the machines do.
	time.Sleep(4 * time.Second)
	return nil
}

// at returns the sampler that runs an item now, nil if none does.
func (s *system) at(item string) *samplerProcess {
	var found *samplerProcess
	for _, run := range s.runs() {
		switch {
		case run.ID != item:
		case run.What == "begin":
			found = s.samplers[run.Sampler]
		case found != nil && found.id == run.Sampler:
			found = nil
		}
	}
	return found
}

// crashUnder crashes the sampler that runs an item, again and again, and starts a new
// incarnation of it each time. It returns when the last one was back.
func (s *system) crashUnder(item string, submitted time.Time) time.Time {
	last := submitted
	for n := range crashes {
		time.Sleep(time.Until(submitted.Add(firstCrash + time.Duration(n)*crashEvery)))
		if os.Getenv("TROUBLE") == "0" {
			continue
		}
		struck := s.at(item)
		if struck == nil {
			s.note("%s runs nowhere", item)
			continue
		}
		s.note("sampler %s, which runs %s, crashes (SIGKILL)", struck.id, item)
		s.kill(struck.process)
		delete(s.samplers, struck.id)
		time.Sleep(downFor)
		if _, err := s.addSampler(struck.address); err != nil {
			s.note("restart: %v", err)
		}
		last = time.Now()
	}
	return last
}

func (s *system) judgeCrashes(long string, listed map[string]result, whole bool, submitted, lastCrash time.Time) int {
	ended := time.Now()
	lastAt := submitted
	for _, run := range s.runs() {
		if run.ID == long {
			s.note("run of %s at %s: %s after event %d, at %.3f s of the step", long, run.Sampler, run.What, run.Made, float64(run.At-submitted.UnixMilli())/1000)
		}
	}
	if whole {
		s.note("held: all %d items were listed %.1f s after the step was sent", len(listed), ended.Sub(submitted).Seconds())
		return exitHeld
	}
	steady := lastCrash.Add(contact)
	for _, run := range s.runs() {
		if at := time.UnixMilli(run.At); run.ID == long && at.After(lastAt) && at.Before(submitted.Add(stepDeadline)) {
			lastAt = at
		}
	}
	if lastAt.After(steady) {
		steady = lastAt
	}
	lying := submitted.Add(stepDeadline).Sub(steady)
	s.note("%d of %d items listed; %s was at no sampler for the last %.1f s of steady state", len(listed), groups*groupSize, long, lying.Seconds())
	if _, found := listed[long]; !found && lying >= leftLying {
		s.note("BROKEN: LOST: the step timed out while an item was at no sampler for 5 s of steady state")
		return exitBroken
	}
	s.note("the step timed out for another reason")
	return exitFailed
}

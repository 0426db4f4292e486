package main

import (
	"fmt"
	"os"
	"time"
)

const (
	// soundSamplers stand beside the grey one: one of seven is grey.
	soundSamplers   = 6
	slotsOfAll      = 12 * (soundSamplers + 1)
	surplusEvents   = 60
	surplusDeadline = 10 * time.Second
	maxAttempts     = 3
	maxQueue        = 40 * time.Second
)

// runSurplus submits a job that takes all slots. It judges whether an item is given up as dead
// before it was answered with 500 so often as the route's maxAttempts says.
func runSurplus([]string) int {
	s, err := newSystem()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	if err := s.addGrey(os.Getenv("TROUBLE") != "0"); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	if err := s.prepare(soundSamplers, 2); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	job := lot{Step: 0, Model: "model", MinVersion: 1, Desired: slotsOfAll / groupSize}
	for i := range slotsOfAll {
		job.Items = append(job.Items, newItem(fmt.Sprintf("item%02d", i), fmt.Sprintf("group%d", i/groupSize), surplusEvents))
	}
	submitted := time.Now()
	if err := s.submit("job0", job); err != nil {
		s.note("could not run: %v", err)
		return exitFailed
	}
	listed, _ := s.follow("job0", submitted.Add(surplusDeadline))
	return s.judgeSurplus(listed, time.Since(submitted))
}

// addGrey starts the grey sampler.
func (s *system) addGrey(trouble bool) error {
	address := freeAddress()
	_, err := s.start("grey", os.Args[0], "grey", "--id", "i-grey", "--address", address, "--store", s.store, "--record", s.runsFile(), fmt.Sprintf("--trouble=%t", trouble))
	s.note("sampler i-grey starts at %s, trouble %t", address, trouble)
	return err
}

func (s *system) judgeSurplus(listed map[string]result, took time.Duration) int {
	failures, victim := make(map[string]int), ""
	for _, run := range s.runs() {
		if run.What == "answers 500" {
			failures[run.ID]++
			victim = run.ID
		}
	}
	for _, run := range s.runs() {
		if victim != "" && run.ID == victim {
			s.note("%s at %s: %s, behind event %d, %d made (%d ms)", run.ID, run.Sampler, run.What, run.After, run.Made, run.At-s.began.UnixMilli())
		}
	}
	broken := false
	for id, r := range listed {
		if r.State != "dead" {
			continue
		}
		s.note("%s is listed as dead after %d answers of 500", id, failures[id])
		broken = broken || failures[id] < maxAttempts && took < maxQueue
	}
	s.note("%d of %d items listed after %.1f s", len(listed), slotsOfAll, took.Seconds())
	if broken {
		s.note("BROKEN: MIXED: an item is dead before a 422, before %d answers of 500 and before maxQueueS", maxAttempts)
		return exitBroken
	}
	if len(listed) < slotsOfAll {
		return exitFailed
	}
	s.note("held")
	return exitHeld
}

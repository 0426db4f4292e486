package experiment

import (
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/rollout"
	"github.com/sliplift/sliplift/internal/settings"
)

// learntGroups bounds the groups of prompts whose lengths are learnt.
const learntGroups = 1 << 16

// trainer asks for steps, trains on them and publishes versions.
type trainer struct {
	sim    *simulation
	index  int
	config settings.ExperimentTrainer
	router *router
	// lengths learns from the samples that end.
	lengths *rollout.LengthEstimator
	// version is the trainer's own.
	version int64
	// current is the step that it needs or trains on, counted from 1.
	current int
	posted  int
	steps   map[int]*step
	// waitingSince is when it became idle; waiting says that it is.
	waitingSince time.Duration
	waiting      bool
	idle         time.Duration
	finishedAt   time.Duration
	done         bool
	// generation is how long the last step's samples took, trainEnds when the
	// trainer is done with the step that it trains on.
	generation time.Duration
	trainEnds  time.Duration
}

func (s *simulation) newTrainer(index int) *trainer {
	t := &trainer{sim: s, index: index, config: s.scenario.Trainers[index], version: firstVersion, steps: map[int]*step{}}
	t.router = s.routerFor(index%s.scenario.Zones, 0)
	t.lengths = rollout.NewLengthEstimator(learntGroups)
	s.at(0, func() {
		t.post(max(1, t.config.Ahead))
		t.need(1)
	})
	return t
}

// post posts the steps up to last.
func (t *trainer) post(last int) {
	for t.posted < min(last, t.sim.scenario.Steps) {
		t.posted++
		number := t.posted
		posted := t.newStep(number)
		t.steps[number] = posted
		t.sim.after(t.sim.scenario.CallerLatency, posted.begin)
	}
}

// need makes the trainer wait for a step's samples.
func (t *trainer) need(number int) {
	t.current = number
	t.post(number)
	t.waiting = true
	t.waitingSince = t.sim.now
	for later := number + 1; later <= t.posted; later++ {
		t.sim.after(t.sim.scenario.CallerLatency, t.steps[later].begin)
	}
	needed := t.steps[number]
	t.sim.after(t.sim.scenario.CallerLatency, needed.ask)
}

// take gets the last samples of the step it waits for.
func (t *trainer) take() {
	t.idle += t.sim.now - t.waitingSince
	t.waiting = false
	delete(t.steps, t.current)
	t.post(t.current + t.config.Ahead)
	t.trainEnds = t.sim.now + t.config.Train
	t.sim.after(t.config.Train, t.trained)
}

// trained publishes a version and goes on with the next step.
func (t *trainer) trained() {
	if t.sim.scenario.WeightInterval == 0 {
		t.sim.publish(t)
	}
	if t.current < t.sim.scenario.Steps {
		t.need(t.current + 1)
		return
	}
	t.done = true
	t.finishedAt = t.sim.now
}

// setVersion tells the trainer's steps, in order, of a version.
func (t *trainer) setVersion(version int64) {
	t.version = version
	for number := t.current; number <= t.posted; number++ {
		if open := t.steps[number]; open != nil {
			open.setVersion(version)
		}
	}
}

// expectVersion tells the steps that the trainer does not ask for yet that it
// will have a version above that one when it does.
func (t *trainer) expectVersion(version int64) {
	for number := t.current; number <= t.posted; number++ {
		open := t.steps[number]
		if open != nil && !open.asked {
			open.setVersion(version)
		}
	}
}

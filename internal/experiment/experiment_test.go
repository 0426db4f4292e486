package experiment

import (
	"bytes"
	"path/filepath"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/settings"
)

// small returns a scenario of a few seconds of processor time with all kinds of
// faults.
func small(t *testing.T) *settings.Experiment {
	t.Helper()
	scenario := &settings.Experiment{}
	if err := settings.LoadFile("testdata/small.ini", scenario); err != nil {
		t.Fatal(err)
	}
	return scenario
}

// TestRun plays every policy of a small scenario with faults: the bound of no
// sample is passed, every sample is delivered, no policy idles less than the
// lower bound, and the same seed gives the same bytes.
func TestRun(t *testing.T) {
	scenario := small(t)
	for i := range scenario.Policies {
		policy := &scenario.Policies[i]
		t.Run(policy.Name, func(t *testing.T) {
			t.Parallel()
			first := Run(scenario, policy, 1)
			wanted := 0
			for _, trainer := range scenario.Trainers {
				wanted += scenario.Steps * trainer.Prompts * trainer.Samples
			}
			if first.Samples != int64(wanted) {
				t.Errorf("%d samples delivered of %d", first.Samples, wanted)
			}
			if first.BoundBreaches != 0 {
				t.Errorf("%d samples passed their bound", first.BoundBreaches)
			}
			if first.IdleSeconds < first.LowerBoundSeconds || first.LowerBoundSeconds <= 0 {
				t.Errorf("idle %.1f s, lower bound %.1f s", first.IdleSeconds, first.LowerBoundSeconds)
			}
			if first.BrokenStreams == 0 {
				t.Error("the faults did no harm")
			}
			var one, two bytes.Buffer
			_ = Write(&one, first)
			_ = Write(&two, Run(scenario, policy, 1))
			if one.String() != two.String() {
				t.Errorf("two runs differ:\n%s%s", one.String(), two.String())
			}
		})
	}
}

// TestScenarios checks that the scenarios which the pages name are accepted.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../examples/experiments/*.ini")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		if err := settings.LoadFile(path, &settings.Experiment{}); err != nil {
			t.Errorf("%s:\n%v", path, err)
		}
	}
}

// TestEngineClock checks that an engine's own time runs on over changes of its
// speed and that waking at a time is never too early.
func TestEngineClock(t *testing.T) {
	clock := engineClock{factor: 1}
	clock.setFactor(10*time.Second, 4)
	if local := clock.local(18 * time.Second); local != 12*time.Second {
		t.Errorf("local %s", local)
	}
	if at := clock.global(12 * time.Second); clock.local(at) < 12*time.Second || at > 18*time.Second+time.Millisecond {
		t.Errorf("global %s", at)
	}
	clock.setFactor(18*time.Second, 1)
	if local := clock.local(20 * time.Second); local != 14*time.Second {
		t.Errorf("local %s after the end", local)
	}
}

package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/api"
)

// TestTailStories asks the planners. Commands: engine and sample make the
// snapshot that moves is asked for; step makes the demands that shares is.
func TestTailStories(t *testing.T) {
	datadriven.Walk(t, "testdata/tail", func(t *testing.T, path string) {
		config := TailConfig{MinimumGain: 3, Settle: time.Second, MaxMoves: 10}
		var engines []EngineLoad
		var samples []RunningSample
		var steps []StepDemand
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			switch d.Cmd {
			case "engine":
				engine := EngineLoad{Slots: 16, Closed: d.HasArg("closed")}
				d.ScanArgs(t, "name", &engine.Name)
				d.ScanArgs(t, "streams", &engine.Streams)
				d.MaybeScanArgs(t, "slots", &engine.Slots)
				d.MaybeScanArgs(t, "version", &engine.Version)
				engines = append(engines, engine)
			case "sample":
				sample := RunningSample{Since: time.Minute}
				d.ScanArgs(t, "id", &sample.ID)
				d.ScanArgs(t, "engine", &sample.Engine)
				d.ScanArgs(t, "tokens", &sample.Tokens)
				d.MaybeScanArgs(t, "min_version", &sample.MinVersion)
				if d.HasArg("fresh") {
					sample.Since = 0
				}
				samples = append(samples, sample)
			case "moves":
				for _, move := range PlanMoves(config, samples, engines) {
					fmt.Fprintf(&out, "%s from %s to %s\n", move.ID, move.From, move.To)
				}
			case "step":
				demand := StepDemand{Awaited: d.HasArg("awaited")}
				var needed int
				d.ScanArgs(t, "trainer", &demand.Trainer)
				d.ScanArgs(t, "samples", &demand.Samples)
				d.ScanArgs(t, "needed", &needed)
				demand.NeededAt = time.Duration(needed) * time.Second
				steps = append(steps, demand)
			case "shares":
				var slots int
				d.ScanArgs(t, "slots", &slots)
				for i, share := range PlanShares(slots, steps) {
					fmt.Fprintf(&out, "%s %d\n", steps[i].Trainer, share)
				}
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return out.String()
		})
	})
}

func TestStartDelay(t *testing.T) {
	const needed, generation = 100 * time.Second, 40 * time.Second
	var delays []time.Duration
	for _, idleWeight := range []float64{0, 0.5, 1} {
		delays = append(delays, StartDelay(idleWeight, needed, generation))
	}
	if want := []time.Duration{100 * time.Second, 75 * time.Second, 50 * time.Second}; !slices.Equal(delays, want) {
		t.Errorf("%v, want %v", delays, want)
	}
	if delay := StartDelay(1, needed, 5*needed); delay != 0 {
		t.Errorf("delay %s though the samples take longer than is left", delay)
	}
}

func TestStartVersion(t *testing.T) {
	// The next step may begin with the newest version under a bound of 1; the
	// one after it has to wait for another version.
	if next, after := StartVersion(7, 1, 1), StartVersion(7, 2, 1); next != 7 || after != 8 {
		t.Errorf("versions %d and %d", next, after)
	}
}

func TestLengthEstimator(t *testing.T) {
	lengths := NewLengthEstimator(1)
	if expected := lengths.Expected(1); expected != 0 {
		t.Errorf("%.0f expected of nothing", expected)
	}
	lengths.Observe(1, 100)
	lengths.Observe(1, 300)
	lengths.Observe(2, 800)
	if one, other := lengths.Expected(1), lengths.Expected(2); one != 200 || other != 400 {
		t.Errorf("expected %.0f of a known group and %.0f of one beyond the limit", one, other)
	}
}

// TestLongestSamplesStartFirst has the lengths of one step order the next one.
func TestLongestSamplesStartFirst(t *testing.T) {
	book := newLengthBook(func(prompt string) uint64 { return uint64(prompt[0]) })
	spec := api.StepRequest{Pool: "titles", Prompts: []string{"short", "long", "middle"}, SamplesPerPrompt: 2}
	if order := book.order(spec); order != nil {
		t.Errorf("nothing was learnt, and the order is %v", order)
	}
	for prompt, tokens := range map[string]int{"short": 10, "long": 900, "middle": 50} {
		book.observe("titles", prompt, tokens)
	}
	ledger := NewLedger(LedgerConfig{Samples: 6, Epoch: 1, Concurrency: 3, BatchLimit: 6, Order: book.order(spec)})
	var started []int
	for _, attempt := range ledger.Next(time.Unix(0, 0)) {
		started = append(started, attempt.Index)
	}
	if want := []int{2, 3, 4}; !slices.Equal(started, want) {
		t.Errorf("started %v, want %v", started, want)
	}
}

package cli

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/load"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
	"github.com/sliplift/sliplift/internal/telemetry"
)

// Targets of the subcommand load.
const (
	targetNode    = "node"
	targetEngine  = "engine"
	targetTrainer = "trainer"
)

type loadCommand struct {
	outputFlag
	Target         string        `long:"target" default:"node" choice:"node" choice:"engine" choice:"trainer" description:"send live requests to a node or to an engine itself, or act as a trainer"`
	Nodes          []load.Node   `long:"node" short:"n" default:"n1=127.0.0.1:7000" value-name:"[NAME=]IP:PORT" description:"caller address of a node, with its name for the history; repeat it for those to fall over to"`
	Engine         address       `long:"engine" value-name:"IP:PORT" description:"address of the engine, for --target engine"`
	BaselineEngine address       `long:"baseline-engine" value-name:"IP:PORT" description:"also call this engine itself, in turns with the node, and print what the node adds"`
	Caller         string        `long:"caller" default:"load" description:"name under which requests are sent"`
	Pool           string        `long:"pool" required:"yes" description:"pool that is asked"`
	Booking        bool          `long:"booking" description:"send requests that must not run twice, each with an idempotency key"`
	Priority       int           `long:"priority" default:"0" description:"priority of live requests, from 0 (first) to 20"`
	Concurrency    int           `long:"concurrency" default:"8" description:"requests in flight; the upper limit with --rate"`
	Rate           float64       `long:"rate" default:"0" description:"requests begun a second; 0 begins one when another ends"`
	Duration       time.Duration `long:"duration" default:"10s" description:"time of the run"`
	Requests       int64         `long:"requests" default:"0" description:"end after so many requests; 0 is no limit"`
	Deadline       time.Duration `long:"deadline" default:"10s" description:"deadline of a request"`
	Attempts       int           `long:"attempts" default:"1" description:"most sendings of one request"`
	MaxTokens      int           `long:"max-tokens" default:"16" description:"longest answer in tokens"`
	HistoryFile    string        `long:"history-file" value-name:"FILE" description:"append what was sent and received, for check-history"`
	Trainer        trainerFlags  `group:"Trainer (--target trainer)"`
}

type trainerFlags struct {
	WeightsAddress address `long:"weights-address" default:"127.0.0.1:7303" value-name:"IP:PORT" description:"weight store that versions are published to"`
	Model          string  `long:"model" default:"language" description:"model of the published versions, as the pool names it"`
	Steps          int64   `long:"steps" default:"2" description:"number of steps"`
	FirstStep      int64   `long:"first-step" default:"1" description:"number of the first step; a trainer's steps are posted once"`
	Prompts        int     `long:"prompts" default:"16" description:"prompts of a step"`
	Samples        int     `long:"samples" default:"4" description:"samples per prompt"`
	VersionBound   int64   `long:"version-bound" default:"1" description:"versions that a sample may be behind the trainer"`
	FirstVersion   int64   `long:"first-version" default:"1" description:"version of the weights at the first step; each step publishes the next"`
}

func loadSpecification() specification {
	return specification{
		name:  "load",
		short: "send load and measure it",
		long:  "Sends live requests in a closed loop (or an open one with --rate) and prints throughput and latencies, or acts as a trainer and prints the time of each step. With --baseline-engine it measures what a node adds against calling an engine itself, in the same run.",
		examples: []string{
			"sliplift load --pool titles --duration 10s",
			"sliplift load --pool titles --baseline-engine 127.0.0.1:7101 --output json",
			"sliplift load --pool booking --booking --attempts 3 --node n1=127.0.0.1:7000 --node n2=127.0.0.1:7010",
			"sliplift load --target trainer --caller titles-trainer --pool titles --steps 3",
		},
		command: &loadCommand{},
	}
}

func (c *loadCommand) run(ctx context.Context, env *Environment) error {
	if err := c.check(); err != nil {
		return err
	}
	lg, err := telemetry.NewLogger("warning", telemetry.FormatText, env.Stderr)
	if err != nil {
		return err
	}
	sink, closeSink, err := telemetry.OpenHistory(lg, c.HistoryFile)
	if err != nil {
		return errUsage.Errorf("--history-file: %w", err)
	}
	defer closeSink()
	if c.Target == targetTrainer {
		return c.runTrainer(ctx, env, lg, sink)
	}
	return c.runCaller(ctx, env, sink)
}

func (c *loadCommand) check() error {
	switch {
	case c.Pool == "":
		return errUsage.Errorf("--pool must not be empty")
	case c.Target == targetEngine && c.Engine == "":
		return errUsage.Errorf("--target engine needs --engine")
	case c.BaselineEngine != "" && c.Target != targetNode:
		return errUsage.Errorf("--baseline-engine goes with --target node")
	case c.BaselineEngine != "" && c.Duration < load.MinimumComparison:
		return errUsage.Errorf("--duration must be at least %s with --baseline-engine", load.MinimumComparison)
	case c.Priority < int(api.PriorityLive) || c.Priority > int(api.PriorityLowest):
		return errUsage.Errorf("--priority must be from %d to %d", api.PriorityLive, api.PriorityLowest)
	}
	return c.checkLeast()
}

// checkLeast refuses numbers and durations with which nothing would be sent.
func (c *loadCommand) checkLeast() error {
	for _, flag := range []struct {
		name         string
		value, least int64
	}{
		{"concurrency", int64(c.Concurrency), 1},
		{"requests", c.Requests, 0},
		{"attempts", int64(c.Attempts), 1},
		{"max-tokens", int64(c.MaxTokens), 1},
		{"steps", c.Trainer.Steps, 1},
		{"prompts", int64(c.Trainer.Prompts), 1},
		{"samples", int64(c.Trainer.Samples), 1},
		{"version-bound", c.Trainer.VersionBound, 0},
	} {
		if flag.value < flag.least {
			return errUsage.Errorf("--%s must be at least %d", flag.name, flag.least)
		}
	}
	switch {
	case c.Duration <= 0:
		return errUsage.Errorf("--duration must be longer than 0s")
	case c.Deadline < time.Millisecond:
		return errUsage.Errorf("--deadline must be at least 1ms")
	case c.Rate < 0:
		return errUsage.Errorf("--rate must not be negative")
	}
	return nil
}

func (c *loadCommand) runCaller(ctx context.Context, env *Environment, sink history.Sink) error {
	cfg := load.CallerConfig{
		Name:       c.Caller,
		Nodes:      c.Nodes,
		Pool:       c.Pool,
		Priority:   api.Priority(c.Priority),
		Deadline:   c.Deadline,
		Repeatable: !c.Booking,
		MaxTokens:  c.MaxTokens,
		Attempts:   c.Attempts,
	}
	run := load.RunConfig{Concurrency: c.Concurrency, Rate: c.Rate, Duration: c.Duration, Requests: c.Requests}
	prompt := func(number int64) string { return fmt.Sprintf("%s request %d", c.Caller, number) }
	progress := newProgress(env)
	progress.show(fmt.Sprintf("running for %s", c.Duration))
	defer progress.done()
	var failures lastError
	throughNode := failures.watch(load.NewCaller(cfg, env.HTTPClient, sink), prompt)
	if c.BaselineEngine != "" {
		direct := load.Direct(env.HTTPClient, string(c.BaselineEngine), cfg, prompt)
		comparison := load.Compare(ctx, run, throughNode, direct)
		progress.done()
		failures.print(env)
		return c.finish(env, comparison, comparisonLines(comparison), comparison.Node, comparison.Direct)
	}
	sender := throughNode
	if c.Target == targetEngine {
		sender = load.Direct(env.HTTPClient, string(c.Engine), cfg, prompt)
	}
	report := load.NewRunner(run, sender).Run(ctx).Report(c.Target)
	progress.done()
	failures.print(env)
	return c.finish(env, report, reportLines(report), report)
}

// lastError keeps why a request did not complete: without it a run at a wrong
// address shows numbers and no reason.
type lastError struct{ err atomic.Pointer[error] }

// watch returns a sender through the caller's nodes that keeps its last error.
func (l *lastError) watch(caller *load.Caller, prompt func(number int64) string) load.Sender {
	return func(ctx context.Context, number int64) api.Outcome {
		answer := caller.Send(ctx, prompt(number))
		if answer.Err != nil {
			l.err.Store(&answer.Err)
		}
		return answer.Outcome
	}
}

func (l *lastError) print(env *Environment) {
	if last := l.err.Load(); last != nil {
		fmt.Fprintf(env.Stderr, "%s: the last request that did not complete: %v\n", Program, *last)
	}
}

// finish prints the results; the answer is no if nothing completed at one of
// the targets.
func (c *loadCommand) finish(env *Environment, value any, lines [][]string, reports ...load.Report) error {
	if err := c.print(env.Stdout, value, func() [][]string { return lines }); err != nil {
		return err
	}
	for _, report := range reports {
		if report.Completed == 0 {
			return errNo
		}
	}
	return nil
}

func reportLines(reports ...load.Report) [][]string {
	lines := [][]string{{"target", "completed", "refused", "failed", "unknown", "per second", "mean", "p50", "p90", "p99", "max"}}
	for _, r := range reports {
		lines = append(lines, []string{
			r.Target, formatInt(r.Completed), formatInt(r.Refused), formatInt(r.Failed), formatInt(r.Unknown),
			strconv.FormatFloat(r.PerSecond, 'f', 1, 64),
			formatMS(r.MeanMS), formatMS(r.P50MS), formatMS(r.P90MS), formatMS(r.P99MS), formatMS(r.MaxMS),
		})
	}
	return lines
}

func comparisonLines(c load.Comparison) [][]string {
	return append(reportLines(c.Node, c.Direct),
		[]string{"added at p50", formatMS(c.AddedP50MS)},
		[]string{"added at p99", formatMS(c.AddedP99MS)},
		[]string{"throughput", strconv.FormatFloat(c.ThroughputRatio, 'f', 3, 64) + " of direct"},
	)
}

func formatInt(value int64) string { return strconv.FormatInt(value, 10) }

// stepReport is what one step of a trainer measured.
type stepReport struct {
	Step         int64   `json:"step"`
	Version      int64   `json:"version"`
	Samples      int     `json:"samples"`
	FirstSeconds float64 `json:"first_sample_seconds"`
	LastSeconds  float64 `json:"last_sample_seconds"`
	OldestLag    int64   `json:"oldest_lag"`
	MeanLag      float64 `json:"mean_lag"`
}

func (c *loadCommand) runTrainer(ctx context.Context, env *Environment, lg *logrus.Logger, sink history.Sink) error {
	flags := c.Trainer
	weights := storeclient.NewClient(env.HTTPClient, storeclient.Addresses{Weights: string(flags.WeightsAddress)})
	trainer := load.NewTrainer(lg, load.TrainerConfig{
		Name: c.Caller, Nodes: c.Nodes, Pool: c.Pool, Model: flags.Model,
		Version: flags.FirstVersion, VersionBound: flags.VersionBound,
		SamplesPerPrompt: flags.Samples, MaxTokens: c.MaxTokens,
	}, env.HTTPClient, weights, sink)
	progress := newProgress(env)
	defer progress.done()
	var reports []stepReport
	for i := range flags.Steps {
		version := flags.FirstVersion + i
		progress.show(fmt.Sprintf("step %d of %d", i+1, flags.Steps))
		if _, err := trainer.Publish(ctx, version); err != nil {
			return err
		}
		batch, err := trainer.RunStep(ctx, flags.FirstStep+i, prompts(c.Caller, flags.FirstStep+i, flags.Prompts))
		if err != nil {
			return err
		}
		reports = append(reports, stepReport{
			Step: flags.FirstStep + i, Version: version, Samples: len(batch.Samples),
			FirstSeconds: batch.First.Seconds(), LastSeconds: batch.Last.Seconds(),
			OldestLag: batch.OldestLag, MeanLag: batch.MeanLag,
		})
	}
	progress.done()
	return c.print(env.Stdout, reports, func() [][]string { return stepLines(reports) })
}

func prompts(trainer string, step int64, count int) []string {
	texts := make([]string, count)
	for i := range texts {
		texts[i] = fmt.Sprintf("%s step %d prompt %d", trainer, step, i)
	}
	return texts
}

func stepLines(reports []stepReport) [][]string {
	lines := [][]string{{"step", "version", "samples", "first sample", "last sample", "most versions behind", "mean"}}
	for _, r := range reports {
		lines = append(lines, []string{
			formatInt(r.Step), formatInt(r.Version), strconv.Itoa(r.Samples), seconds(r.FirstSeconds), seconds(r.LastSeconds),
			formatInt(r.OldestLag), strconv.FormatFloat(r.MeanLag, 'f', 2, 64),
		})
	}
	return lines
}

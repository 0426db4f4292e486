package cli

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"strconv"
	"time"

	"github.com/sliplift/sliplift/internal/history"
)

// DemoOptions say what the demo runs.
type DemoOptions struct {
	Nodes   int
	Engines int
	Steps   int
	// HistoryFile keeps the event history; empty means that it is dropped after
	// it was checked.
	HistoryFile string
	// Progress is told what goes on; it may be called from any goroutine.
	Progress func(text string)
}

// DemoSummary is what the demo saw.
type DemoSummary struct {
	Nodes   int `json:"nodes"`
	Engines int `json:"engines"`
	Steps   int `json:"steps"`
	Samples int `json:"samples"`
	// StepSeconds is the mean time of a step, OldestLag the largest number of
	// versions that a sample was behind its trainer.
	StepSeconds float64 `json:"step_seconds"`
	OldestLag   int64   `json:"oldest_lag"`
	// Live and Bookings count requests that completed, Refused those of which
	// nothing ran.
	Live      int64   `json:"live_completed"`
	LiveP99MS float64 `json:"live_p99_ms"`
	Bookings  int64   `json:"bookings_completed"`
	Refused   int64   `json:"refused"`
	// History is the checker's verdict on every promise.
	History history.Report `json:"history"`
	Seconds float64        `json:"seconds"`
}

// DemoRunner runs nodes and stand-ins in one process, serves a trainer and live
// traffic, and checks the history.
type DemoRunner interface {
	RunDemo(ctx context.Context, options DemoOptions) (DemoSummary, error)
}

type demoCommand struct {
	outputFlag
	Nodes       int           `long:"nodes" default:"3" description:"number of nodes"`
	Engines     int           `long:"engines" default:"6" description:"number of stand-in engines"`
	Steps       int           `long:"steps" default:"3" description:"number of steps of the trainer"`
	HistoryFile string        `long:"history-file" value-name:"FILE" description:"keep the event history for check-history"`
	Timeout     time.Duration `long:"timeout" default:"1m" description:"give up after this time"`
}

func demoSpecification() specification {
	return specification{
		name:  "demo",
		short: "run a whole system in one process and check its history",
		long:  "Starts nodes and stand-ins for engines, applications and the platform in this process over loopback TCP, serves a trainer's steps, page views and bookings, and checks the event history against every promise. Exits with 1 if one is broken.",
		examples: []string{
			"sliplift demo",
			"sliplift demo --steps 5 --history-file demo.jsonl",
		},
		command: &demoCommand{},
	}
}

func (c *demoCommand) run(ctx context.Context, env *Environment) error {
	if c.Nodes < 1 || c.Engines < 1 || c.Steps < 1 {
		return errUsage.Errorf("--nodes, --engines and --steps must be at least 1")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	progress := newProgress(env)
	summary, err := env.Demo.RunDemo(ctx, DemoOptions{
		Nodes:       c.Nodes,
		Engines:     c.Engines,
		Steps:       c.Steps,
		HistoryFile: c.HistoryFile,
		Progress:    progress.show,
	})
	progress.done()
	if cannotOpen(err) {
		return errUsage.Errorf("--history-file: %w", err)
	}
	if err != nil {
		return err
	}
	if err := c.print(env.Stdout, summary, summary.lines); err != nil {
		return err
	}
	if c.Output != outputJSON {
		fmt.Fprintln(env.Stdout)
		if err := summary.History.WriteTable(env.Stdout); err != nil {
			return err
		}
	}
	if !summary.History.OK() {
		return errNo
	}
	return nil
}

// cannotOpen tells whether err says that a file cannot be opened.
func cannotOpen(err error) bool {
	var pathError *fs.PathError
	return errors.As(err, &pathError) && pathError.Op == "open"
}

func (s DemoSummary) lines() [][]string {
	return [][]string{
		{"nodes", strconv.Itoa(s.Nodes)},
		{"engines", strconv.Itoa(s.Engines)},
		{"steps", strconv.Itoa(s.Steps)},
		{"samples delivered", strconv.Itoa(s.Samples)},
		{"mean time of a step", seconds(s.StepSeconds)},
		{"most versions behind", strconv.FormatInt(s.OldestLag, 10)},
		{"live requests completed", strconv.FormatInt(s.Live, 10)},
		{"live latency, p99", formatMS(s.LiveP99MS)},
		{"bookings completed", strconv.FormatInt(s.Bookings, 10)},
		{"requests refused", strconv.FormatInt(s.Refused, 10)},
		{"events checked", strconv.Itoa(s.History.Events)},
		{"time", seconds(s.Seconds)},
	}
}

func seconds(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) + " s" }

func formatMS(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) + " ms" }

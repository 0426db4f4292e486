package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/migrate"
)

// planCommand groups the planned operations.
type planCommand struct {
	Migrate migrateCommand `command:"migrate" description:"move a pool from one site to another, in waves"`
}

// migrateCommand has its defaults from package migrate.
type migrateCommand struct {
	outputFlag
	Pool         string        `long:"pool" required:"yes" value-name:"POOL" description:"pool to move"`
	From         string        `long:"from" required:"yes" value-name:"SITE" description:"site that the move leaves"`
	To           string        `long:"to" required:"yes" value-name:"SITE" description:"site that the move goes to"`
	WaveShare    float64       `long:"wave-share" description:"share of a site's back ends that one step may change"`
	MinFree      float64       `long:"min-free" description:"share of the serving capacity that stays free after each wave"`
	Except       []string      `long:"except" value-name:"BACKEND" description:"back end that is left as it is; may be repeated"`
	MaxReportAge time.Duration `long:"max-report-age" description:"load reports from this age count as unknown"`
	Settle       time.Duration `long:"settle" description:"longest time that a step may take to show its effect"`
	Observe      time.Duration `long:"observe" description:"how long to observe the rate at which work finishes"`
	Apply        bool          `long:"apply" description:"carry the plan out after printing it"`
	Undo         bool          `long:"undo" description:"plan the way back from the present state"`
	Operator     string        `long:"operator" short:"n" default:"127.0.0.1:7001" value-name:"IP:PORT" description:"operator address of a node; any node answers for all"`
	Author       string        `long:"author" env:"USER" description:"name under which changes are logged"`
}

func planSpecification() specification {
	return specification{
		name:  "plan",
		short: "plan an operation of many steps, and carry it out",
		long:  "Prints the waves of an operation and their expected effect. Nothing is changed without --apply. Ctrl-C ends a run after the step under way; the same command goes on from there and --undo goes back.",
		examples: []string{
			"sliplift plan migrate --pool chat --from old --to new",
			"sliplift plan migrate --pool chat --from old --to new --apply",
			"sliplift plan migrate --pool chat --from old --to new --undo --apply",
		},
		command: &planCommand{Migrate: newMigrateCommand()},
	}
}

func newMigrateCommand() migrateCommand {
	options := migrate.DefaultOptions()
	return migrateCommand{
		WaveShare: options.WaveShare, MinFree: options.MinFree, MaxReportAge: options.MaxReportAge,
		Settle: migrate.DefaultSettle, Observe: migrate.DefaultObserve,
	}
}

func (c *planCommand) run(ctx context.Context, env *Environment) error {
	return c.Migrate.run(ctx, env)
}

func (c *migrateCommand) run(ctx context.Context, env *Environment) error {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	runner := migrate.NewRunner(logger, migrate.Config{
		Author: c.Author, Settle: c.Settle, Observe: c.Observe,
		Report: func(event migrate.Event) { c.showEvent(env.Stdout, event) },
	}, operator.NewClient(env.HTTPClient, c.Operator))
	plan, err := runner.Plan(ctx, c.options())
	if errors.Is(err, migrate.ErrOptions) {
		return errUsage.Wrap(err)
	}
	if err != nil {
		return err
	}
	if err := c.showPlan(env.Stdout, plan); err != nil {
		return err
	}
	if !plan.Complete {
		return errNo
	}
	if !c.Apply {
		return nil
	}
	outcome := runner.Apply(ctx, plan)
	c.showOutcome(env.Stdout, plan, outcome)
	if outcome.State != migrate.StateDone {
		return errNo
	}
	return nil
}

func (c *migrateCommand) options() migrate.Options {
	return migrate.Options{
		Pool: c.Pool, From: c.From, To: c.To, Undo: c.Undo, WaveShare: c.WaveShare, MinFree: c.MinFree,
		MaxReportAge: c.MaxReportAge, Except: c.Except,
	}
}

// migrateLine is one line of the output for programs; one field is set.
type migrateLine struct {
	Plan    *migrate.Plan    `json:"plan,omitempty"`
	Event   *migrate.Event   `json:"event,omitempty"`
	Outcome *migrate.Outcome `json:"outcome,omitempty"`
}

func (c *migrateCommand) json(w io.Writer, line migrateLine) error {
	return json.NewEncoder(w).Encode(line)
}

func (c *migrateCommand) showPlan(w io.Writer, plan migrate.Plan) error {
	if c.Output == outputJSON {
		return c.json(w, migrateLine{Plan: &plan})
	}
	if err := migrate.RenderPlan(w, plan); err != nil {
		return err
	}
	if !c.Apply || !plan.Complete {
		fmt.Fprintln(w, "nothing was changed")
	}
	return nil
}

// showEvent and showOutcome go on where the output fails: what the run does must
// not depend on who reads it.
func (c *migrateCommand) showEvent(w io.Writer, event migrate.Event) {
	if c.Output == outputJSON {
		_ = c.json(w, migrateLine{Event: &event})
		return
	}
	migrate.RenderEvent(w, event)
}

func (c *migrateCommand) showOutcome(w io.Writer, plan migrate.Plan, outcome migrate.Outcome) {
	if c.Output == outputJSON {
		_ = c.json(w, migrateLine{Outcome: &outcome})
		return
	}
	migrate.RenderOutcome(w, plan, outcome)
}

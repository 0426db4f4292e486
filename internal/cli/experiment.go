package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/experiment"
	"github.com/sliplift/sliplift/internal/settings"
)

// experimentCommand groups the subcommands of experiment.
type experimentCommand struct {
	Run    experimentRunCommand    `command:"run" description:"play a scenario in virtual time and write results"`
	Report experimentReportCommand `command:"report" description:"make a page of tables and plots from results"`
}

type experimentRunCommand struct {
	Results   string   `long:"results" short:"r" value-name:"FILE" description:"write the results there instead of to standard output"`
	Policies  []string `long:"policy" value-name:"NAME" description:"run only this policy of the scenario; repeat it for more"`
	Seeds     int      `long:"seeds" default:"0" description:"number of seeds; 0 takes the scenario's"`
	Parallel  int      `long:"parallel" default:"0" description:"runs at one time; 0 takes one for each processor"`
	Arguments struct {
		Scenario string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
	active bool
}

type experimentReportCommand struct {
	Folder    string `long:"folder" short:"f" default:"report" value-name:"FOLDER" description:"folder for the page and the plots"`
	Arguments struct {
		Results []string `positional-arg-name:"RESULT" required:"1"`
	} `positional-args:"yes" required:"yes"`
	active bool
}

// Execute notes that this subcommand was named; run follows.
func (c *experimentRunCommand) Execute([]string) error {
	c.active = true
	return nil
}

// Execute notes that this subcommand was named; run follows.
func (c *experimentReportCommand) Execute([]string) error {
	c.active = true
	return nil
}

func experimentSpecification() specification {
	return specification{
		name:  "experiment",
		short: "compare ways to route and schedule in virtual time",
		long:  "Plays a scenario with the product's own decision code against a model of the engines, in virtual time; equal seeds give equal results. Results are JSON lines, one for each policy and seed, of which report makes a page.",
		examples: []string{
			"sliplift experiment run examples/experiments/hysbys.ini --results hysbys.jsonl",
			"sliplift experiment report hysbys.jsonl noreste.jsonl --folder report",
		},
		command: &experimentCommand{},
	}
}

func (c *experimentCommand) run(ctx context.Context, env *Environment) error {
	if c.Report.active {
		return c.Report.run(env)
	}
	return c.Run.run(ctx, env)
}

func (c *experimentRunCommand) run(ctx context.Context, env *Environment) error {
	scenario, err := c.scenario()
	if err != nil {
		return err
	}
	output, closeOutput, err := c.output(env)
	if err != nil {
		return err
	}
	progress := newProgress(env)
	runErr := experiment.RunAll(ctx, scenario, c.parallel(), func(done, total int, result experiment.Result) error {
		progress.show(fmt.Sprintf("%d of %d runs", done, total))
		return experiment.Write(output, result)
	})
	progress.done()
	return errs.Combine(runErr, closeOutput())
}

func (c *experimentRunCommand) scenario() (*settings.Experiment, error) {
	scenario := &settings.Experiment{}
	if err := settings.LoadFile(c.Arguments.Scenario, scenario); err != nil {
		return nil, errUsage.Errorf("scenario refused:\n%v", err)
	}
	if c.Seeds > 0 {
		scenario.Seeds = c.Seeds
	}
	if len(c.Policies) == 0 {
		return scenario, nil
	}
	var chosen []settings.ExperimentPolicy
	for _, name := range c.Policies {
		policy, ok := scenario.Policy(name)
		if !ok {
			return nil, errUsage.Errorf("--policy %s: the scenario has no such policy", name)
		}
		chosen = append(chosen, policy)
	}
	scenario.Policies = chosen
	return scenario, nil
}

func (c *experimentRunCommand) output(env *Environment) (io.Writer, func() error, error) {
	if c.Results == "" {
		return env.Stdout, func() error { return nil }, nil
	}
	file, err := os.Create(c.Results)
	if err != nil {
		return nil, nil, errUsage.Wrap(err)
	}
	return file, file.Close, nil
}

func (c *experimentRunCommand) parallel() int {
	if c.Parallel > 0 {
		return c.Parallel
	}
	return runtime.GOMAXPROCS(0)
}

func (c *experimentReportCommand) run(env *Environment) error {
	var results []experiment.Result
	for _, path := range c.Arguments.Results {
		read, err := readResults(path)
		if err != nil {
			return errUsage.Wrap(err)
		}
		results = append(results, read...)
	}
	page, err := experiment.WriteReport(c.Folder, results)
	if err != nil {
		return err
	}
	fmt.Fprintln(env.Stdout, page)
	return nil
}

func readResults(path string) ([]experiment.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return experiment.Read(file)
}

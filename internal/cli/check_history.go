package cli

import (
	"context"
	"io"
	"strings"

	"github.com/sliplift/sliplift/internal/history"
)

type checkHistoryCommand struct {
	outputFlag
	Required  []int `long:"require" value-name:"PROMISE" description:"number of a promise that the history must have something to judge by; may be repeated"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

func checkHistorySpecification() specification {
	return specification{
		name:  "check-history",
		short: "judge an event history by every promise",
		long:  "Reads event histories (JSON lines), which are judged together, and prints a verdict on each promise with the events that break it. The answer is yes if at least one promise could be judged, none is broken, and each required one was judged.",
		examples: []string{
			"sliplift check-history truth.jsonl seen.jsonl",
			"sliplift check-history --require 3 --require 6 --output json demo.jsonl",
		},
		command: &checkHistoryCommand{},
	}
}

func (c *checkHistoryCommand) run(_ context.Context, env *Environment) error {
	required, err := c.required()
	if err != nil {
		return err
	}
	progress := newProgress(env)
	progress.show("reading " + strings.Join(c.Arguments.Files, ", "))
	report, err := history.CheckFiles(c.Arguments.Files...)
	progress.done()
	if err != nil {
		return errUsage.Wrap(err)
	}
	if err := c.write(env.Stdout, report); err != nil {
		return err
	}
	if !report.OK(required...) {
		return errNo
	}
	return nil
}

func (c *checkHistoryCommand) required() ([]history.Promise, error) {
	var promises []history.Promise
	for _, number := range c.Required {
		if number < 1 || number > history.PromiseCount {
			return nil, errUsage.Errorf("--require must be from 1 to %d", history.PromiseCount)
		}
		promises = append(promises, history.Promise(number))
	}
	return promises, nil
}

func (c *checkHistoryCommand) write(w io.Writer, report history.Report) error {
	if c.Output == outputJSON {
		return report.WriteJSON(w)
	}
	return report.WriteTable(w)
}

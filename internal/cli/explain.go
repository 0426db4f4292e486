package cli

import (
	"context"
	"os"

	"github.com/sliplift/sliplift/internal/explain"
)

type explainCommand struct {
	Files     []string `long:"log" short:"l" value-name:"FILE" required:"yes" description:"log of a node, or of several together; may be repeated"`
	Steps     bool     `long:"steps" description:"tell of all batch jobs where their time went; takes no id"`
	Arguments struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes"`
}

func explainSpecification() specification {
	return specification{
		name:  "explain",
		short: "tell the story of a request, item, batch job or back end from logs",
		long:  "Reads logs of gateway nodes (JSON lines) and prints, in order, the lines that name the id, what happened at the same time to the nodes, back ends and models that took part (marked |), and what is missing. The answer is yes if at least one line names the id. With --steps it prints a line for each batch job: when it was accepted, opened, its items begun, whole, scored and listed, in ms.",
		examples: []string{
			"sliplift explain --log n1.log --log n2.log 7c41e09b52d6a3f8",
			"sliplift explain --log n1.log --log n2.log --steps",
		},
		command: &explainCommand{},
	}
}

func (c *explainCommand) run(_ context.Context, env *Environment) error {
	if c.Steps == (c.Arguments.ID != "") {
		return errUsage.Errorf("either an id or --steps is needed")
	}
	log := &explain.Log{}
	for _, path := range c.Files {
		if err := readLog(log, path); err != nil {
			return errUsage.Wrap(err)
		}
	}
	if c.Steps {
		return explain.WriteSteps(env.Stdout, log.Steps())
	}
	story := log.Tell(c.Arguments.ID)
	if err := story.Write(env.Stdout); err != nil {
		return err
	}
	if len(story.Own) == 0 {
		return errNo
	}
	return nil
}

func readLog(log *explain.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return log.Read(file)
}

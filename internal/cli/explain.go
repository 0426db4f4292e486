package cli

import (
	"context"
	"os"

	"github.com/sliplift/sliplift/internal/explain"
)

type explainCommand struct {
	Files     []string `long:"log" short:"l" value-name:"FILE" required:"yes" description:"log of a node, or of several together; may be repeated"`
	Arguments struct {
		ID string `positional-arg-name:"ID" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

func explainSpecification() specification {
	return specification{
		name:  "explain",
		short: "tell the story of a request, item, batch job or back end from logs",
		long:  "Reads logs of gateway nodes (JSON lines) and prints, in order, the lines that name the id, what happened at the same time to the nodes, back ends and models that took part (marked |), and what is missing. The answer is yes if at least one line names the id.",
		examples: []string{
			"sliplift explain --log n1.log --log n2.log 7c41e09b52d6a3f8",
		},
		command: &explainCommand{},
	}
}

func (c *explainCommand) run(_ context.Context, env *Environment) error {
	log := &explain.Log{}
	for _, path := range c.Files {
		if err := readLog(log, path); err != nil {
			return errUsage.Wrap(err)
		}
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

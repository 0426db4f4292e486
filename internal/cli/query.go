package cli

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/operator"
)

// nodeFlags name the node whose operator port is asked.
type nodeFlags struct {
	Node   address `long:"node" short:"n" default:"127.0.0.1:7001" value-name:"IP:PORT" description:"operator address of a node; any node answers for all"`
	Author string  `long:"author" env:"USER" description:"name under which changes are logged"`
}

type queryCommand struct {
	nodeFlags
	outputFlag
	File      string        `long:"file" short:"f" value-name:"FILE" description:"read the statements from a file; - stands for standard input"`
	Timeout   time.Duration `long:"timeout" default:"2m" description:"longest wait for the whole answer"`
	Arguments struct {
		Statements []string `positional-arg-name:"STATEMENT"`
	} `positional-args:"yes"`
}

func querySpecification() specification {
	return specification{
		name:  "query",
		short: "run statements of the operators' language",
		long:  "Sends statements to a node and prints the answers. Nothing runs if one of them has a mistake; they run in order and stop at the first that did not succeed.",
		examples: []string{
			`sliplift query "SHOW engines WHERE zone = 'hall-a'"`,
			`sliplift query "DRAIN ENGINE e1 WAIT 10 SECONDS"`,
			"sliplift query --file examples/pools.sql",
		},
		command: &queryCommand{},
	}
}

func (c *queryCommand) run(ctx context.Context, env *Environment) error {
	source, err := c.source(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	client := operator.NewClient(env.HTTPClient, string(c.Node))
	return operatorError(operator.Run(ctx, client, source, c.options(env, c.outputFlag), env.Stdout))
}

// source returns the statements of the command line, the file or standard
// input.
func (c *queryCommand) source(env *Environment) (string, error) {
	inline := strings.Join(c.Arguments.Statements, " ")
	switch {
	case c.File != "" && inline != "":
		return "", errUsage.Errorf("give statements or --file, not both")
	case c.File == "" && inline == "":
		return "", errUsage.Errorf("give statements, or --file")
	case c.File == "":
		return inline, nil
	}
	if c.File == "-" {
		content, err := io.ReadAll(env.Stdin)
		return string(content), errUsage.Wrap(err)
	}
	content, err := os.ReadFile(c.File)
	return string(content), errUsage.Wrap(err)
}

package cli

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/operator/shell"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// shellHistoryFile is where the shell keeps its lines, under the operator's
// home directory.
const shellHistoryFile = ".sliplift_history"

type shellCommand struct {
	nodeFlags
	outputFlag
}

func shellSpecification() specification {
	return specification{
		name:  "shell",
		short: "ask a node interactively",
		long:  "Reads statements of the operators' language and prints the answers; Tab completes. From a pipe it reads plain lines and stops at the first statement that did not succeed.",
		examples: []string{
			"sliplift shell",
			"sliplift shell --node 127.0.0.1:7011 < examples/pools.sql",
		},
		command: &shellCommand{},
	}
}

func (c *shellCommand) run(ctx context.Context, env *Environment) error {
	_, terminalInput := terminalWidth(env.Stdin)
	code, err := shell.Run(ctx, shell.Config{
		Client:      operator.NewClient(env.HTTPClient, string(c.Node)),
		Options:     c.options(env, c.outputFlag),
		Input:       io.NopCloser(env.Stdin),
		Output:      env.Stdout,
		Interactive: terminalInput,
		HistoryFile: historyPath(),
	})
	if err != nil {
		return err
	}
	return operatorError(code)
}

// options says how an answer is shown.
func (n nodeFlags) options(env *Environment, output outputFlag) operator.RunOptions {
	width, _ := terminalWidth(env.Stdout)
	return operator.RunOptions{Author: n.Author, Output: query.Output(output.Output), Width: width}
}

// operatorError turns the exit code of a run of statements into the error of a
// subcommand.
func operatorError(code operator.ExitCode) error {
	switch code {
	case operator.ExitDone:
		return nil
	case operator.ExitSyntax:
		return errUsage.Errorf("nothing ran")
	}
	return errNo
}

// historyPath returns no path where the operator has no home directory.
func historyPath() string {
	home, err := os.UserHomeDir()
	if err != nil {
		return ""
	}
	return filepath.Join(home, shellHistoryFile)
}

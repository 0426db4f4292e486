// Package cli is the command line tool sliplift: it drives a system and judges
// what it did. Each subcommand is a small type whose flags are its fields.
//
// Exit codes are the same for all subcommands: 0 when it is done and the answer
// is yes, 1 when the answer is no or there is none, 2 when the command line, a
// statement or an input file is at fault. Results go to standard output, as a
// table or as JSON; progress and faults go to standard error, and progress only
// where that is a terminal.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/settings"
)

// Program is the name of the tool.
const Program = "sliplift"

// Exit codes of the tool.
const (
	ExitDone  = 0
	ExitNo    = 1
	ExitUsage = 2
)

const (
	// errNo ends a command whose answer is no and was printed.
	errNo = errs.Tag("no")
	// errUsage tags faults of the command line or of an input file.
	errUsage = errs.Tag("usage")
)

// Environment is what the tool touches of the world.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// HTTPClient is used for every request.
	HTTPClient *http.Client
	// Version is printed by the subcommand version.
	Version string
	// Demo runs the subcommand demo.
	Demo DemoRunner
}

// command is a subcommand; its exported fields are its flags.
type command interface {
	run(ctx context.Context, env *Environment) error
}

// specification says how a subcommand is shown.
type specification struct {
	name     string
	short    string
	long     string
	examples []string
	command  command
}

func specifications() []specification {
	return []specification{
		demoSpecification(),
		querySpecification(),
		shellSpecification(),
		planSpecification(),
		loadSpecification(),
		experimentSpecification(),
		checkConfigSpecification(),
		checkHistorySpecification(),
		explainSpecification(),
		soakSpecification(),
		versionSpecification(),
	}
}

// Run parses args (without the program's name), runs the subcommand they name
// and returns the exit code.
func Run(ctx context.Context, env *Environment, args []string) int {
	parser := flags.NewNamedParser(Program, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "the tool of sliplift, a rollout service for reinforcement learning"
	parser.LongDescription = "Exit codes: 0 done, 1 the answer is no or there is none, 2 the command line or an input is at fault."
	commands := map[string]command{}
	for _, spec := range specifications() {
		if _, err := parser.AddCommand(spec.name, spec.short, spec.help(), spec.command); err != nil {
			panic("cli: " + err.Error())
		}
		commands[spec.name] = spec.command
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = errs.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		return env.parseFailure(err)
	}
	return env.exitCode(commands[parser.Active.Name].run(ctx, env))
}

func (s specification) help() string {
	return s.long + "\n\nExamples:\n  " + strings.Join(s.examples, "\n  ")
}

// parseFailure prints help where it was asked for, and else the fault.
func (e *Environment) parseFailure(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Fprintln(e.Stdout, strings.TrimRight(flagError.Message, "\n"))
		return ExitDone
	}
	fmt.Fprintf(e.Stderr, "%s: %s\nTry: %s --help\n", Program, settings.ArgumentText(err), Program)
	return ExitUsage
}

func (e *Environment) exitCode(err error) int {
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, errNo):
		return ExitNo
	}
	fmt.Fprintf(e.Stderr, "%s: %v\n", Program, err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitNo
}

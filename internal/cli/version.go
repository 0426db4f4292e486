package cli

import (
	"context"
	"fmt"
)

type versionCommand struct{}

func versionSpecification() specification {
	return specification{
		name:     "version",
		short:    "print the version",
		long:     "Prints the version of the tool and of the Go release it was built with.",
		examples: []string{"sliplift version"},
		command:  &versionCommand{},
	}
}

func (*versionCommand) run(_ context.Context, env *Environment) error {
	_, err := fmt.Fprintf(env.Stdout, "%s %s\n", Program, env.Version)
	return err
}

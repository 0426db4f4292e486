package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/sliplift/sliplift/internal/settings"
)

type checkConfigCommand struct {
	Kind      string `long:"kind" default:"node" choice:"node" choice:"emulator" description:"the program that the file is for"`
	Effective bool   `long:"effective" description:"print the effective settings, defaults included"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

func checkConfigSpecification() specification {
	return specification{
		name:  "check-config",
		short: "check settings files",
		long:  "Checks settings files of slipliftd or sliplift-emulator and prints every fault at once. Nothing is started or contacted.",
		examples: []string{
			"sliplift check-config examples/node-1.ini examples/node-2.ini",
			"sliplift check-config --kind emulator --effective examples/emulator.ini",
		},
		command: &checkConfigCommand{},
	}
}

func (c *checkConfigCommand) run(_ context.Context, env *Environment) error {
	faulty := false
	for _, file := range c.Arguments.Files {
		if _, err := os.Stat(file); err != nil {
			return errUsage.Wrap(err)
		}
		target := c.target()
		err := settings.LoadFile(file, target)
		var faults settings.Faults
		switch {
		case errors.As(err, &faults):
			faulty = true
			fmt.Fprintf(env.Stdout, "%s: refused\n%v\n", file, faults)
		case err != nil:
			return err
		case c.Effective:
			fmt.Fprint(env.Stdout, settings.Effective(target))
		default:
			fmt.Fprintf(env.Stdout, "%s: accepted\n", file)
		}
	}
	if faulty {
		return errNo
	}
	return nil
}

func (c *checkConfigCommand) target() settings.Settings {
	if c.Kind == "emulator" {
		return &settings.Emulator{}
	}
	return &settings.Node{}
}

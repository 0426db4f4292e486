package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sliplift/sliplift/internal/soak"
)

type soakCommand struct {
	Gateway string        `long:"gateway" value-name:"FILE" required:"yes" description:"program of a node: a built sliplift-gateway"`
	Nodes   int           `long:"nodes" default:"6" value-name:"N" description:"nodes, each a process of its own, 2 to 40"`
	Seed    uint64        `long:"seed" value-name:"N" description:"what fails and when; by the time of day if it is not given"`
	For     time.Duration `long:"for" default:"1m" value-name:"DURATION" description:"how long the run lasts, at least 30 s"`
	Keep    string        `long:"keep" value-name:"DIRECTORY" description:"keep settings and logs of the nodes there"`
}

func soakSpecification() specification {
	return specification{
		name:  "soak",
		short: "run gateway nodes as processes while they and their connections fail",
		long:  "Starts gateway nodes as processes of their own against a stand-in of the platform on the loopback interface, kills, pauses, stops and restarts them, lets store, back ends and connections fail by a seed, and judges what callers and back ends saw. The answer is yes if no promise was broken.",
		examples: []string{
			"sliplift soak --gateway bin/sliplift-gateway --for 2m",
			"sliplift soak --gateway bin/sliplift-gateway --seed 7 --keep soak-7",
		},
		command: &soakCommand{},
	}
}

// Bounds of a soak.
const (
	soakNodesLeast = 2
	soakNodesMost  = 40
	soakLeast      = 30 * time.Second
)

func (c *soakCommand) run(ctx context.Context, env *Environment) error {
	if c.Nodes < soakNodesLeast || c.Nodes > soakNodesMost || c.For < soakLeast {
		return errUsage.Errorf("--nodes must be %d to %d, and --for at least %s", soakNodesLeast, soakNodesMost, soakLeast)
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	directory, remove, err := c.directory()
	if err != nil {
		return err
	}
	defer remove()
	report, err := soak.Run(ctx, soak.Config{
		Gateway: c.Gateway, Directory: directory, Nodes: c.Nodes, Seed: c.Seed, For: c.For, Out: env.Stdout,
	})
	if err != nil {
		return err
	}
	if err := report.Write(env.Stdout); err != nil {
		return err
	}
	if len(report.Breaches) > 0 {
		return errNo
	}
	return nil
}

// directory returns where settings and logs go, and what removes them.
func (c *soakCommand) directory() (string, func(), error) {
	if c.Keep != "" {
		return c.Keep, func() {}, os.MkdirAll(c.Keep, 0o750)
	}
	directory, err := os.MkdirTemp("", "sliplift-soak-")
	return directory, func() {
		if err := os.RemoveAll(directory); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}, err
}

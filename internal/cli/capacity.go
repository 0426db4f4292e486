package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/experiment/capacity"
)

// experimentCapacityCommand measures what docs/CAPACITY.md is worked out from.
type experimentCapacityCommand struct {
	Nodes      string `long:"nodes" default:"10,30,100,330" value-name:"N,N,..." description:"numbers of hollow nodes, measured one after the other; empty measures the slopes only"`
	Seconds    int    `long:"seconds" default:"20" description:"time over which the costs of each number of nodes are measured, from 1 to 600"`
	SkipSlopes bool   `long:"skip-slopes" description:"leave out the costs of requests, samples and bookings"`
	outputFlag
	active bool
}

// Execute notes that this subcommand was named; run follows.
func (c *experimentCapacityCommand) Execute([]string) error {
	c.active = true
	return nil
}

const (
	maxCapacityNodes   = 1000
	maxCapacitySeconds = 600
)

func (c *experimentCapacityCommand) run(ctx context.Context, env *Environment) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	progress := newProgress(env)
	cfg.Progress = progress.show
	result, err := capacity.Run(ctx, cfg)
	progress.done()
	if err != nil {
		return err
	}
	return c.print(env.Stdout, result, func() [][]string { return result.Lines() })
}

func (c *experimentCapacityCommand) config() (capacity.Config, error) {
	cfg := capacity.DefaultConfig()
	cfg.Nodes = nil
	for text := range strings.SplitSeq(c.Nodes, ",") {
		if text == "" {
			continue
		}
		nodes, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || nodes < 2 || nodes > maxCapacityNodes {
			return cfg, errUsage.Errorf("--nodes %q: must be numbers from 2 to %d", text, maxCapacityNodes)
		}
		cfg.Nodes = append(cfg.Nodes, nodes)
	}
	if c.Seconds < 1 || c.Seconds > maxCapacitySeconds {
		return cfg, errUsage.Errorf("--seconds %s: must be from 1 to %d", fmt.Sprint(c.Seconds), maxCapacitySeconds)
	}
	cfg.Measure = time.Duration(c.Seconds) * time.Second
	cfg.Slopes = !c.SkipSlopes
	return cfg, nil
}

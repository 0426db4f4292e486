package main

import (
	"context"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/cli"
)

// notBuilt stands in for the demo until the in-process cluster is there.
type notBuilt struct{}

func (notBuilt) RunDemo(context.Context, cli.DemoOptions) (cli.DemoSummary, error) {
	return cli.DemoSummary{}, errs.Errorf("the demo is not built yet")
}

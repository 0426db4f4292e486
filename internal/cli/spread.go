package cli

import (
	"fmt"

	"github.com/sliplift/sliplift/internal/configlog"
	"github.com/sliplift/sliplift/internal/experiment/configspread"
)

// experimentSpreadCommand prints what docs/design/configuration.md weighs.
type experimentSpreadCommand struct {
	active bool
}

// Execute notes that this subcommand was named; run follows.
func (c *experimentSpreadCommand) Execute([]string) error {
	c.active = true
	return nil
}

func (c *experimentSpreadCommand) run(env *Environment) error {
	tables := []struct{ title, rows string }{
		{"confirmation, with questions", configspread.Confirmation(configlog.DefaultPushFanout, false)},
		{"activation moment: the delay it needs", configspread.Freshness()},
		{"activation moment: a region cut off", configspread.RegionCut()},
		{"activation moment: the table service down", configspread.TableDown()},
	}
	for _, table := range tables {
		if _, err := fmt.Fprintf(env.Stdout, "%s\n%s\n", table.title, table.rows); err != nil {
			return err
		}
	}
	return nil
}

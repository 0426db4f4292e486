package configspread

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/configlog"
)

// TestSimulation holds the figures of docs/design/configuration.md.
func TestSimulation(t *testing.T) {
	datadriven.RunTest(t, "testdata/simulation", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "confirmation":
			fanout := configlog.DefaultPushFanout
			d.MaybeScanArgs(t, "fanout", &fanout)
			return Confirmation(fanout, d.HasArg("nobody-asks"))
		case "freshness":
			return Freshness()
		case "cut":
			return RegionCut()
		case "table-down":
			return TableDown()
		}
		return "unknown command"
	})
}

package machinewatch

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/api"
)

// TestMerge reads Views in the order in which a node hears of them. Each line is:
// reader, moment, names that are leaving.
func TestMerge(t *testing.T) {
	datadriven.RunTest(t, "testdata/merge", func(t *testing.T, d *datadriven.TestData) string {
		var b strings.Builder
		var view View
		for line := range strings.Lines(d.Input) {
			fields := strings.Fields(line)
			list := api.MachineList{Machines: []api.Machine{{Name: "live", State: api.MachineLive}}}
			_, _ = fmt.Sscan(fields[1], &list.AsOfMS)
			for _, name := range fields[2:] {
				list.Machines = append(list.Machines, api.Machine{Name: name, State: api.MachineLeaving})
			}
			merged, changed := Merge(view, NewView(list, fields[0]))
			fmt.Fprintf(&b, "%s %d %v changed=%t\n", merged.Reader, merged.AsOfMS, merged.Leaving, changed)
			view = merged
		}
		return b.String()
	})
}

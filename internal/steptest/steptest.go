// Package steptest lets one command of a datadriven file take several steps, so
// that a story needs one block and not one for each of its steps.
//
// The command's own line is the first step, each line of its input one more:
//
//	acquire a
//	acquire a
//	show
//	----
//	2: refused
//	3: a in_flight=1
//
// A step that prints nothing takes no line. Where a block has several steps,
// what a step prints begins with its number, so that a result that moves from
// one step to another fails the test.
package steptest

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Run runs the steps of a block in order and returns what they print. The
// TestData that step gets has no input.
func Run(t *testing.T, d *datadriven.TestData, step func(*testing.T, *datadriven.TestData) string) string {
	if d.Input == "" {
		return step(t, d)
	}
	first := *d
	first.Input = ""
	var printed strings.Builder
	number := 1
	printStep(&printed, number, step(t, &first))
	for line := range strings.Lines(d.Input) {
		next := datadriven.TestData{Pos: d.Pos}
		var err error
		if next.Cmd, next.CmdArgs, err = datadriven.ParseLine(line); err != nil {
			t.Fatalf("%s: %v", d.Pos, err)
		}
		number++
		printStep(&printed, number, step(t, &next))
	}
	return printed.String()
}

func printStep(printed *strings.Builder, number int, text string) {
	if text != "" {
		fmt.Fprintf(printed, "%d: %s", number, text)
	}
}

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

// Step runs one command and returns what it prints. Its TestData has no input.
type Step func(*testing.T, *datadriven.TestData) string

// Run runs the command of a block and the lines of its input, in order, and
// returns what they print.
func Run(t *testing.T, d *datadriven.TestData, step Step) string {
	if d.Input == "" {
		return step(t, d)
	}
	first := *d
	first.Input = ""
	return run(t, append([]*datadriven.TestData{&first}, parse(t, d.Pos, d.Input)...), step)
}

// Lines is like Run for the steps in lines only. pos names their block in
// failures.
func Lines(t *testing.T, pos, lines string, step Step) string {
	return run(t, parse(t, pos, lines), step)
}

func parse(t *testing.T, pos, lines string) []*datadriven.TestData {
	var commands []*datadriven.TestData
	for line := range strings.Lines(lines) {
		name, arguments, err := datadriven.ParseLine(line)
		if err != nil {
			t.Fatalf("%s: %v", pos, err)
		}
		commands = append(commands, &datadriven.TestData{Pos: pos, Cmd: name, CmdArgs: arguments})
	}
	return commands
}

func run(t *testing.T, commands []*datadriven.TestData, step Step) string {
	if len(commands) == 1 {
		return step(t, commands[0])
	}
	var printed strings.Builder
	for i, command := range commands {
		if text := step(t, command); text != "" {
			fmt.Fprintf(&printed, "%d: %s", i+1, text)
		}
	}
	return printed.String()
}

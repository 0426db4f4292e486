package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"golang.org/x/term"
)

// outputJSON is the value of --output for programs.
const outputJSON = "json"

// outputFlag is the flag of every subcommand that prints results.
type outputFlag struct {
	Output string `long:"output" short:"o" default:"table" choice:"table" choice:"json" description:"form of the results"`
}

// print writes value as JSON, or the lines of cells as a table.
func (o outputFlag) print(w io.Writer, value any, lines func() [][]string) error {
	if o.Output == outputJSON {
		return json.NewEncoder(w).Encode(value)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, cells := range lines() {
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

// terminalWidth returns the width of w in characters, and false where w is no
// terminal.
func terminalWidth(w any) (int, bool) {
	file, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		return 0, false
	}
	width, _, err := term.GetSize(int(file.Fd()))
	return width, err == nil
}

// progress shows on one line of a terminal what goes on; elsewhere it is
// silent.
type progress struct {
	w     io.Writer
	shown bool
}

func newProgress(env *Environment) *progress {
	_, shown := terminalWidth(env.Stderr)
	return &progress{w: env.Stderr, shown: shown}
}

const clearLine = "\r\x1b[K"

func (p *progress) show(text string) {
	if p.shown {
		fmt.Fprint(p.w, clearLine+text)
	}
}

// done clears the line.
func (p *progress) done() { p.show("") }

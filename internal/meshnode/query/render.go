package query

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Output is a way to show results.
type Output string

const (
	// OutputTable is for people: aligned columns and words.
	OutputTable Output = "table"
	// OutputJSON is for programs: one JSON object a line.
	OutputJSON Output = "json"
)

// asOfLayout shows instants in UTC to the millisecond.
const asOfLayout = "2006-01-02T15:04:05.000Z"

// namesShown is the number of names after which a list of those heard from is
// cut. Lists of what is missing are never cut.
const namesShown = 8

// Render writes the result. width is the terminal's width in characters; a
// table that is wider is shown one value a line. Zero means no limit.
func Render(w io.Writer, result Result, output Output, width int) error {
	if output == OutputJSON {
		return json.NewEncoder(w).Encode(result)
	}
	var text string
	switch {
	case result.Table != nil:
		text = renderTable(*result.Table, width)
	case result.Change != nil:
		text = renderChange(*result.Change)
	case result.Problem != nil:
		text = "not answered: " + printable(result.Problem.Message) + " (" + string(result.Problem.Code) + ")\n"
	}
	_, err := io.WriteString(w, text)
	return err
}

// printable keeps text that others chose from moving the cursor.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, text)
}

func renderTable(table Table, width int) string {
	var b strings.Builder
	cells, widths := layout(table)
	switch {
	case len(table.Rows) == 0:
	case width > 0 && lineWidth(widths) > width:
		writeRecords(&b, table, cells)
	default:
		writeColumns(&b, cells, widths)
	}
	fmt.Fprintf(&b, "%s, as of %s, heard from %s\n",
		countRows(len(table.Rows)), table.AsOf.UTC().Format(asOfLayout), shortList(table.HeardFrom))
	if len(table.NotHeard) > 0 {
		fmt.Fprintf(&b, "not heard from: %s; what only they know is missing here\n", strings.Join(table.NotHeard, ", "))
	}
	writeNotes(&b, table.Notes)
	return b.String()
}

func writeNotes(b *strings.Builder, notes []string) {
	for _, note := range notes {
		fmt.Fprintf(b, "note: %s\n", printable(note))
	}
}

func shortList(names []string) string {
	switch {
	case len(names) == 0:
		return "nobody"
	case len(names) > namesShown:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:namesShown], ", "), len(names)-namesShown)
	}
	return strings.Join(names, ", ")
}

// columnGap separates columns.
const columnGap = "  "

// layout returns the header and the rows as text, and the width of each column.
func layout(table Table) (cells [][]string, widths []int) {
	header := make([]string, 0, len(table.Columns))
	for _, column := range table.Columns {
		header = append(header, column.Name)
	}
	cells = append(cells, header)
	for _, row := range table.Rows {
		line := make([]string, 0, len(row))
		for _, value := range row {
			line = append(line, showCell(value))
		}
		cells = append(cells, line)
	}
	widths = make([]int, len(header))
	for _, line := range cells {
		for i, cell := range line {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return cells, widths
}

// showCell quotes text that would read as something else: as unknown, as not
// applicable, or as an empty cell.
func showCell(value Value) string {
	text := printable(value.String())
	if value.Kind() == KindText && (text == "" || text == unknownText || text == noneText) {
		return quote(text)
	}
	return text
}

func lineWidth(widths []int) int {
	total := len(columnGap) * (len(widths) - 1)
	for _, width := range widths {
		total += width
	}
	return total
}

func writeColumns(b *strings.Builder, cells [][]string, widths []int) {
	for _, line := range cells {
		var text strings.Builder
		for i, cell := range line {
			if i > 0 {
				text.WriteString(columnGap)
			}
			text.WriteString(cell)
			text.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
		}
		b.WriteString(strings.TrimRight(text.String(), " "))
		b.WriteByte('\n')
	}
}

// writeRecords shows one value a line.
func writeRecords(b *strings.Builder, table Table, cells [][]string) {
	nameWidth := 0
	for _, column := range table.Columns {
		nameWidth = max(nameWidth, len(column.Name))
	}
	for index, line := range cells[1:] {
		fmt.Fprintf(b, "[row %d]\n", index+1)
		for i, cell := range line {
			fmt.Fprintf(b, "%-*s%s%s\n", nameWidth, table.Columns[i].Name, columnGap, cell)
		}
	}
}

func renderChange(change ChangeResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "change %s: %s\n", change.ID, outcomeWords(change))
	if change.Message != "" && change.Outcome != configlog.OutcomeAccepted {
		fmt.Fprintf(&b, "%s\n", printable(change.Message))
	}
	if change.Outcome == configlog.OutcomeUnknown {
		fmt.Fprintf(&b, "it may be in force or come into force; ask again with SHOW CHANGE '%s'\n", change.ID)
	}
	if change.Force != nil {
		writeForce(&b, *change.Force, change.Waited)
	}
	fmt.Fprintf(&b, "as of %s, heard from %s\n", change.AsOf.UTC().Format(asOfLayout), shortList(change.HeardFrom))
	writeNotes(&b, change.Notes)
	return b.String()
}

func outcomeWords(change ChangeResult) string {
	switch change.Outcome {
	case configlog.OutcomeAccepted:
		return fmt.Sprintf("accepted as revision %d", change.Revision)
	case configlog.OutcomeConflict:
		return fmt.Sprintf("conflict, not accepted and never will be; revision %d came first", change.BeatenBy)
	case configlog.OutcomeInvalid:
		return fmt.Sprintf("invalid, nothing changed (%s)", change.Code)
	case configlog.OutcomeUnknown:
		return "its fate is unknown"
	case configlog.OutcomeUnavailable:
		return fmt.Sprintf("not accepted, nothing changed (%s)", change.Code)
	}
	return string(change.Outcome)
}

func writeForce(b *strings.Builder, report configlog.ForceReport, waited bool) {
	confirmed, total := len(report.Confirmed), len(report.Confirmed)+len(report.Missing)
	switch {
	case report.Everywhere():
		fmt.Fprintf(b, "in force at all %d known nodes\n", total)
	case total == 0:
		b.WriteString("how far it is in force is unknown: no node is known\n")
	default:
		fmt.Fprintf(b, "confirmed by %d of %d known nodes; not by %s\n", confirmed, total, missingList(report.Missing))
		if waited {
			b.WriteString("the time to wait is over; the change stands and goes on to spread\n")
		}
	}
}

func missingList(missing []configlog.MissingMember) string {
	names := make([]string, 0, len(missing))
	for _, member := range missing {
		names = append(names, member.String())
	}
	return strings.Join(names, ", ")
}

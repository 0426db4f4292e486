package query

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Row holds one value per column.
type Row []Value

// Table is the answer to SHOW and EXPLAIN.
type Table struct {
	Name    TableName
	Columns []Column
	Rows    []Row
	// AsOf is the answering node's clock when the table was put together. Where
	// single rows are older, a column tells their age.
	AsOf time.Time
	// HeardFrom names the nodes and services whose word the table rests on.
	HeardFrom []string
	// NotHeard names those that were asked, or whose word is needed, and did
	// not answer. The table may lack what only they know.
	NotHeard []string
	// Notes tell the reader what the cells cannot.
	Notes []string
}

// NewTable returns an empty table with the columns of its schema.
func NewTable(name TableName, asOf time.Time, heardFrom ...string) Table {
	return Table{Name: name, Columns: Columns(name), AsOf: asOf, HeardFrom: heardFrom}
}

// Append adds a row. A row with another number of values than the table has
// columns is a fault of the program.
func (t *Table) Append(values ...Value) {
	if len(values) != len(t.Columns) {
		panic(fmt.Sprintf("query: table %s has %d columns and a row of %d values", t.Name, len(t.Columns), len(values)))
	}
	t.Rows = append(t.Rows, values)
}

// Note adds a note, once.
func (t *Table) Note(format string, args ...any) {
	note := fmt.Sprintf(format, args...)
	if !slices.Contains(t.Notes, note) {
		t.Notes = append(t.Notes, note)
	}
}

// Column returns the place of a column, -1 if the table has none of that name.
func (t Table) Column(name string) int { return columnIndex(t.Columns, name) }

// verdict is the outcome of a condition for a row.
type verdict int

const (
	verdictFalse verdict = iota
	// verdictUnknown means that it depends on a value which is not known.
	verdictUnknown
	verdictTrue
)

// Select returns the rows that the statement wants, in its order. Rows that were
// left out because a value is not known are counted in the notes.
func (s Show) Select(table Table) Table {
	result := table
	result.Notes = slices.Clone(table.Notes)
	result.Rows = nil
	undecided := 0
	for _, row := range table.Rows {
		switch evaluate(s.Where, table.Columns, row) {
		case verdictTrue:
			result.Rows = append(result.Rows, row)
		case verdictUnknown:
			undecided++
		}
	}
	if undecided > 0 {
		result.Note("%s left out because what WHERE compares is unknown there", countRows(undecided))
	}
	s.sort(&result)
	if s.Limit > 0 && len(result.Rows) > s.Limit {
		result.Note("LIMIT left out %s", countRows(len(result.Rows)-s.Limit))
		result.Rows = result.Rows[:s.Limit]
	}
	return result
}

func countRows(count int) string {
	if count == 1 {
		return "1 row"
	}
	return fmt.Sprintf("%d rows", count)
}

// sort orders the rows by the keys of the statement, unknown values last.
func (s Show) sort(table *Table) {
	slices.SortStableFunc(table.Rows, func(a, b Row) int {
		for _, key := range s.Order {
			index := table.Column(key.Column)
			if order := compareForSort(a[index], b[index], key.Descending); order != 0 {
				return order
			}
		}
		return 0
	})
}

// compareForSort puts values before those that do not apply, and both before
// unknown ones, in either direction.
func compareForSort(a, b Value, descending bool) int {
	if order := cmp.Compare(sortRank(a), sortRank(b)); order != 0 {
		return order
	}
	order, _ := compare(a, b)
	if descending {
		return -order
	}
	return order
}

func sortRank(value Value) int {
	switch value.Kind() {
	case KindUnknown:
		return 2
	case KindNone:
		return 1
	}
	return 0
}

func evaluate(condition Condition, columns []Column, row Row) verdict {
	switch c := condition.(type) {
	case nil:
		return verdictTrue
	case Comparison:
		return c.evaluate(row[columnIndex(columns, c.Column)])
	case IsUnknown:
		return verdictOf(row[columnIndex(columns, c.Column)].IsUnknown() != c.Negated)
	case And:
		lowest := verdictTrue
		for _, term := range c.Terms {
			lowest = min(lowest, evaluate(term, columns, row))
		}
		return lowest
	case Or:
		highest := verdictFalse
		for _, term := range c.Terms {
			highest = max(highest, evaluate(term, columns, row))
		}
		return highest
	}
	panic(fmt.Sprintf("query: condition %T", condition))
}

func verdictOf(truth bool) verdict {
	if truth {
		return verdictTrue
	}
	return verdictFalse
}

func (c Comparison) evaluate(value Value) verdict {
	if value.IsUnknown() {
		return verdictUnknown
	}
	order, comparable := compare(value, c.Value)
	if !comparable {
		// A value that does not apply differs from every value.
		return verdictOf(c.Operator == OperatorNotEqual)
	}
	return verdictOf(c.holds(order))
}

func (c Comparison) holds(order int) bool {
	switch c.Operator {
	case OperatorEqual:
		return order == 0
	case OperatorNotEqual:
		return order != 0
	case OperatorLess:
		return order < 0
	case OperatorLessOrEqual:
		return order <= 0
	case OperatorGreater:
		return order > 0
	case OperatorGreaterOrEqual:
		return order >= 0
	}
	panic("query: operator " + string(c.Operator))
}

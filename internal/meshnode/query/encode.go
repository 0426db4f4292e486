package query

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs/v2"
)

// ErrCell says that a cell of an encoded table does not fit its column.
const ErrCell = errs.Tag("query: cell does not fit its column")

// tableJSON is a table on the wire. Cells are JSON numbers, texts and truth
// values, and integers in milliseconds in a column of kind duration. An unknown
// value is {"unknown":true}; a value that does not apply is null.
type tableJSON struct {
	Name      TableName           `json:"name"`
	Columns   []Column            `json:"columns"`
	Rows      [][]json.RawMessage `json:"rows"`
	AsOf      time.Time           `json:"as_of"`
	HeardFrom []string            `json:"heard_from"`
	NotHeard  []string            `json:"not_heard,omitempty"`
	Notes     []string            `json:"notes,omitempty"`
}

// unknownCell stands for an unknown value.
const unknownCell = `{"unknown":true}`

// noneCell stands for a value that does not apply.
const noneCell = `null`

// MarshalJSON implements json.Marshaler.
func (t Table) MarshalJSON() ([]byte, error) {
	wire := tableJSON{
		Name: t.Name, Columns: t.Columns, Rows: make([][]json.RawMessage, 0, len(t.Rows)),
		AsOf: t.AsOf, HeardFrom: t.HeardFrom, NotHeard: t.NotHeard, Notes: t.Notes,
	}
	for _, row := range t.Rows {
		cells := make([]json.RawMessage, 0, len(row))
		for _, value := range row {
			cell, err := encodeCell(value)
			if err != nil {
				return nil, err
			}
			cells = append(cells, cell)
		}
		wire.Rows = append(wire.Rows, cells)
	}
	return json.Marshal(wire)
}

func encodeCell(value Value) (json.RawMessage, error) {
	switch value.Kind() {
	case KindNone:
		return json.RawMessage(noneCell), nil
	case KindNumber:
		return json.RawMessage(value.formatNumber()), nil
	case KindText:
		return json.Marshal(value.text)
	case KindDuration:
		return json.Marshal(value.duration.Milliseconds())
	case KindBool:
		return json.Marshal(value.truth)
	}
	return json.RawMessage(unknownCell), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Table) UnmarshalJSON(data []byte) error {
	var wire tableJSON
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	*t = Table{
		Name: wire.Name, Columns: wire.Columns,
		AsOf: wire.AsOf, HeardFrom: wire.HeardFrom, NotHeard: wire.NotHeard, Notes: wire.Notes,
	}
	for _, cells := range wire.Rows {
		row, err := decodeRow(wire.Columns, cells)
		if err != nil {
			return err
		}
		t.Rows = append(t.Rows, row)
	}
	return nil
}

func decodeRow(columns []Column, cells []json.RawMessage) (Row, error) {
	if len(cells) != len(columns) {
		return nil, ErrCell.Errorf("%d cells in a row of %d columns", len(cells), len(columns))
	}
	row := make(Row, 0, len(cells))
	for i, cell := range cells {
		value, err := decodeCell(columns[i].Kind, cell)
		if err != nil {
			return nil, ErrCell.Errorf("%s: %s", columns[i].Name, cell)
		}
		row = append(row, value)
	}
	return row, nil
}

func decodeCell(kind Kind, cell json.RawMessage) (Value, error) {
	if string(cell) == noneCell {
		return None(), nil
	}
	if len(cell) > 0 && cell[0] == '{' {
		return Unknown(), nil
	}
	switch kind {
	case KindNumber:
		return parseNumber(string(cell))
	case KindText:
		return decodeAs(cell, Text)
	case KindBool:
		return decodeAs(cell, Bool)
	case KindDuration:
		return decodeAs(cell, func(ms int64) Value { return Duration(time.Duration(ms) * time.Millisecond) })
	}
	return Value{}, ErrCell.Errorf("kind %q", kind)
}

func decodeAs[T any](cell json.RawMessage, value func(T) Value) (Value, error) {
	var decoded T
	err := json.Unmarshal(cell, &decoded)
	return value(decoded), err
}

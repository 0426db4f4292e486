package query

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a Value, and of a column.
type Kind string

const (
	// KindUnknown marks a value that exists but is not known to the answering
	// nodes.
	KindUnknown Kind = "unknown"
	// KindNone marks a value that does not apply, such as the site of a node
	// that has none.
	KindNone     Kind = "none"
	KindNumber   Kind = "number"
	KindText     Kind = "text"
	KindDuration Kind = "duration"
	KindBool     Kind = "bool"
)

// How values are shown that are not data.
const (
	unknownText = "unknown"
	noneText    = "-"
)

// Value is one typed cell. The zero value is Unknown, so that a cell which
// nobody filled never reads as a fact.
type Value struct {
	kind   Kind
	number float64
	// integer holds a whole number exactly, where isInteger.
	integer   int64
	isInteger bool
	text      string
	duration  time.Duration
	truth     bool
}

// Unknown returns the value that says that something is not known.
func Unknown() Value { return Value{} }

// None returns the value that says that a column does not apply to a row.
func None() Value { return Value{kind: KindNone} }

// Text returns a text value.
func Text(text string) Value { return Value{kind: KindText, text: text} }

// TextOrNone returns a text value, or None for the empty text.
func TextOrNone(text string) Value {
	if text == "" {
		return None()
	}
	return Text(text)
}

// Int returns a number value.
func Int[N ~int | ~int64](number N) Value {
	return Value{kind: KindNumber, number: float64(number), integer: int64(number), isInteger: true}
}

// IntOrNone returns a number value, or None for zero.
func IntOrNone[N ~int | ~int64](number N) Value {
	if number == 0 {
		return None()
	}
	return Int(number)
}

// Number returns a number value. It equals the value that Int returns for the
// same whole number.
func Number(number float64) Value {
	if number == math.Trunc(number) && math.Abs(number) <= maxWhole {
		return Int(int64(number))
	}
	return Value{kind: KindNumber, number: number}
}

// parseNumber reads a number, whole ones exactly.
func parseNumber(text string) (Value, error) {
	if integer, err := strconv.ParseInt(text, 10, 64); err == nil {
		return Int(integer), nil
	}
	number, err := strconv.ParseFloat(text, 64)
	return Number(number), err
}

// Duration returns a duration value.
func Duration(duration time.Duration) Value { return Value{kind: KindDuration, duration: duration} }

// Bool returns a truth value.
func Bool(truth bool) Value { return Value{kind: KindBool, truth: truth} }

// Kind returns the value's type.
func (v Value) Kind() Kind {
	if v.kind == "" {
		return KindUnknown
	}
	return v.kind
}

// IsUnknown tells whether the value is not known.
func (v Value) IsUnknown() bool { return v.Kind() == KindUnknown }

// AsNumber returns the number, zero for values of another kind.
func (v Value) AsNumber() float64 { return v.number }

// AsText returns the text, empty for values of another kind.
func (v Value) AsText() string { return v.text }

// AsDuration returns the duration, zero for values of another kind.
func (v Value) AsDuration() time.Duration { return v.duration }

// AsBool returns the truth, false for values of another kind.
func (v Value) AsBool() bool { return v.truth }

// String renders the value for a table.
func (v Value) String() string {
	switch v.Kind() {
	case KindNone:
		return noneText
	case KindNumber:
		return v.formatNumber()
	case KindText:
		return v.text
	case KindDuration:
		return formatDuration(v.duration)
	case KindBool:
		return strconv.FormatBool(v.truth)
	}
	return unknownText
}

func (v Value) formatNumber() string {
	if v.isInteger {
		return strconv.FormatInt(v.integer, 10)
	}
	return strconv.FormatFloat(v.number, 'f', -1, 64)
}

// formatDuration rounds to a precision that an operator reads at a glance.
func formatDuration(duration time.Duration) string {
	switch size := duration.Abs(); {
	case size >= time.Minute:
		return duration.Round(time.Second).String()
	case size >= time.Second:
		return duration.Round(100 * time.Millisecond).String()
	default:
		return duration.Round(time.Millisecond).String()
	}
}

// compare orders two values of the same kind; ok is false where they have
// different kinds or where either is unknown.
func compare(a, b Value) (order int, ok bool) {
	if a.Kind() != b.Kind() || a.IsUnknown() {
		return 0, false
	}
	switch a.Kind() {
	case KindNumber:
		return compareNumbers(a, b), true
	case KindText:
		return strings.Compare(a.text, b.text), true
	case KindDuration:
		return cmp.Compare(a.duration, b.duration), true
	case KindBool:
		return cmp.Compare(boolRank(a.truth), boolRank(b.truth)), true
	}
	return 0, true
}

func compareNumbers(a, b Value) int {
	if a.isInteger && b.isInteger {
		return cmp.Compare(a.integer, b.integer)
	}
	return cmp.Compare(a.number, b.number)
}

func boolRank(truth bool) int {
	if truth {
		return 1
	}
	return 0
}

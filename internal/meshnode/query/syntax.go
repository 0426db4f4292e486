package query

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// SyntaxError is a mistake in a text, at a place. It is the whole answer to the
// text: none of its statements ran.
type SyntaxError struct {
	// Line and Column count from 1; columns count characters.
	Line   int
	Column int
	// Message says what is wrong in one line.
	Message string
	// Expected lists what the grammar would take at the place, where it is the
	// grammar that does not hold.
	Expected []string
	// Source is the line of the text that holds the place.
	Source string
}

// Error shows the place with a caret below it.
func (e *SyntaxError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "line %d, column %d: %s\n", e.Line, e.Column, e.Message)
	fmt.Fprintf(&b, "  %s\n", e.Source)
	fmt.Fprintf(&b, "  %s^", caretIndent(e.Source, e.Column-1))
	if len(e.Expected) > 0 {
		fmt.Fprintf(&b, "\nexpected %s", joinAlternatives(e.Expected))
	}
	return b.String()
}

// caretIndent returns as much blank space as the first count characters of the
// line take, keeping tabs.
func caretIndent(line string, count int) string {
	var b strings.Builder
	for _, r := range line {
		if count == 0 {
			break
		}
		count--
		if r == '\t' {
			b.WriteRune(r)
			continue
		}
		b.WriteByte(' ')
	}
	return b.String()
}

func joinAlternatives(alternatives []string) string {
	last := len(alternatives) - 1
	if last == 0 {
		return alternatives[0]
	}
	return strings.Join(alternatives[:last], ", ") + " or " + alternatives[last]
}

// syntaxErrorAt returns a SyntaxError for the place in the text.
func syntaxErrorAt(source string, offset int, format string, args ...any) *SyntaxError {
	offset = min(offset, len(source))
	start := strings.LastIndexByte(source[:offset], '\n') + 1
	end := len(source)
	if length := strings.IndexByte(source[start:], '\n'); length >= 0 {
		end = start + length
	}
	return &SyntaxError{
		Line:    strings.Count(source[:offset], "\n") + 1,
		Column:  utf8.RuneCountInString(source[start:offset]) + 1,
		Message: fmt.Sprintf(format, args...),
		Source:  strings.TrimRight(source[start:end], "\r"),
	}
}

// explainParseError turns the parser's error into one for operators.
func explainParseError(source string, err error) *SyntaxError {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		return unexpectedToken(source, unexpected.Unexpected)
	}
	var located participle.Error
	if errors.As(err, &located) {
		return unreadable(source, located.Position().Offset)
	}
	return syntaxErrorAt(source, len(source), "%v", err)
}

func unexpectedToken(source string, token lexer.Token) *SyntaxError {
	offset := token.Pos.Offset
	if token.EOF() {
		offset = len(strings.TrimRight(source, " \t\r\n"))
	}
	result := syntaxErrorAt(source, offset, "unexpected %s", describeToken(token))
	result.Expected = Expected(source[:token.Pos.Offset])
	return result
}

func describeToken(token lexer.Token) string {
	if token.EOF() {
		return "end of the text"
	}
	return fmt.Sprintf("%q", token.Value)
}

func unreadable(source string, offset int) *SyntaxError {
	rest := source[min(offset, len(source)):]
	if strings.HasPrefix(rest, "'") || strings.HasPrefix(rest, `"`) {
		return syntaxErrorAt(source, offset, "the quoted text that begins here does not end")
	}
	character, _ := utf8.DecodeRuneInString(rest)
	return syntaxErrorAt(source, offset, "unexpected character %q", character)
}

// What the classes of tokens are called in messages.
const (
	expectedName     = "a name"
	expectedNumber   = "a number"
	expectedDuration = "a duration such as 2s"
	expectedText     = "'quoted text'"
)

// probe is a token that may follow a prefix of a text.
type probe struct {
	text  string
	label string
}

// probeName is a name that is no keyword.
const probeName = "zz_name"

// classProbes stand for the classes of tokens.
var classProbes = []probe{
	{probeName, expectedName},
	{"1", expectedNumber},
	{"1s", expectedDuration},
	{"'text'", expectedText},
}

// keywords are the literals of the grammar, in the order of its messages.
var keywords = strings.Fields(`SHOW EXPLAIN REQUEST CREATE ALTER DROP SET DRAIN RESUME PIN UNPIN
	nodes engines applications pools steps leases versions changes drains settings regions CHANGE
	WHERE AND OR IS NOT UNKNOWN ORDER BY DESC ASC LIMIT
	POOL KIND MODEL VERSION BOUND PRIORITY MAX IN FLIGHT IDLE WEIGHT BACKENDS AT ZONE REGION SITE
	ADD BACKEND ENGINE NODE FOR IF REVISION WAIT SECONDS`)

var marks = strings.Fields(`; , ( ) = != < <= > >=`)

// maxProbedBytes bounds the statements for which Expected offers each token to
// the parser, so that a mistake late in a long one costs little.
const maxProbedBytes = 16 << 10

// Expected lists what may follow the prefix of a text, found by offering each
// token of the language to the parser. Keywords stand as they are written;
// classes of tokens stand as "a name", "a number" and so on. It serves both the
// messages of mistakes and the completion of the shell. The list is empty where
// the statement is very long.
func Expected(prefix string) []string {
	var expected []string
	// Statements do not depend on each other.
	prefix = lastStatement(prefix)
	if len(prefix) > maxProbedBytes {
		return nil
	}
	for _, candidate := range classProbes {
		if accepts(prefix, candidate.text) {
			expected = append(expected, candidate.label)
		}
	}
	nameFits := slices.Contains(expected, expectedName)
	for _, keyword := range keywords {
		// Where a name fits, every keyword would be read as one.
		if !nameFits && accepts(prefix, keyword) {
			expected = append(expected, keyword)
		}
	}
	for _, mark := range marks {
		if accepts(prefix, mark) {
			expected = append(expected, mark)
		}
	}
	if nameFits {
		expected = slices.DeleteFunc(expected, func(label string) bool { return label == expectedText })
	}
	return expected
}

// accepts tells whether the parser gets past the token when it follows the
// prefix.
func accepts(prefix, token string) bool {
	text := prefix + " " + token
	_, err := parser.ParseString("", text)
	if err == nil {
		return true
	}
	var unexpected *participle.UnexpectedTokenError
	return errors.As(err, &unexpected) && unexpected.Unexpected.EOF()
}

package query

import (
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// EndsStatement tells whether the last thing in the text, comments aside, is a
// semicolon: what a shell waits for before it runs a text. A semicolon within
// quotes does not count.
func EndsStatement(source string) bool {
	significant, whole := lex(source)
	if !whole || len(significant) == 0 {
		return false
	}
	return significant[len(significant)-1].Value == separator
}

// Blank tells whether the text holds nothing but space and comments.
func Blank(source string) bool {
	significant, whole := lex(source)
	return whole && len(significant) == 0
}

// lex returns the tokens that count, and whether the whole text could be read.
func lex(source string) (significant []lexer.Token, whole bool) {
	reader, err := tokens.LexString("", source)
	if err != nil {
		return nil, false
	}
	symbols := tokens.Symbols()
	for {
		token, err := reader.Next()
		if err != nil {
			return significant, errors.Is(err, io.EOF)
		}
		switch token.Type {
		case lexer.EOF:
			return significant, true
		case symbols[tokenComment], symbols[tokenSpace]:
		default:
			significant = append(significant, token)
		}
	}
}

// separator ends a statement.
const separator = ";"

// lastStatement returns what follows the last separator of a text that can be
// read to its end.
func lastStatement(source string) string {
	significant, _ := lex(source)
	for _, token := range slices.Backward(significant) {
		if token.Value == separator {
			return source[token.Pos.Offset+len(separator):]
		}
	}
	return source
}

// NameKind says what a name in a text names.
type NameKind string

const (
	NameColumn  NameKind = "column"
	NamePool    NameKind = "pool"
	NameBackend NameKind = "backend"
	NameNode    NameKind = "node"
	NameZone    NameKind = "zone"
	NameSite    NameKind = "site"
	NameSetting NameKind = "setting"
	// NameOther is a name that nothing is known about, such as a new one.
	NameOther NameKind = "other"
)

// Completion says what may follow a prefix of a text.
type Completion struct {
	// Words are keywords and marks.
	Words []string
	// Name is the kind of name that may follow, empty if none may.
	Name NameKind
	// Columns are the columns that may follow where Name is NameColumn.
	Columns []string
}

// Complete tells what may follow the prefix, which must end between two words.
func Complete(prefix string) Completion {
	var completion Completion
	for _, label := range Expected(prefix) {
		switch label {
		case expectedName:
			completion.Name = NameOther
		case expectedNumber, expectedDuration, expectedText:
		default:
			completion.Words = append(completion.Words, label)
		}
	}
	if completion.Name == "" {
		return completion
	}
	completion.Name, completion.Columns = nameAfter(prefix)
	return completion
}

// namesAfter maps the keyword before a name to the kind of the name.
var namesAfter = map[string]NameKind{
	"POOL":    NamePool,
	"ENGINE":  NameBackend,
	"BACKEND": NameBackend,
	"NODE":    NameNode,
	"ZONE":    NameZone,
	"SITE":    NameSite,
	"SET":     NameSetting,
	"WHERE":   NameColumn,
	"AND":     NameColumn,
	"OR":      NameColumn,
	"BY":      NameColumn,
}

// nameAfter returns the kind of the name that follows the prefix, and the
// columns of the statement, if it is SHOW.
func nameAfter(prefix string) (NameKind, []string) {
	words, _ := lex(lastStatement(prefix))
	if len(words) == 0 {
		return NameOther, nil
	}
	kind, known := namesAfter[strings.ToUpper(words[len(words)-1].Value)]
	if !known {
		return NameOther, nil
	}
	if kind != NameColumn {
		return kind, nil
	}
	var columns []string
	if len(words) > 1 && strings.EqualFold(words[0].Value, "SHOW") {
		for _, column := range schemas[TableName(strings.ToLower(words[1].Value))] {
			columns = append(columns, column.Name)
		}
	}
	return kind, columns
}

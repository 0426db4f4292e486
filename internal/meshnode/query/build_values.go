package query

import (
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// name reads a name and checks that tables and messages can show it.
func (b *builder) name(key string, g *nameGrammar) string {
	name := unquote(g.Text)
	switch {
	case name == "":
		b.fail(g.Pos, "%s: the empty name is not allowed", key)
	case len(name) > maxNameBytes:
		b.fail(g.Pos, "%s: the name has %d bytes; allowed are at most %d", key, len(name), maxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, notPrintable):
		b.fail(g.Pos, "%s: %q is not allowed; names are printable text on one line", key, name)
	}
	return name
}

// configNamePattern is what configlog takes for names.
var configNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// configName reads a name that the configuration keeps.
func (b *builder) configName(key string, g *nameGrammar) string {
	name := unquote(g.Text)
	if len(name) > maxConfigName || !configNamePattern.MatchString(name) {
		b.fail(g.Pos, "%s: %q is not allowed; allowed are letters, digits and . _ : - beginning with a letter or digit, at most %d characters",
			key, name, maxConfigName)
	}
	return name
}

// setting reads a setting and checks it against the specifications.
func (b *builder) setting(g *settingGrammar) SetSetting {
	setting := SetSetting{Key: b.configName("SET", g.Key), Value: b.literal(g.Value).raw}
	if len(b.settings) == 0 || b.err != nil {
		return setting
	}
	spec, known := b.settings.find(setting.Key)
	if !known {
		b.fail(g.Key.Pos, "SET: there is no setting %q; the settings are %s", setting.Key, b.settings.names())
		return setting
	}
	if setting.Value != "" && !spec.allows(setting.Value) {
		b.fail(g.Value.Pos, "%s: %q is not allowed; allowed is %s", setting.Key, setting.Value, spec.allowed())
	}
	return setting
}

func notPrintable(r rune) bool { return !unicode.IsPrint(r) }

// address reads host:port.
func (b *builder) address(g *nameGrammar) string {
	address := b.name("AT", g)
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || host == "" || portErr != nil || number == 0 {
		b.fail(g.Pos, "AT: %q is not allowed; allowed is 'host:port' with a port from 1 to 65535", address)
	}
	return address
}

// unquote returns the text of a name or of quoted text.
func unquote(raw string) string {
	if raw == "" || (raw[0] != '\'' && raw[0] != '"') {
		return raw
	}
	quote := raw[:1]
	return strings.ReplaceAll(raw[1:len(raw)-1], quote+quote, quote)
}

// literal is a value with the text that stands for it.
type literal struct {
	value Value
	raw   string
}

func (b *builder) literal(g *literalGrammar) literal {
	switch {
	case g.Duration != nil:
		value, err := time.ParseDuration(*g.Duration)
		if err != nil {
			b.fail(g.Pos, "%s is not a duration; an example of one is 2s", *g.Duration)
		}
		return literal{Duration(value), *g.Duration}
	case g.Number != nil:
		value, err := parseNumber(*g.Number)
		if err != nil {
			b.fail(g.Pos, "%s is too large", *g.Number)
		}
		return literal{value, *g.Number}
	case g.String != nil:
		text := unquote(*g.String)
		if !utf8.ValidString(text) {
			b.fail(g.Pos, "the quoted text is not valid UTF-8")
		}
		return literal{Text(text), text}
	}
	return wordLiteral(*g.Word)
}

func wordLiteral(word string) literal {
	switch strings.ToLower(word) {
	case "true":
		return literal{Bool(true), word}
	case "false":
		return literal{Bool(false), word}
	}
	return literal{Text(word), word}
}

func (b *builder) show(g *selectGrammar) Show {
	show := Show{Table: TableName(strings.ToLower(g.Table))}
	columns := schemas[show.Table]
	if g.Where != nil {
		show.Where = b.or(columns, g.Where)
	}
	for _, key := range g.Order {
		column := b.column(columns, key.Column)
		show.Order = append(show.Order, OrderBy{Column: column.Name, Descending: key.Descending})
	}
	if g.Limit != nil {
		show.Limit = int(b.whole("LIMIT", g.Limit, 1, maxInFlight))
	}
	return show
}

func (b *builder) column(columns []Column, g *nameGrammar) Column {
	index := columnIndex(columns, unquote(g.Text))
	if index < 0 {
		b.fail(g.Pos, "there is no column %q; the columns are %s", unquote(g.Text), columnNames(columns))
		return Column{}
	}
	return columns[index]
}

func (b *builder) or(columns []Column, g *orGrammar) Condition {
	var terms []Condition
	for _, term := range g.Terms {
		terms = append(terms, b.and(columns, term))
	}
	if len(terms) == 1 {
		return terms[0]
	}
	return Or{Terms: terms}
}

func (b *builder) and(columns []Column, g *andGrammar) Condition {
	var terms []Condition
	for _, term := range g.Terms {
		terms = append(terms, b.test(columns, term))
	}
	if len(terms) == 1 {
		return terms[0]
	}
	return And{Terms: terms}
}

func (b *builder) test(columns []Column, g *testGrammar) Condition {
	if g.Group != nil {
		return b.or(columns, g.Group)
	}
	comparison := g.Comparison
	column := b.column(columns, comparison.Column)
	if comparison.Is != nil {
		return IsUnknown{Column: column.Name, Negated: comparison.Is.Not}
	}
	return Comparison{
		Column:   column.Name,
		Operator: normalOperator(comparison.Operator),
		Value:    b.comparable(column, comparison.Literal),
	}
}

func normalOperator(raw string) Operator {
	if raw == "<>" {
		return OperatorNotEqual
	}
	return Operator(raw)
}

// kindExamples say how values of a kind are written.
var kindExamples = map[Kind]string{
	KindNumber:   "a number such as 3",
	KindText:     "text such as 'abc'",
	KindDuration: "a duration such as 2s or 500ms",
	KindBool:     "true or false",
}

// comparable reads a value of the column's kind.
func (b *builder) comparable(column Column, g *literalGrammar) Value {
	literal := b.literal(g)
	if literal.value.Kind() == column.Kind {
		return literal.value
	}
	if column.Kind == KindText {
		return Text(literal.raw)
	}
	if b.err == nil {
		b.fail(g.Pos, "%s: %q is not allowed; allowed is %s", column.Name, literal.raw, kindExamples[column.Kind])
	}
	return literal.value
}

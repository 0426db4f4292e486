package query

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

var identOnly = regexp.MustCompile(`^` + identPattern + `$`)

// quote writes text between single quotes.
func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

// printName writes a name, in quotes where it needs them.
func printName(name string) string {
	if identOnly.MatchString(name) {
		return name
	}
	return quote(name)
}

// String implements Statement.
func (s Show) String() string {
	text := "SHOW " + string(s.Table)
	if s.Where != nil {
		text += " WHERE " + s.Where.String()
	}
	for i, key := range s.Order {
		text += orderSeparator(i) + key.Column
		if key.Descending {
			text += " DESC"
		}
	}
	if s.Limit > 0 {
		text += " LIMIT " + strconv.Itoa(s.Limit)
	}
	return text
}

func orderSeparator(index int) string {
	if index == 0 {
		return " ORDER BY "
	}
	return ", "
}

// String implements Statement.
func (s ShowChange) String() string { return "SHOW CHANGE " + quote(s.ID) }

// String implements Statement.
func (s ExplainRequest) String() string { return "EXPLAIN REQUEST " + quote(s.RequestID) }

// String implements Statement.
func (s Change) String() string {
	text := s.Action.String()
	if s.IfRevision != nil {
		text += fmt.Sprintf(" IF REVISION %d", *s.IfRevision)
	}
	if s.Wait > 0 {
		text += fmt.Sprintf(" WAIT %d SECONDS", int64(s.Wait/time.Second))
	}
	return text
}

// String implements Condition.
func (c Comparison) String() string {
	return c.Column + " " + string(c.Operator) + " " + printValue(c.Value)
}

// printValue writes a value that parses to itself.
func printValue(value Value) string {
	switch value.Kind() {
	case KindText:
		return quote(value.AsText())
	case KindDuration:
		return printDuration(value.AsDuration())
	}
	return value.String()
}

// printDuration writes a duration exactly, in ASCII units.
func printDuration(duration time.Duration) string {
	return strings.ReplaceAll(duration.String(), "µ", "u")
}

// String implements Condition.
func (c IsUnknown) String() string {
	if c.Negated {
		return c.Column + " IS NOT UNKNOWN"
	}
	return c.Column + " IS UNKNOWN"
}

// String implements Condition.
func (c And) String() string { return joinConditions(c.Terms, " AND ") }

// String implements Condition.
func (c Or) String() string { return joinConditions(c.Terms, " OR ") }

func joinConditions(terms []Condition, separator string) string {
	texts := make([]string, 0, len(terms))
	for _, term := range terms {
		text := term.String()
		switch term.(type) {
		case And, Or:
			text = "(" + text + ")"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, separator)
}

// String implements Action.
func (a CreatePool) String() string {
	text := "CREATE POOL " + printName(a.Name) + " KIND " + string(a.Kind)
	if a.Model != "" {
		text += " MODEL " + printName(a.Model)
	}
	for _, option := range a.Options.texts() {
		text += " " + option
	}
	backends := make([]string, 0, len(a.Backends))
	for _, backend := range a.Backends {
		backends = append(backends, printBackend(backend))
	}
	return text + " BACKENDS (" + strings.Join(backends, ", ") + ")"
}

func (o PoolOptions) texts() []string {
	var texts []string
	if o.VersionBound != nil {
		texts = append(texts, fmt.Sprintf("VERSION BOUND %d", *o.VersionBound))
	}
	if o.Priority != nil {
		texts = append(texts, fmt.Sprintf("PRIORITY %d", *o.Priority))
	}
	if o.MaxInFlight != nil {
		texts = append(texts, fmt.Sprintf("MAX IN FLIGHT %d", *o.MaxInFlight))
	}
	if o.IdleWeight != nil {
		texts = append(texts, "IDLE WEIGHT "+strconv.FormatFloat(*o.IdleWeight, 'f', -1, 64))
	}
	return texts
}

func printBackend(backend configlog.Backend) string {
	text := printName(backend.Name) + " AT " + quote(backend.Address) + " ZONE " + printName(backend.Zone)
	if backend.Region != "" {
		text += " REGION " + printName(backend.Region)
	}
	if backend.Site != "" {
		text += " SITE " + printName(backend.Site)
	}
	return text
}

// String implements Action.
func (a AlterPool) String() string {
	return "ALTER POOL " + printName(a.Name) + " SET " + strings.Join(a.Options.texts(), ", ")
}

// String implements Action.
func (a AddBackend) String() string {
	return "ALTER POOL " + printName(a.Pool) + " ADD BACKEND " + printBackend(a.Backend)
}

// String implements Action.
func (a DropBackend) String() string {
	return "ALTER POOL " + printName(a.Pool) + " DROP BACKEND " + printName(a.Backend)
}

// String implements Action.
func (a DropPool) String() string { return "DROP POOL " + printName(a.Name) }

// String implements Action.
func (a SetSetting) String() string { return "SET " + printName(a.Key) + " = " + quote(a.Value) }

// String implements Action.
func (a Drain) String() string { return "DRAIN " + printScope(a.Scope, a.Name) }

// String implements Action.
func (a Resume) String() string { return "RESUME " + printScope(a.Scope, a.Name) }

func printScope(scope configlog.DrainScope, name string) string {
	return strings.ToUpper(string(scope)) + " " + printName(name)
}

// String implements Action.
func (a Pin) String() string {
	return fmt.Sprintf("PIN VERSION %d FOR POOL %s", a.Version, printName(a.Pool))
}

// String implements Action.
func (a Unpin) String() string { return "UNPIN VERSION FOR POOL " + printName(a.Pool) }

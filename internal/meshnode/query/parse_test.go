package query

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// testSettings stand for the settings of the product.
var testSettings = SettingSpecs{
	{Key: "weights.swap_share", Kind: KindNumber, Min: 0.01, Max: 1, Default: "0.25"},
	{Key: "drain.grace", Kind: KindDuration, Min: 1, Max: 60, Default: "10s"},
	{Key: "routing.policy", Kind: KindText, Choices: []string{"corrected", "round-robin"}, Default: "corrected"},
}

// TestParse shows each statement as it is printed again, and each mistake with
// its place.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "parse":
			return parseAndPrint(d.Input)
		case "mistakes":
			return mistakes(t, d.Input)
		case "expected":
			return strings.Join(Expected(d.Input), " ") + "\n"
		case "complete":
			completion := Complete(d.Input)
			return fmt.Sprintf("words %v, name %q, columns %v\n", completion.Words, completion.Name, completion.Columns)
		}
		d.Fatalf(t, "unknown command %q", d.Cmd)
		return ""
	})
}

// mistakes prints where each line of the input has a mistake and what it is. That
// the message shows the line with a mark under the place is checked here.
func mistakes(t *testing.T, lines string) string {
	var b strings.Builder
	for line := range strings.SplitSeq(lines, "\n") {
		message := strings.TrimSuffix(parseAndPrint(line), "\n")
		first, rest, _ := strings.Cut(message, "\n")
		var column int
		if _, err := fmt.Sscanf(first, "line 1, column %d:", &column); err != nil {
			t.Fatalf("%s\n%s\n%v", line, message, err)
		}
		expected, shown := strings.CutPrefix(rest, "  "+line+"\n"+strings.Repeat(" ", column+1)+"^")
		if !shown {
			t.Fatalf("%s: no line with a mark under column %d:\n%s", line, column, message)
		}
		fmt.Fprintf(&b, "%s%s\n", strings.TrimPrefix(first, "line 1, column "), strings.Replace(expected, "\n", "; ", 1))
	}
	return b.String()
}

func parseAndPrint(source string) string {
	parsed, err := Parse(source, testSettings)
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, statement := range parsed {
		fmt.Fprintf(&b, "%s;\n", statement.Statement)
	}
	return b.String()
}

func TestEndsStatement(t *testing.T) {
	cases := map[string]bool{
		"SHOW nodes;":                        true,
		"SHOW nodes; -- done":                true,
		"SHOW nodes":                         false,
		"SHOW nodes -- not; yet":             false,
		"SHOW nodes WHERE name = 'a;":        false,
		"SHOW nodes WHERE name = 'a'';b' ;":  true,
		"SHOW nodes WHERE name = 'two\nway;": false,
		"":                                   false,
	}
	for source, want := range cases {
		if got := EndsStatement(source); got != want {
			t.Errorf("EndsStatement(%q) = %v", source, got)
		}
	}
}

// TestPrintRoundTrip proves that every statement prints to text that parses to
// an equal statement.
func TestPrintRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statement := drawStatement(t)
		text := statement.String()
		parsed, err := Parse(text, nil)
		if err != nil {
			t.Fatalf("%s\n%v", text, err)
		}
		if len(parsed) != 1 || !reflect.DeepEqual(parsed[0].Statement, statement) {
			t.Fatalf("%s\n got %#v\nwant %#v", text, parsed, statement)
		}
	})
}

func drawStatement(t *rapid.T) Statement {
	return rapid.OneOf(
		rapid.Custom(func(t *rapid.T) Statement { return drawShow(t) }),
		rapid.Custom(func(t *rapid.T) Statement { return drawChange(t) }),
		rapid.Custom(func(t *rapid.T) Statement { return ShowChange{ID: drawID(t)} }),
		rapid.Custom(func(t *rapid.T) Statement { return ExplainRequest{RequestID: drawID(t)} }),
	).Draw(t, "statement")
}

func drawID(t *rapid.T) string { return rapid.StringMatching(`[ -~äé€]{1,40}`).Draw(t, "id") }

func drawName(t *rapid.T) string {
	return rapid.OneOf(
		rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._:-]{0,12}`),
		rapid.SampledFrom([]string{"KIND", "zone", "5s", "12", "a--b", "REGION", "true"}),
	).Draw(t, "name")
}

func drawShow(t *rapid.T) Show {
	tables := slices.Sorted(maps.Keys(schemas))
	tables = slices.DeleteFunc(tables, func(name TableName) bool { return name == TableExplain })
	show := Show{Table: rapid.SampledFrom(tables).Draw(t, "table")}
	columns := Columns(show.Table)
	if rapid.Bool().Draw(t, "where") {
		show.Where = drawCondition(t, columns, 3)
	}
	for range rapid.IntRange(0, 2).Draw(t, "keys") {
		column := rapid.SampledFrom(columns).Draw(t, "key")
		show.Order = append(show.Order, OrderBy{Column: column.Name, Descending: rapid.Bool().Draw(t, "descending")})
	}
	show.Limit = rapid.IntRange(0, 1000).Draw(t, "limit")
	return show
}

func drawCondition(t *rapid.T, columns []Column, depth int) Condition {
	shape := rapid.IntRange(0, 3).Draw(t, "shape")
	if depth > 0 && shape >= 2 {
		var terms []Condition
		for range rapid.IntRange(2, 3).Draw(t, "terms") {
			terms = append(terms, drawCondition(t, columns, depth-1))
		}
		if shape == 2 {
			return And{Terms: terms}
		}
		return Or{Terms: terms}
	}
	column := rapid.SampledFrom(columns).Draw(t, "column")
	if shape == 0 {
		return IsUnknown{Column: column.Name, Negated: rapid.Bool().Draw(t, "negated")}
	}
	operators := []Operator{OperatorEqual, OperatorNotEqual, OperatorLess, OperatorLessOrEqual, OperatorGreater, OperatorGreaterOrEqual}
	return Comparison{Column: column.Name, Operator: rapid.SampledFrom(operators).Draw(t, "operator"), Value: drawValue(t, column.Kind)}
}

func drawValue(t *rapid.T, kind Kind) Value {
	switch kind {
	case KindNumber:
		return Number(float64(rapid.IntRange(-1e6, 1e6).Draw(t, "number")) / 8)
	case KindDuration:
		return Duration(time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "duration")))
	case KindBool:
		return Bool(rapid.Bool().Draw(t, "truth"))
	}
	return Text(rapid.String().Draw(t, "text"))
}

func drawChange(t *rapid.T) Change {
	change := Change{Action: drawAction(t), Wait: time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * time.Second}
	if rapid.Bool().Draw(t, "conditional") {
		revision := rapid.Int64Range(1, maxWhole).Draw(t, "revision")
		change.IfRevision = &revision
	}
	return change
}

func drawAction(t *rapid.T) Action {
	scopes := []configlog.DrainScope{configlog.DrainEngine, configlog.DrainNode, configlog.DrainZone, configlog.DrainSite}
	name := drawName(t)
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		return drawCreatePool(t, name)
	case 1:
		bound := rapid.Int64Range(0, 1000).Draw(t, "bound")
		options := drawOptions(t)
		options.VersionBound = &bound
		return AlterPool{Name: name, Options: options}
	case 2:
		return AddBackend{Pool: name, Backend: drawBackend(t, "b")}
	case 3:
		return DropBackend{Pool: name, Backend: drawName(t)}
	case 4:
		return DropPool{Name: name}
	case 5:
		return SetSetting{Key: name, Value: rapid.String().Draw(t, "value")}
	case 6:
		return Drain{Scope: rapid.SampledFrom(scopes).Draw(t, "scope"), Name: name}
	case 7:
		return Resume{Scope: rapid.SampledFrom(scopes).Draw(t, "scope"), Name: name}
	case 8:
		return Pin{Pool: name, Version: rapid.Int64Range(1, maxWhole).Draw(t, "version")}
	}
	return Unpin{Pool: name}
}

func drawCreatePool(t *rapid.T, name string) CreatePool {
	pool := CreatePool{Name: name, Kind: configlog.PoolApplications, Options: drawOptions(t)}
	if rapid.Bool().Draw(t, "engines") {
		pool.Kind = configlog.PoolEngines
		pool.Model = drawName(t)
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "backends") {
		pool.Backends = append(pool.Backends, drawBackend(t, fmt.Sprintf("b%d", i)))
	}
	return pool
}

func drawOptions(t *rapid.T) PoolOptions {
	var options PoolOptions
	if rapid.Bool().Draw(t, "priority") {
		priority := rapid.IntRange(0, 20).Draw(t, "priority")
		options.Priority = &priority
	}
	if rapid.Bool().Draw(t, "in flight") {
		limit := rapid.IntRange(1, maxInFlight).Draw(t, "limit")
		options.MaxInFlight = &limit
	}
	if rapid.Bool().Draw(t, "idle") {
		weight := rapid.Float64Range(0, 1).Draw(t, "weight")
		options.IdleWeight = &weight
	}
	return options
}

func drawBackend(t *rapid.T, name string) configlog.Backend {
	backend := configlog.Backend{Name: name, Zone: drawName(t)}
	backend.Address = fmt.Sprintf("10.0.0.1:%d", rapid.IntRange(1, 65535).Draw(t, "port"))
	if rapid.Bool().Draw(t, "region") {
		backend.Region = drawName(t)
	}
	if rapid.Bool().Draw(t, "site") {
		backend.Site = drawName(t)
	}
	return backend
}

// FuzzParse looks for texts that break the parser, and checks that what parses
// prints to text that parses to the same.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"SHOW nodes WHERE (zone = 'a' OR heard_ago > 1m30s) AND state <> alive ORDER BY name DESC, zone LIMIT 3;",
		"create pool p kind engines model m version bound 2 idle weight .7 backends (a at 'h:1' zone z region r site s)",
		"CREATE POOL p KIND engines IDLE WEIGHT 0.7 BACKENDS (a AT 'h:1' ZONE z, b AT \"h:2\" ZONE 'y')",
		"ALTER POOL p SET PRIORITY 3, MAX IN FLIGHT 8 IF REVISION 4 WAIT 5 SECONDS; ALTER POOL p DROP BACKEND a",
		"PIN VERSION 7 FOR POOL p; UNPIN VERSION FOR POOL p; SET a.b = 'it''s'; SHOW CHANGE 'x'; EXPLAIN REQUEST \"y\"",
		"DRAIN ZONE z1 -- comment\n; RESUME SITE 's'; DROP POOL p;;", "SHOW nodes WHERE name = 'open", "((((", "\x00\xff",
		"SHOW steps WHERE age IS NOT UNKNOWN AND finished >= -3.25",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, source string) {
		parsed, err := Parse(source, nil)
		if err != nil {
			if _, located := err.(*SyntaxError); !located {
				t.Fatalf("error without a place: %v", err)
			}
			return
		}
		for _, statement := range parsed {
			text := statement.Statement.String()
			again, err := Parse(text, nil)
			if err != nil || len(again) != 1 || !reflect.DeepEqual(again[0].Statement, statement.Statement) {
				t.Fatalf("%q prints to %q: %v", source, text, err)
			}
		}
	})
}

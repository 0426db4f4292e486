package query

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Bounds of what statements may hold. They keep one text from occupying a node.
const (
	// MaxTextBytes bounds a text.
	MaxTextBytes = 256 << 10
	// maxWait bounds WAIT n SECONDS.
	maxWait = 600 * time.Second
	// maxWhole is the largest whole number that every client of JSON keeps.
	maxWhole = 1 << 53
	// maxInFlight bounds MAX IN FLIGHT and LIMIT.
	maxInFlight = 1 << 20
	// maxVersionBound bounds VERSION BOUND.
	maxVersionBound = 1 << 20
	// maxNameBytes bounds an id or name.
	maxNameBytes = 200
	// maxConfigName bounds a name in the configuration, in characters.
	maxConfigName = 128
	// maxNesting bounds the depth of parentheses.
	maxNesting = 100
)

// Parsed is a statement with its text as the operator wrote it.
type Parsed struct {
	Statement Statement
	Text      string
	// Line counts from 1.
	Line int
}

// Parse reads a text of statements. A mistake is a *SyntaxError. Settings that
// SET names are checked against the specifications, unless there are none.
func Parse(source string, settings SettingSpecs) ([]Parsed, error) {
	if len(source) > MaxTextBytes {
		return nil, syntaxErrorAt(source, 0, "the text has %d bytes; at most %d are allowed", len(source), MaxTextBytes)
	}
	if err := checkNesting(source); err != nil {
		return nil, err
	}
	script, err := parser.ParseString("", source)
	if err != nil {
		return nil, explainParseError(source, err)
	}
	return build(source, script, settings)
}

// checkNesting keeps the recursive parser from deep recursion.
func checkNesting(source string) error {
	depth := 0
	significant, _ := lex(source)
	for _, token := range significant {
		switch token.Value {
		case "(":
			depth++
		case ")":
			depth--
		}
		if depth > maxNesting {
			return syntaxErrorAt(source, token.Pos.Offset, "more than %d parentheses are open", maxNesting)
		}
	}
	return nil
}

func build(source string, script *scriptGrammar, settings SettingSpecs) (parsed []Parsed, err error) {
	b := &builder{source: source, settings: settings}
	for _, grammar := range script.Statements {
		statement := b.statement(grammar)
		if b.err != nil {
			return nil, b.err
		}
		parsed = append(parsed, Parsed{
			Statement: statement,
			Text:      strings.TrimSpace(source[grammar.Pos.Offset:grammar.EndPos.Offset]),
			Line:      grammar.Pos.Line,
		})
	}
	return parsed, nil
}

// builder turns grammar types into statements and keeps the first mistake.
type builder struct {
	source   string
	settings SettingSpecs
	err      *SyntaxError
}

func (b *builder) fail(at lexer.Position, format string, args ...any) {
	if b.err == nil {
		b.err = syntaxErrorAt(b.source, at.Offset, format, args...)
	}
}

func (b *builder) statement(g *statementGrammar) Statement {
	switch {
	case g.Explain != nil:
		return ExplainRequest{RequestID: b.name("REQUEST", g.Explain.Request)}
	case g.Change != nil:
		return b.change(g.Change)
	case g.Show.Change != nil:
		return ShowChange{ID: b.name("CHANGE", g.Show.Change)}
	}
	return b.show(g.Show.Table)
}

func (b *builder) change(g *changeGrammar) Change {
	change := Change{Action: b.action(g)}
	if g.IfRevision != nil {
		revision := b.whole("IF REVISION", g.IfRevision, 1, maxWhole)
		change.IfRevision = &revision
	}
	if g.Wait != nil {
		seconds := b.whole("WAIT", g.Wait, 1, int64(maxWait/time.Second))
		change.Wait = time.Duration(seconds) * time.Second
	}
	return change
}

func (b *builder) action(g *changeGrammar) Action {
	switch {
	case g.Create != nil:
		return b.create(g.Create)
	case g.Alter != nil:
		return b.alter(g.Alter)
	case g.Drop != nil:
		return DropPool{Name: b.configName("POOL", g.Drop)}
	case g.Set != nil:
		return b.setting(g.Set)
	case g.Drain != nil:
		return Drain{Scope: scopeOf(g.Drain), Name: b.configName(strings.ToUpper(g.Drain.Scope), g.Drain.Name)}
	case g.Resume != nil:
		return Resume{Scope: scopeOf(g.Resume), Name: b.configName(strings.ToUpper(g.Resume.Scope), g.Resume.Name)}
	case g.Pin != nil:
		return Pin{Version: b.whole("PIN VERSION", g.Pin.Version, 1, maxWhole), Pool: b.configName("POOL", g.Pin.Pool)}
	}
	return Unpin{Pool: b.configName("POOL", g.Unpin)}
}

func scopeOf(g *scopeGrammar) configlog.DrainScope {
	return configlog.DrainScope(strings.ToLower(g.Scope))
}

func (b *builder) create(g *createGrammar) CreatePool {
	pool := CreatePool{
		Name: b.configName("POOL", g.Name),
		Kind: configlog.PoolKind(strings.ToLower(g.Kind)),
	}
	seen := map[string]bool{}
	for _, option := range g.Options {
		if option.Model != nil {
			b.once(seen, "MODEL", option.Pos)
			pool.Model = b.configName("MODEL", option.Model)
			if pool.Kind != configlog.PoolEngines {
				b.fail(option.Pos, "MODEL: a pool of applications has no model; only pools of engines have one")
			}
			continue
		}
		b.option(seen, option, &pool.Options)
	}
	names := map[string]bool{}
	for _, grammar := range g.Backends {
		backend := b.backend(grammar)
		if names[backend.Name] {
			b.fail(grammar.Name.Pos, "BACKENDS: the name %q stands twice; names must be different", backend.Name)
		}
		names[backend.Name] = true
		pool.Backends = append(pool.Backends, backend)
	}
	return pool
}

func (b *builder) alter(g *alterGrammar) Action {
	name := b.configName("POOL", g.Name)
	switch {
	case g.AddBackend != nil:
		return AddBackend{Pool: name, Backend: b.backend(g.AddBackend)}
	case g.DropBackend != nil:
		return DropBackend{Pool: name, Backend: b.configName("BACKEND", g.DropBackend)}
	}
	alter := AlterPool{Name: name}
	seen := map[string]bool{}
	for _, option := range g.Options {
		if option.Model != nil {
			b.fail(option.Pos, "MODEL: a pool keeps its model; allowed are VERSION BOUND, PRIORITY, MAX IN FLIGHT and IDLE WEIGHT")
			continue
		}
		b.option(seen, option, &alter.Options)
	}
	return alter
}

func (b *builder) once(seen map[string]bool, key string, at lexer.Position) {
	if seen[key] {
		b.fail(at, "%s: named twice; allowed is once", key)
	}
	seen[key] = true
}

func (b *builder) option(seen map[string]bool, g *optionGrammar, options *PoolOptions) {
	switch {
	case g.VersionBound != nil:
		b.once(seen, "VERSION BOUND", g.Pos)
		bound := b.whole("VERSION BOUND", g.VersionBound, 0, maxVersionBound)
		options.VersionBound = &bound
	case g.Priority != nil:
		b.once(seen, "PRIORITY", g.Pos)
		priority := int(b.whole("PRIORITY", g.Priority, int64(api.PriorityLive), int64(api.PriorityLowest)))
		options.Priority = &priority
	case g.MaxInFlight != nil:
		b.once(seen, "MAX IN FLIGHT", g.Pos)
		limit := int(b.whole("MAX IN FLIGHT", g.MaxInFlight, 1, maxInFlight))
		options.MaxInFlight = &limit
	case g.IdleWeight != nil:
		b.once(seen, "IDLE WEIGHT", g.Pos)
		weight := b.share("IDLE WEIGHT", g.IdleWeight)
		options.IdleWeight = &weight
	}
}

func (b *builder) backend(g *backendGrammar) configlog.Backend {
	return configlog.Backend{
		Name:    b.configName("BACKEND", g.Name),
		Address: b.address(g.Address),
		Zone:    b.configName("ZONE", g.Zone),
		Region:  b.optionalName("REGION", g.Region),
		Site:    b.optionalName("SITE", g.Site),
	}
}

func (b *builder) optionalName(key string, g *nameGrammar) string {
	if g == nil {
		return ""
	}
	return b.configName(key, g)
}

// whole reads a whole number within bounds.
func (b *builder) whole(key string, g *numberGrammar, low, high int64) int64 {
	value, err := strconv.ParseInt(g.Text, 10, 64)
	if err != nil || value < low || value > high {
		b.fail(g.Pos, "%s: %s is not allowed; allowed are whole numbers from %d to %d", key, g.Text, low, high)
	}
	return value
}

// share reads a number from 0 to 1.
func (b *builder) share(key string, g *numberGrammar) float64 {
	value, err := strconv.ParseFloat(g.Text, 64)
	if err != nil || value < 0 || value > 1 || math.Signbit(value) {
		b.fail(g.Pos, "%s: %s is not allowed; allowed are numbers from 0 to 1", key, g.Text)
	}
	return value
}

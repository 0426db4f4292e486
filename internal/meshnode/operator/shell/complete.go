package shell

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// completer implements readline.AutoCompleter.
type completer struct {
	names *nameCache
	// before holds the earlier lines of the statement.
	before string
}

// Do implements readline.AutoCompleter: it returns the rest of each word that
// begins with what stands before the cursor.
func (c *completer) Do(line []rune, position int) ([][]rune, int) {
	text := line[:position]
	start := wordStart(text)
	typed := string(text[start:])
	completion := query.Complete(c.before + string(text[:start]))
	var rests [][]rune
	for _, keyword := range completion.Words {
		if rest, ok := restOfKeyword(keyword, typed); ok {
			rests = append(rests, []rune(rest+" "))
		}
	}
	for _, name := range append(slices.Clone(completion.Columns), c.names.of(completion.Name)...) {
		if rest, ok := strings.CutPrefix(name, typed); ok {
			rests = append(rests, []rune(rest))
		}
	}
	return rests, len([]rune(typed))
}

// wordStart returns the place where the last word of the text begins.
func wordStart(text []rune) int {
	start := len(text)
	for start > 0 && isWordRune(text[start-1]) {
		start--
	}
	return start
}

func isWordRune(r rune) bool {
	return unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("_-.:/", r)
}

// restOfKeyword returns what is missing of a keyword, in the case of what
// stands. Marks such as ( are not offered: they are faster typed than chosen.
func restOfKeyword(keyword, typed string) (string, bool) {
	if !isWordRune([]rune(keyword)[0]) || len(keyword) < len(typed) || !strings.EqualFold(keyword[:len(typed)], typed) {
		return "", false
	}
	rest := keyword[len(typed):]
	if typed != "" && typed == strings.ToLower(typed) {
		rest = strings.ToLower(rest)
	}
	return rest, true
}

const (
	// namesValidity is how long fetched names are offered without asking again.
	namesValidity = 5 * time.Second
	// namesTimeout bounds the wait for names when the operator hits Tab.
	namesTimeout = time.Second
)

// nameCache keeps the names that the node knows.
type nameCache struct {
	ctx    context.Context
	client *operator.Client

	mu      sync.Mutex
	fetched map[query.NameKind]fetchedNames
}

type fetchedNames struct {
	names []string
	at    time.Time
}

func newNameCache(ctx context.Context, client *operator.Client) *nameCache {
	return &nameCache{ctx: ctx, client: client, fetched: map[query.NameKind]fetchedNames{}}
}

// nameSource is where names of a kind are found.
type nameSource struct {
	statements string
	column     string
}

var nameSources = map[query.NameKind]nameSource{
	query.NamePool:    {"SHOW pools", "name"},
	query.NameBackend: {"SHOW engines; SHOW applications", "name"},
	query.NameNode:    {"SHOW nodes", "name"},
	query.NameZone:    {"SHOW regions", "zone"},
	query.NameSite:    {"SHOW regions", "site"},
	query.NameSetting: {"SHOW settings", "key"},
}

// of returns the names of a kind, none where they cannot be had in time.
func (c *nameCache) of(kind query.NameKind) []string {
	source, known := nameSources[kind]
	if !known {
		return nil
	}
	c.mu.Lock()
	last, have := c.fetched[kind]
	c.mu.Unlock()
	if have && time.Since(last.at) < namesValidity {
		return last.names
	}
	names := c.fetch(source)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetched[kind] = fetchedNames{names: names, at: time.Now()}
	return names
}

func (c *nameCache) fetch(source nameSource) []string {
	ctx, cancel := context.WithTimeout(c.ctx, namesTimeout)
	defer cancel()
	var names []string
	// Completion is a convenience: without an answer there is nothing to offer.
	_, _ = c.client.Query(ctx, operator.QueryRequest{Statements: source.statements}, func(result query.Result) {
		if result.Table != nil {
			names = append(names, columnTexts(*result.Table, source.column)...)
		}
	})
	slices.Sort(names)
	return slices.Compact(names)
}

func columnTexts(table query.Table, column string) []string {
	index := table.Column(column)
	var texts []string
	for _, row := range table.Rows {
		if index >= 0 && row[index].Kind() == query.KindText {
			texts = append(texts, row[index].AsText())
		}
	}
	return texts
}

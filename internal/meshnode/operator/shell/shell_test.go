package shell

import (
	"context"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// fakeExecutor knows two pools, and has no answer on leases.
type fakeExecutor struct{}

func (fakeExecutor) Parse(source string) ([]query.Parsed, error) { return query.Parse(source, nil) }

func (fakeExecutor) Run(_ context.Context, _ query.Batch, statements []query.Parsed, emit func(query.Result)) query.Summary {
	for index, parsed := range statements {
		show := parsed.Statement.(query.Show)
		if show.Table == query.TableLeases {
			emit(query.Result{Index: index, Problem: &api.Error{Code: api.CodeNotReady, Message: "no leases here"}})
			return query.Summary{Done: index, Failed: index}
		}
		table := query.Table{Name: show.Table, Columns: []query.Column{{Name: "name", Kind: query.KindText}}, AsOf: time.UnixMilli(0)}
		for _, name := range []string{"chat", "board"} {
			table.Rows = append(table.Rows, query.Row{query.Text(name)})
		}
		emit(query.Result{Index: index, Table: &table})
	}
	return query.Summary{Done: len(statements), Failed: -1}
}

func newTestClient(t *testing.T) *operator.Client {
	logger, _ := logtest.NewNullLogger()
	server := httptest.NewServer(operator.NewServer(logger, operator.ServerConfig{Node: "n", Executor: fakeExecutor{}}).Handler())
	t.Cleanup(server.Close)
	return operator.NewClient(server.Client(), server.Listener.Addr().String())
}

// TestPlainInput covers statements over several lines, comments, a last
// statement without a semicolon, and where the shell stops.
func TestPlainInput(t *testing.T) {
	cases := []struct {
		name, input string
		code        operator.ExitCode
		tables      int
	}{
		{"over lines", "-- pools\nSHOW pools\n  LIMIT 2; -- done\n\nSHOW nodes;\n", operator.ExitDone, 2},
		{"no last semicolon", "SHOW pools;\nSHOW nodes", operator.ExitDone, 2},
		{"exit", "SHOW pools;\nexit\nSHOW nodes;", operator.ExitDone, 1},
		{"stops at no answer", "SHOW pools;\nSHOW leases;\nSHOW nodes;", operator.ExitNo, 1},
		{"stops at a mistake", "SHOW pool;\nSHOW nodes;", operator.ExitSyntax, 0},
		{"quote never ends", "SHOW pools WHERE name = 'a;\nSHOW nodes;", operator.ExitSyntax, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var b strings.Builder
			code, err := Run(t.Context(), Config{Client: newTestClient(t), Input: io.NopCloser(strings.NewReader(c.input)), Output: &b})
			if err != nil || code != c.code || strings.Count(b.String(), "heard from") != c.tables {
				t.Errorf("exit code %d, error %v, output\n%s", code, err, b.String())
			}
		})
	}
}

func TestCompletion(t *testing.T) {
	completer := &completer{names: newNameCache(t.Context(), newTestClient(t)), before: "SHOW nodes;\n"}
	cases := []struct {
		line string
		want []string
	}{
		{"sho", []string{"w "}},
		{"SHOW le", []string{"ases "}},
		{"SHOW leases WHERE ho", []string{"lder"}},
		{"ALTER POOL c", []string{"hat"}},
		{"ALTER POOL chat ", []string{"DROP ", "SET ", "ADD "}},
		{"ALTER POOL C", nil},
		{"SHOW pools LIMIT ", nil},
	}
	for _, c := range cases {
		rests, _ := completer.Do([]rune(c.line), len([]rune(c.line)))
		var got []string
		for _, rest := range rests {
			got = append(got, string(rest))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%q: %q, want %q", c.line, got, c.want)
		}
	}
}

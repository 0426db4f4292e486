package cli

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

const examples = "../../examples"

type demoStub struct {
	summary DemoSummary
	err     error
}

func (d demoStub) RunDemo(context.Context, DemoOptions) (DemoSummary, error) { return d.summary, d.err }

func runTool(demo DemoRunner, args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	env := &Environment{
		Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errOut,
		HTTPClient: &http.Client{}, Version: "v0", Demo: demo,
	}
	code = Run(context.Background(), env, args)
	return code, out.String(), errOut.String()
}

func TestExitCodes(t *testing.T) {
	good := filepath.Join(examples, "node-1.ini")
	bad := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(bad, []byte("name = n1\nnmae = n1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	events := []history.Event{
		{Kind: history.KindRequestAnswered, RequestID: "r1", Outcome: api.OutcomeRefused},
		{Kind: history.KindStreamStarted, RequestID: "r1", Process: "e1"},
	}
	kept := demoStub{summary: DemoSummary{History: history.CheckEvents("demo", events[:1])}}
	broken := demoStub{summary: DemoSummary{History: history.CheckEvents("demo", events)}}
	histories := filepath.Join(t.TempDir(), "history.jsonl")
	refusedAndRun := `{"kind":"request_answered","request_id":"r1","outcome":"refused"}` + "\n" + `{"kind":"stream_started","request_id":"r1","process":"e1"}` + "\n"
	if err := os.WriteFile(histories, []byte(refusedAndRun), 0o600); err != nil {
		t.Fatal(err)
	}
	const nobody = "127.0.0.1:1"
	tests := []struct {
		name string
		demo DemoRunner
		args []string
		code int
		// want is in the standard output of codes 0 and 1, else in the standard
		// error.
		want string
	}{
		{"version", nil, []string{"version"}, ExitDone, "sliplift v0"},
		{"help", nil, []string{"load", "--help"}, ExitDone, "Examples:"},
		{"no command", nil, nil, ExitUsage, "specify one command"},
		{"unknown command", nil, []string{"fly"}, ExitUsage, "Unknown command `fly'"},
		{"unknown flag", nil, []string{"version", "--fast"}, ExitUsage, "unknown flag `fast'"},
		{"stray argument", nil, []string{"version", "1"}, ExitUsage, `unexpected argument "1"`},
		{"settings accepted", nil, []string{"check-config", good}, ExitDone, "accepted"},
		{"settings refused", nil, []string{"check-config", bad}, ExitNo, `bad.ini:2: nmae = "n1": unknown option`},
		{"settings of another kind", nil, []string{"check-config", "--kind", "emulator", good}, ExitNo, "refused"},
		{"promises kept", kept, []string{"demo"}, ExitDone, "refused means not run"},
		{"promise broken", broken, []string{"demo"}, ExitNo, "promise 5: "},
		{"nothing judged", demoStub{}, []string{"demo"}, ExitNo, "events checked"},
		{"demo as JSON", broken, []string{"demo", "-o", "json"}, ExitNo, `"state":"broken"`},
		{"history broken", nil, []string{"check-history", histories}, ExitNo, "promise 5: "},
		{"history missing", nil, []string{"check-history", histories + "x"}, ExitUsage, "no such file"},
		{"explain without a log", nil, []string{"explain", "some-id"}, ExitUsage, "log"},
		{"explain with a log that is not there", nil, []string{"explain", "--log", histories + "x", "some-id"}, ExitUsage, "no such file"},
		{"explain an unknown id", nil, []string{"explain", "--log", histories, "some-id"}, ExitNo, "no line names this id"},
		{"promise unknown", nil, []string{"check-history", "--require", "10", histories}, ExitUsage, "from 1 to 9"},
		{"demo not run", demoStub{err: errors.New("port taken")}, []string{"demo"}, ExitNo, ""},
		{"demo without nodes", demoStub{}, []string{"demo", "--nodes", "0"}, ExitUsage, "at least 1"},
		{"no statement", nil, []string{"query"}, ExitUsage, "give statements"},
		{"no node", nil, []string{"query", "-n", nobody, "SHOW nodes"}, ExitNo, "nothing was sent"},
		{"shell without statements", nil, []string{"shell", "-n", nobody}, ExitDone, ""},
		{"load without a pool", nil, []string{"load"}, ExitUsage, "--pool"},
		{"load at nobody", nil, []string{"load", "--pool", "p", "-n", nobody, "--requests", "3"}, ExitNo, "unknown"},
		{"load of nothing", nil, []string{"load", "--pool", "p", "--duration", "0s"}, ExitUsage, "--duration must be longer"},
		{"load without samples", nil, []string{"load", "--pool", "p", "--samples", "0"}, ExitUsage, "--samples must be at least 1"},
		{"load at a name", nil, []string{"load", "--pool", "p", "-n", "nobody"}, ExitUsage, "flag `-n, --node': must be IP:PORT or NAME=IP:PORT"},
		{"history not writable", nil, []string{"load", "--pool", "p", "--history-file", "/no/file"}, ExitUsage, "--history-file: "},
		{"question to a name", nil, []string{"query", "-n", "localhost:7001", "SHOW nodes"}, ExitUsage, "must be IP:PORT"},
		{"settings missing", nil, []string{"check-config", good + "x"}, ExitUsage, "no such file"},
		{"baseline too short", nil, []string{"load", "--pool", "p", "--baseline-engine", nobody, "--duration", "1s"}, ExitUsage, "at least 2s"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := runTool(test.demo, test.args...)
			text := stdout
			if code == ExitUsage {
				text = stderr
			}
			if code != test.code || !strings.Contains(text, test.want) {
				t.Errorf("code %d, want %d; %q not in:\n%s%s", code, test.code, test.want, stdout, stderr)
			}
		})
	}
}

func TestEveryCommandHasExamplesOfItself(t *testing.T) {
	for _, spec := range specifications() {
		if len(spec.examples) == 0 {
			t.Errorf("%s has no examples", spec.name)
		}
		for _, example := range spec.examples {
			if !strings.HasPrefix(example, "sliplift "+spec.name) {
				t.Errorf("%s: example %q", spec.name, example)
			}
		}
	}
}

// TestExampleFiles checks that what the README names is accepted.
func TestExampleFiles(t *testing.T) {
	nodes, err := filepath.Glob(filepath.Join(examples, "node-*.ini"))
	if err != nil || len(nodes) != 3 {
		t.Fatalf("got %q, %v", nodes, err)
	}
	if code, stdout, _ := runTool(nil, append([]string{"check-config"}, nodes...)...); code != ExitDone {
		t.Error(stdout)
	}
	emulator := filepath.Join(examples, "emulator.ini")
	if code, stdout, _ := runTool(nil, "check-config", "--kind", "emulator", emulator); code != ExitDone {
		t.Error(stdout)
	}
	pools, err := os.ReadFile(filepath.Join(examples, "pools.sql"))
	if err != nil {
		t.Fatal(err)
	}
	if statements, err := query.Parse(string(pools), nil); err != nil || len(statements) != 3 {
		t.Errorf("got %d statements, %v", len(statements), err)
	}
}

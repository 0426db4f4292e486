package cli

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/operator/catalog"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// newOperatorPort serves a configuration with one engine of the pool chat at
// each site, that of the new one drained. Changes are refused by a panic: none
// may come.
func newOperatorPort(t *testing.T) string {
	state := configlog.EmptyState()
	state.Revision = 3
	state.Pools["chat"] = configlog.Pool{Name: "chat", Kind: configlog.PoolEngines, Backends: []configlog.Backend{
		{Name: "old-1", Site: "old"}, {Name: "new-1", Site: "new"}}}
	state.Drains["engine/new-1"] = configlog.Drain{Scope: configlog.DrainEngine, Name: "new-1"}
	logger, _ := logtest.NewNullLogger()
	tables := catalog.NewCatalog(logger, catalog.Config{Node: "node-1"}, catalog.Sources{
		Config:  func() (*configlog.State, bool) { return state, true },
		Members: func() []catalog.Member { return nil },
		Reports: func() []catalog.Report {
			return []catalog.Report{
				{Load: api.LoadReport{Backend: "old-1", Running: 2, Capacity: 8, Role: api.RoleServing}, Node: "node-1"},
				{Load: api.LoadReport{Backend: "new-1", Capacity: 8, Role: api.RoleDraining}, Node: "node-1"},
			}
		},
		Steps: func() []catalog.Step { return nil },
	}, nil)
	server := httptest.NewServer(operator.NewServer(logger, operator.ServerConfig{
		Node: "node-1", Executor: query.NewExecutor(logger, query.Config{Node: "node-1"}, tables, noChanges{}),
		Status: func() operator.Status { return operator.Status{Node: "node-1", Revision: state.Revision} },
	}).Handler())
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// noChanges implements query.Changes for a test in which none may be made.
type noChanges struct{}

func (noChanges) Submit(context.Context, configlog.Change) configlog.Result {
	panic("a change was made")
}
func (noChanges) Lookup(context.Context, string) configlog.Result { panic("a change was looked up") }
func (noChanges) InForce(context.Context, int64) configlog.ForceReport {
	panic("a change was looked up")
}

func TestPlanMigrate(t *testing.T) {
	address := newOperatorPort(t)
	move := []string{"plan", "migrate", "--pool", "chat", "--from", "old", "--to", "new", "--observe", time.Millisecond.String(), "--operator", address}
	tests := []struct {
		name string
		args []string
		code int
		// want is in the standard output or, of a fault, in the standard error.
		want string
	}{
		{"plan", move, ExitDone, "nothing was changed"},
		{"not enough capacity", append(move, "--min-free", "0.9"), ExitNo, "the plan is not complete"},
		{"not applied where incomplete", append(move, "--min-free", "0.9", "--apply"), ExitNo, "nothing was changed"},
		{"undo before the move", append(move, "--undo", "--apply", "--except", "new-1"), ExitNo, ""},
		{"no such pool", append(move, "--pool", "chess"), ExitNo, ""},
		{"no node", append(move, "--operator", "127.0.0.1:1"), ExitNo, ""},
		{"share out of bounds", append(move, "--wave-share", "1.5"), ExitUsage, "wave share 1.5"},
		{"no pool named", []string{"plan", "migrate", "--from", "old", "--to", "new"}, ExitUsage, "--pool"},
		{"no operation", []string{"plan"}, ExitUsage, "migrate"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := runTool(nil, test.args...)
			if code != test.code || !strings.Contains(stdout+stderr, test.want) {
				t.Errorf("code %d, want %d; %q not in:\n%s%s", code, test.code, test.want, stdout, stderr)
			}
		})
	}
	code, stdout, _ := runTool(nil, append(move, "--output", "json")...)
	var line migrateLine
	if err := json.Unmarshal([]byte(stdout), &line); err != nil || code != ExitDone {
		t.Fatalf("code %d, %v: %s", code, err, stdout)
	}
	if line.Plan == nil || !line.Plan.Complete || len(line.Plan.Waves) != 1 || line.Plan.Revision != 3 {
		t.Errorf("plan %s", stdout)
	}
}

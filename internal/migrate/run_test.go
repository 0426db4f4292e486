package migrate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/operator/catalog"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

var _ Port = (*operator.Client)(nil)

// cluster is a node's operator port, with the product's server, language and
// tables, over engines and a configuration log that obey a script.
type cluster struct {
	log    *configlog.Log
	server http.Handler
	began  time.Time
	// faults come with the changes of these numbers, counted from 1.
	faults  map[int]string
	changes int
	// behind, silent and unconfirmed name engines and nodes that lag.
	behind, silent, unconfirmed map[string]bool
	// lagsEnd is when they have caught up; zero for never.
	lagsEnd time.Time
	// broken is what becomes of the next answer of the port.
	broken string
}

func newCluster(engines int) *cluster {
	c := &cluster{log: configlog.NewLog(), began: time.Now(), faults: map[int]string{},
		behind: map[string]bool{}, silent: map[string]bool{}, unconfirmed: map[string]bool{}}
	pool := configlog.Pool{Name: "chat", Kind: configlog.PoolEngines}
	for _, site := range []string{"old", "new"} {
		for number := 1; number <= engines; number++ {
			pool.Backends = append(pool.Backends, configlog.Backend{
				Name: fmt.Sprintf("%s-%d", site, number), Address: fmt.Sprintf("10.0.0.%d:9000", len(pool.Backends)+1), Zone: "hall-" + site, Site: site})
		}
	}
	c.mustApply("anna", configlog.Operation{CreatePool: &configlog.CreatePool{Pool: pool}})
	c.publish()
	for _, backend := range pool.Backends[engines:] {
		c.mustApply("anna", drainOf(backend.Name))
	}
	c.server = c.newServer()
	return c
}

func drainOf(engine string) configlog.Operation {
	return configlog.Operation{AddDrain: &configlog.AddDrain{Scope: configlog.DrainEngine, Name: engine}}
}

func (c *cluster) publish() {
	version := c.log.State().Pools["chat"].Version + 1
	c.mustApply("trainer", configlog.Operation{PublishVersion: &configlog.PublishVersion{Pool: "chat", Version: version}})
}

func (c *cluster) newServer() http.Handler {
	logger, _ := logtest.NewNullLogger()
	tables := catalog.NewCatalog(logger, catalog.Config{Node: "node-1"}, catalog.Sources{
		Config:  func() (*configlog.State, bool) { return c.log.State(), true },
		Entries: func() []configlog.Entry { entries, _ := c.log.EntriesAfter(0); return entries },
		Members: func() []catalog.Member { return []catalog.Member{{Name: "node-1"}, {Name: "node-2"}} },
		Reports: c.reports,
		Steps: func() []catalog.Step {
			return []catalog.Step{{Trainer: "titles", Step: 1, Pool: "chat", Finished: int(8 * time.Since(c.began).Seconds())}}
		},
	}, nil)
	return operator.NewServer(logger, operator.ServerConfig{
		Node:     "node-1",
		Executor: query.NewExecutor(logger, query.Config{Node: "node-1"}, tables, c),
		Status:   func() operator.Status { return operator.Status{Node: "node-1", Revision: c.log.Revision()} },
	}).Handler()
}

// catchUp ends the lags whose time is over.
func (c *cluster) catchUp() {
	if !c.lagsEnd.IsZero() && time.Now().After(c.lagsEnd) {
		clear(c.behind)
		clear(c.unconfirmed)
	}
}

func (c *cluster) reports() []catalog.Report {
	c.catchUp()
	var reports []catalog.Report
	pool := c.log.State().Pools["chat"]
	for _, backend := range pool.Backends {
		if c.silent[backend.Name] {
			continue
		}
		load := api.LoadReport{Backend: backend.Name, Running: 4, Capacity: 8, Version: pool.TargetVersion(), Role: api.RoleServing}
		if c.log.State().Drained(backend) {
			load.Running, load.Role = 0, api.RoleDraining
		}
		if c.behind[backend.Name] {
			load.Version--
		}
		reports = append(reports, catalog.Report{Load: load, Node: "node-1"})
	}
	return reports
}

func (c *cluster) mustApply(author string, operation configlog.Operation) {
	id := fmt.Sprintf("%s-%d", author, c.log.Revision())
	if err := c.apply(configlog.Change{ID: id, Author: author, Operation: operation}); err != nil {
		panic(err)
	}
}

func (c *cluster) apply(change configlog.Change) error {
	log, err := c.log.Extend(configlog.Entry{Revision: c.log.Revision() + 1, Change: change})
	if err == nil {
		c.log = log
	}
	return err
}

// Submit implements query.Changes with the fault of the script.
func (c *cluster) Submit(_ context.Context, change configlog.Change) configlog.Result {
	if revision, made := c.log.Find(change.ID); made {
		return configlog.Result{Outcome: configlog.OutcomeAccepted, Revision: revision}
	}
	c.changes++
	fault := c.faults[c.changes]
	switch fault {
	case "rival":
		c.mustApply("bob", configlog.Operation{SetSetting: &configlog.SetSetting{Name: "drain.grace", Value: "20s"}})
	case "publish":
		c.publish()
	case "unavailable":
		return configlog.Result{Outcome: configlog.OutcomeUnavailable, Message: "the table does not answer"}
	case "not-made":
		return configlog.Result{Outcome: configlog.OutcomeUnknown}
	case "not-made-and-rival":
		c.mustApply("bob", drainOf("old-4"))
		return configlog.Result{Outcome: configlog.OutcomeUnknown}
	case "cut", "dead":
		c.broken = fault
	}
	if err := c.apply(change); err != nil {
		return configlog.Result{Outcome: configlog.OutcomeConflict, BeatenBy: change.IfRevision + 1, Message: err.Error()}
	}
	if fault == "made" {
		return configlog.Result{Outcome: configlog.OutcomeUnknown}
	}
	return configlog.Result{Outcome: configlog.OutcomeAccepted, Revision: c.log.Revision()}
}

// Lookup implements query.Changes.
func (c *cluster) Lookup(_ context.Context, id string) configlog.Result {
	if revision, found := c.log.Find(id); found {
		return configlog.Result{Outcome: configlog.OutcomeAccepted, Revision: revision}
	}
	return configlog.Result{Outcome: configlog.OutcomeUnknown}
}

// InForce implements query.Changes.
func (c *cluster) InForce(_ context.Context, revision int64) configlog.ForceReport {
	c.catchUp()
	report := configlog.ForceReport{Revision: revision}
	for _, node := range []string{"node-1", "node-2"} {
		if c.unconfirmed[node] {
			report.Missing = append(report.Missing, configlog.MissingMember{Name: node, Reason: configlog.MissingUnreachable})
			continue
		}
		report.Confirmed = append(report.Confirmed, node)
	}
	return report
}

// RoundTrip implements http.RoundTripper without a network. After a cut one
// answer is lost; a node that is dead gives none any more.
func (c *cluster) RoundTrip(request *http.Request) (*http.Response, error) {
	if c.broken == "dead" {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	c.server.ServeHTTP(recorder, request)
	switch c.broken {
	case "cut":
		c.broken = ""
		return nil, errors.New("connection reset")
	case "dead":
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return recorder.Result(), nil
}

// TestRun plays moves under faults. The command migrate takes the fault and the
// number of the change that it comes with, the engines or nodes that lag, and
// the step before which the operator presses Ctrl-C; with fresh on a new cluster.
// The command undisturbed prints a run without faults, and checks that runs with
// each of the faults at one change of the first two steps print the same.
func TestRun(t *testing.T) {
	datadriven.Walk(t, "testdata/run", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			var c *cluster
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if d.Cmd == "undisturbed" {
					return undisturbed(t, d)
				}
				if d.HasArg("fresh") {
					c = newCluster(4)
				}
				c.script(t, d)
				return c.migrate(t, d)
			})
		})
	})
}

func undisturbed(t *testing.T, d *datadriven.TestData) string {
	// The first step resumes two engines, the second drains two.
	const changes = 4
	reference := newCluster(4)
	want := reference.migrate(t, d)
	faults, _ := d.Arg("faults")
	for _, fault := range faults.Vals {
		for at := 1; at <= changes; at++ {
			c := newCluster(4)
			c.faults[at] = fault
			if got := c.migrate(t, d); got != want || c.changes < reference.changes {
				t.Errorf("%s at change %d:\n%s", fault, at, got)
			}
		}
	}
	return want
}

func (c *cluster) migrate(t *testing.T, d *datadriven.TestData) string {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	interrupt := -1
	d.MaybeScanArgs(t, "interrupt", &interrupt)
	var out bytes.Buffer
	report := func(event Event) {
		RenderEvent(&out, event)
		if interrupt--; interrupt == 0 {
			cancel()
		}
	}
	runner, options := c.newRunner(report)
	options.WaveShare = 0.5
	options.Undo = d.HasArg("undo")
	plan, err := runner.Plan(ctx, options)
	if err != nil {
		return err.Error()
	}
	if d.HasArg("late") {
		c.mustApply("bob", drainOf("old-4"))
	}
	RenderOutcome(&out, plan, runner.Apply(ctx, plan))
	return regexp.MustCompile(`'[0-9a-f-]{36}'`).ReplaceAllString(out.String(), "'id'")
}

// newRunner returns a runner through the port, and the options of the move.
func (c *cluster) newRunner(report func(Event)) (*Runner, Options) {
	logger, _ := logtest.NewNullLogger()
	options := DefaultOptions()
	options.Pool, options.From, options.To = "chat", "old", "new"
	return NewRunner(logger, Config{Author: "anna", Report: report}, operator.NewClient(&http.Client{Transport: c}, "node-1:7001")), options
}

func (c *cluster) script(t *testing.T, d *datadriven.TestData) {
	c.faults, c.changes, c.broken = map[int]string{}, 0, ""
	for _, lagging := range []map[string]bool{c.behind, c.silent, c.unconfirmed} {
		clear(lagging)
	}
	if d.HasArg("fault") {
		var fault string
		var at int
		d.ScanArgs(t, "fault", &fault)
		d.ScanArgs(t, "at", &at)
		c.faults[at] = fault
	}
	for key, lagging := range map[string]map[string]bool{"behind": c.behind, "silent": c.silent, "unconfirmed": c.unconfirmed} {
		var name string
		if d.MaybeScanArgs(t, key, &name); name != "" {
			lagging[name] = true
		}
	}
}

// TestLagEnds checks that a run goes on by itself once what it waited for has
// come about.
func TestLagEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2)
		c.behind["new-1"], c.behind["new-2"], c.unconfirmed["node-2"] = true, true, true
		var waited []string
		runner, options := c.newRunner(func(event Event) {
			if event.Step.Action == ActionWait {
				waited = append(waited, event.Step.Reason)
				c.lagsEnd = time.Now().Add(5 * time.Second)
			}
		})
		plan, err := runner.Plan(t.Context(), options)
		if err != nil || plan.FinishMS == nil || *plan.FinishMS != 1000 {
			t.Fatalf("plan %+v, %v", plan, err)
		}
		outcome := runner.Apply(t.Context(), plan)
		if outcome.State != StateDone || !outcome.Current || len(waited) != 1 || !strings.Contains(waited[0], "node-2") {
			t.Errorf("outcome %+v after waiting for %q", outcome, waited)
		}
		entries, _ := c.log.EntriesAfter(plan.Revision)
		var changes []string
		for _, entry := range entries {
			changes = append(changes, entry.Change.Operation.String())
			if entry.Change.IfRevision != entry.Revision-1 || entry.Change.Author != "anna" {
				t.Errorf("revision %d by %s was meant for %d", entry.Revision, entry.Change.Author, entry.Change.IfRevision)
			}
		}
		want := []string{"resume engine new-1", "drain engine old-1", "resume engine new-2", "drain engine old-2"}
		if !slices.Equal(changes, want) {
			t.Errorf("changes %q, want %q", changes, want)
		}
	})
}

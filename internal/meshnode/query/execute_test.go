package query

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// The product's configuration service is what the executor asks.
var _ Changes = (*configlog.Service)(nil)

// fakeCatalog answers with fixed tables.
type fakeCatalog struct{}

func (fakeCatalog) Show(_ context.Context, name TableName) (Table, error) {
	table := NewTable(name, time.Now(), "node-1", "node-2")
	switch name {
	case TableEngines:
		fillEngines(&table)
	case TableNodes:
		return table, fmt.Errorf("this node has no membership to show")
	}
	return table, nil
}

func fillEngines(table *Table) {
	table.NotHeard = []string{"node-3"}
	row := func(name, role string, running int, age time.Duration, drained bool) {
		table.Append(Text(name), Text("chat"), Text("hall-1"), Text("cardiff"), None(), Text(role),
			Int(running), Int(0), Int(8), Int(12), None(), Duration(age), Bool(drained), Text("node-1"), Text("10.0.0.1:9000"))
	}
	row("engine-1", "serving", 5, 120*time.Millisecond, false)
	row("engine-2", "draining", 2, 1500*time.Millisecond, true)
	table.Append(Text("engine-3"), Text("chat"), Text("hall-2"), Text("cardiff"), None(), Unknown(),
		Unknown(), Unknown(), Unknown(), Unknown(), Unknown(), Unknown(), Bool(false), Unknown(), Text("10.0.0.3:9000"))
	row("engine-4", "serving", 7, 90*time.Second, false)
}

func (fakeCatalog) Explain(_ context.Context, requestID string) (Table, error) {
	table := NewTable(TableExplain, time.Now(), "node-1")
	table.Append(Duration(0), Text("node-1"), Int(1), Text("chosen"), Text("engine-1"), Text("least loaded of 3"))
	table.Append(Duration(2100*time.Millisecond), Text("node-1"), Int(1), Text("answered"), Text("engine-1"), None())
	return table, nil
}

// fakeChanges is a configuration log without a store. The test says what
// becomes of the next change.
type fakeChanges struct {
	log *configlog.Log
	// next is the fate of the next change; empty means that it is applied.
	next string
	// confirmAfter is the time from a revision to a node's confirmation.
	confirmAfter map[string]time.Duration
	acceptedAt   map[int64]time.Time
	// submitTime is how long a change takes; it is lost if its context ends.
	submitTime time.Duration
}

func (f *fakeChanges) Submit(ctx context.Context, change configlog.Change) configlog.Result {
	time.Sleep(f.submitTime)
	if ctx.Err() != nil {
		return configlog.Result{Outcome: configlog.OutcomeUnknown}
	}
	next := f.next
	f.next = ""
	switch next {
	case "unavailable":
		return configlog.Result{Outcome: configlog.OutcomeUnavailable, Revision: f.log.Revision(), Code: "store_unavailable",
			Message: "nothing was changed: the table does not answer"}
	case "lost":
		f.apply(change)
		return configlog.Result{Outcome: configlog.OutcomeUnknown, Revision: f.log.Revision() - 1, Message: "the answer was lost"}
	}
	if err := f.apply(change); err != nil {
		return f.refusal(change, err)
	}
	return configlog.Result{Outcome: configlog.OutcomeAccepted, ID: change.ID, Revision: f.log.Revision()}
}

func (f *fakeChanges) refusal(change configlog.Change, err error) configlog.Result {
	result := configlog.Result{Outcome: configlog.OutcomeInvalid, Revision: f.log.Revision(), Code: "invalid_field", Message: err.Error()}
	if change.IfRevision != 0 {
		result.Outcome = configlog.OutcomeConflict
		result.BeatenBy = change.IfRevision + 1
	}
	return result
}

func (f *fakeChanges) apply(change configlog.Change) error {
	log, err := f.log.Extend(configlog.Entry{Revision: f.log.Revision() + 1, Change: change})
	if err != nil {
		return err
	}
	f.log = log
	f.acceptedAt[log.Revision()] = time.Now()
	return nil
}

func (f *fakeChanges) Lookup(_ context.Context, id string) configlog.Result {
	if revision, found := f.log.Find(id); found {
		return configlog.Result{Outcome: configlog.OutcomeAccepted, ID: id, Revision: revision}
	}
	return configlog.Result{Outcome: configlog.OutcomeUnknown, ID: id, Revision: f.log.Revision(),
		Message: fmt.Sprintf("not in the log as of revision %d; a write may still be under way", f.log.Revision())}
}

func (f *fakeChanges) InForce(_ context.Context, revision int64) configlog.ForceReport {
	report := configlog.ForceReport{Revision: revision, AsOf: time.Now()}
	for name, delay := range f.confirmAfter {
		switch {
		case delay < 0:
			report.Missing = append(report.Missing, configlog.MissingMember{Name: name, Reason: configlog.MissingUnreachable})
		case time.Since(f.acceptedAt[revision]) < delay:
			report.Missing = append(report.Missing, configlog.MissingMember{Name: name, Reason: configlog.MissingBehind, Revision: revision - 1})
		default:
			report.Confirmed = append(report.Confirmed, name)
		}
	}
	slices.Sort(report.Confirmed)
	slices.SortFunc(report.Missing, func(a, b configlog.MissingMember) int { return strings.Compare(a.Name, b.Name) })
	return report
}

// TestExecute tells the story of an operator's day. The command run takes what
// becomes of the next change, and from when on a node confirms changes.
func TestExecute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &fakeChanges{log: configlog.NewLog(), acceptedAt: map[int64]time.Time{}}
		changes.confirmAfter = map[string]time.Duration{"node-1": 0, "node-2": 300 * time.Millisecond, "node-3": time.Second}
		logger, _ := logtest.NewNullLogger()
		executor := NewExecutor(logger, Config{Node: "node-1", Settings: testSettings}, fakeCatalog{}, changes)
		batches := byte(0)
		datadriven.RunTest(t, "testdata/execute", func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "publish":
				version := configlog.PublishVersion{}
				d.ScanArgs(t, "pool", &version.Pool)
				d.ScanArgs(t, "version", &version.Version)
				if err := changes.apply(configlog.Change{ID: "published", Operation: configlog.Operation{PublishVersion: &version}}); err != nil {
					t.Fatal(err)
				}
				return ""
			case "run":
				output, width := string(OutputTable), 0
				d.MaybeScanArgs(t, "output", &output)
				d.MaybeScanArgs(t, "width", &width)
				d.MaybeScanArgs(t, "next-change", &changes.next)
				for name := range changes.confirmAfter {
					var delay string
					if d.MaybeScanArgs(t, name, &delay); delay != "" {
						changes.confirmAfter[name] = parseDelay(t, delay)
					}
				}
				batches++
				return runBatch(t, executor, uuid.UUID{15: batches}, d.Input, Output(output), width)
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

func parseDelay(t *testing.T, text string) time.Duration {
	if text == "never" {
		return -1
	}
	delay, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return delay
}

func runBatch(t *testing.T, executor *Executor, id uuid.UUID, source string, output Output, width int) string {
	statements, err := executor.Parse(source)
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	batch := NewBatch(id, "anna", source)
	summary := executor.Run(t.Context(), batch, statements, func(result Result) {
		if err := Render(&b, result, output, width); err != nil {
			t.Fatal(err)
		}
	})
	if summary.Failed >= 0 {
		fmt.Fprintf(&b, "done %d, failed at %d, not run %q\n", summary.Done, summary.Failed, summary.NotRun)
	}
	return b.String()
}

// TestCallerGone proves that no statement begins once nobody waits, and that a
// change that was begun is settled.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &fakeChanges{log: configlog.NewLog(), acceptedAt: map[int64]time.Time{}, submitTime: 2 * time.Second}
		logger, _ := logtest.NewNullLogger()
		executor := NewExecutor(logger, Config{Node: "node-1"}, fakeCatalog{}, changes)
		statements, err := executor.Parse("SET a = 1 WAIT 5 SECONDS; SET b = 2")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		summary := executor.Run(ctx, NewBatch(uuid.UUID{1}, "anna", ""), statements, func(Result) {})
		if changes.log.Revision() != 1 || summary.Failed != 0 || len(summary.NotRun) != 1 {
			t.Errorf("revision %d, summary %+v", changes.log.Revision(), summary)
		}
	})
}

// hangingChanges answers the first question after a revision and no later one.
type hangingChanges struct {
	*fakeChanges
	asked int
}

func (h *hangingChanges) InForce(ctx context.Context, revision int64) configlog.ForceReport {
	if h.asked++; h.asked == 1 {
		return h.fakeChanges.InForce(ctx, revision)
	}
	<-ctx.Done()
	return configlog.ForceReport{Revision: revision, AsOf: time.Now(), Missing: []configlog.MissingMember{{Name: "node-2", Reason: configlog.MissingUnreachable}}}
}

// TestWaitEndsDuringQuestion proves that an answer whose last question was cut
// short names those who confirmed, and when, of the question before.
func TestWaitEndsDuringQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := &hangingChanges{fakeChanges: &fakeChanges{log: configlog.NewLog(), acceptedAt: map[int64]time.Time{}}}
		changes.confirmAfter = map[string]time.Duration{"node-1": 0, "node-2": 0, "node-3": -1}
		logger, _ := logtest.NewNullLogger()
		executor := NewExecutor(logger, Config{Node: "node-1"}, fakeCatalog{}, changes)
		statements, err := executor.Parse("SET a = 1 WAIT 2 SECONDS")
		if err != nil {
			t.Fatal(err)
		}
		asked := time.Now()
		executor.Run(t.Context(), NewBatch(uuid.UUID{1}, "anna", ""), statements, func(result Result) {
			answer := result.Change
			if !slices.Equal(answer.Force.Confirmed, answer.HeardFrom) || len(answer.HeardFrom) != 2 || !answer.AsOf.Equal(asked) {
				t.Errorf("%+v, heard from %v as of %s", answer.Force, answer.HeardFrom, answer.AsOf)
			}
		})
	})
}

// TestTableJSONRoundTrip proves that a table that went over the wire says the
// same, unknown values included.
func TestTableJSONRoundTrip(t *testing.T) {
	table, _ := fakeCatalog{}.Show(t.Context(), TableEngines)
	// A number that a float64 cannot hold, as an incarnation may be.
	table.Rows[0][table.Column("version")] = Int(int64(1764660000123456789))
	data, err := table.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	var decoded Table
	if err := decoded.UnmarshalJSON(data); err != nil {
		t.Fatal(err)
	}
	if want, got := renderTable(table, 0), renderTable(decoded, 0); want != got {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

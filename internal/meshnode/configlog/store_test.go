package configlog

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/steptest"
)

// TestApply runs changes one after the other. Each line is an operation as JSON,
// after the revision that it is meant for, if any.
func TestApply(t *testing.T) {
	state := EmptyState()
	datadriven.RunTest(t, "testdata/apply", func(t *testing.T, d *datadriven.TestData) string {
		var printed strings.Builder
		for line := range strings.Lines(d.Input) {
			change := Change{ID: "x"}
			ifRevision, operation, _ := strings.Cut(line, "{")
			change.IfRevision, _ = strconv.ParseInt(strings.TrimSpace(ifRevision), 10, 64)
			if err := json.Unmarshal([]byte("{"+operation), &change.Operation); err != nil {
				d.Fatalf(t, "%v", err)
			}
			before, _ := json.Marshal(state)
			next, err := Apply(state, change)
			if after, _ := json.Marshal(state); string(before) != string(after) {
				d.Fatalf(t, "the old state was changed")
			}
			if err != nil {
				fmt.Fprintf(&printed, "refused: %v\n", err)
				continue
			}
			state = next
			text, _ := json.Marshal(state)
			fmt.Fprintf(&printed, "%s\n", text)
		}
		return printed.String()
	})
}

// TestStore plays operators against one table; each has its own, maybe stale,
// copy of the log.
func TestStore(t *testing.T) {
	datadriven.Walk(t, "testdata/store", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			world := &storeWorld{table: newFakeTable(), logs: map[string]*Log{}, open: map[string]int64{}}
			world.store = NewStore(world.table, 1, Faults{})
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return steptest.Run(t, d, world.run) })
		})
	})
}

type storeWorld struct {
	table *fakeTable
	store *Store
	logs  map[string]*Log
	open  map[string]int64
}

func (w *storeWorld) log(operator string) *Log {
	if w.logs[operator] == nil {
		w.logs[operator] = NewLog()
	}
	return w.logs[operator]
}

func (w *storeWorld) run(t *testing.T, d *datadriven.TestData) string {
	var operator, id, name string
	var ifRevision int64
	count := 1
	d.MaybeScanArgs(t, "by", &operator)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "drain", &name)
	d.MaybeScanArgs(t, "if", &ifRevision)
	d.MaybeScanArgs(t, "count", &count)
	switch d.Cmd {
	case "table":
		d.MaybeScanArgs(t, "lose-answers", &w.table.loseAnswers)
		w.table.down = d.HasArg("down")
		return fmt.Sprintf("%d rows\n", len(w.table.keys()))
	case "forget":
		_, _ = w.table.Service.Commit(t.Context(), api.Transaction{Deletes: w.table.keys()})
		return ""
	case "submit":
		return w.submit(operator, Change{ID: id, Author: operator, IfRevision: ifRevision, Operation: drainZone(name)})
	case "meanwhile": // runs just before the next commit takes effect
		thenDown, compact := d.HasArg("then-down"), d.HasArg("compact")
		w.table.beforeCommit = func() {
			if compact {
				w.settings(operator, id, count)
				_ = w.store.Compact(t.Context(), w.log(operator))
				return
			}
			w.submit(operator, Change{ID: id, Author: operator, Operation: drainZone(name)})
			w.table.down = thenDown
		}
		return ""
	case "settings":
		return w.settings(operator, id, count)
	case "compact":
		if err := w.store.Compact(t.Context(), w.log(operator)); err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d rows\n", len(w.table.keys()))
	case "read":
		log, err := w.store.Read(t.Context(), w.log(operator))
		if err != nil {
			return err.Error() + "\n"
		}
		w.logs[operator] = log
		return fmt.Sprintf("revision %d, n=%s\n", log.Revision(), log.State().Settings["n"])
	case "lookup":
		log, err := w.store.Read(t.Context(), w.log(operator))
		if err != nil {
			log = w.log(operator)
		}
		return w.print(lookupResult(log, id, w.open[id], err))
	}
	return "unknown command"
}

// settings submits changes of a setting, each under an id of its own.
func (w *storeWorld) settings(operator, id string, count int) string {
	for i := range count {
		value := fmt.Sprintf("%d", w.log(operator).Revision()+1)
		change := Change{ID: id + value, Operation: Operation{SetSetting: &SetSetting{Name: "n", Value: value}}}
		if answer := w.submit(operator, change); !strings.HasPrefix(answer, "accepted") {
			return fmt.Sprintf("change %d: %s", i, answer)
		}
	}
	return fmt.Sprintf("revision %d\n", w.log(operator).Revision())
}

func drainZone(zone string) Operation {
	return Operation{AddDrain: &AddDrain{Scope: DrainZone, Name: zone}}
}

func (w *storeWorld) submit(operator string, change Change) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result, log := w.store.Submit(ctx, w.log(operator), change)
	w.logs[operator] = log
	w.open[change.ID] = result.OpenRevision
	return w.print(result)
}

func (w *storeWorld) print(r Result) string {
	text := fmt.Sprintf("%s at %d", r.Outcome, r.Revision)
	if r.BeatenBy != 0 {
		text += fmt.Sprintf(", beaten by %d", r.BeatenBy)
	}
	return text + ": " + r.Message + "\n"
}

package table_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/server"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
	"github.com/sliplift/sliplift/internal/steptest"
)

// fixture is a table with a limit of one call a second and bursts of 4.
type fixture struct {
	faults *fault.Set
	client storeclient.Table
}

// TestTable runs every story in testdata twice: against the value itself and
// over HTTP. Both must give the same answers.
//
//	commit [if=KEY:REVISION,...] [put=KEY:VALUE,...] [delete=KEY,...]
//	get KEY
//	scan prefix=P [after=KEY] [limit=N]
//	fault KIND [count=N] [ms=N] [delay=N]
//	sleep MS
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		t.Run("direct", func(t *testing.T) {
			story(t, path, func(_ *testing.T, service *table.Service, _ *fault.Set) storeclient.Table { return service })
		})
		t.Run("http", func(t *testing.T) { story(t, path, overHTTP) })
	})
}

// story runs the file inside a bubble, where sleeping takes no time.
func story(t *testing.T, path string, connect func(*testing.T, *table.Service, *fault.Set) storeclient.Table) {
	synctest.Test(t, func(t *testing.T) {
		faults := fault.NewSet(1)
		defer faults.Close()
		config := table.Config{Name: "table", PerSecond: 1, Burst: 4}
		f := &fixture{faults: faults, client: connect(t, table.NewService(config, faults), faults)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return steptest.Run(t, d, f.command) })
	})
}

func overHTTP(t *testing.T, service *table.Service, faults *fault.Set) storeclient.Table {
	network := memnet.NewNetwork()
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	running, err := server.Start(lg, server.Config{
		Name: "table", Address: "table:1", Listen: network.Listen, Faults: faults, Handler: service.Handler(),
	})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{DialContext: network.Dialer("client")}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		running.Close()
	})
	return storeclient.NewClient(&http.Client{Transport: transport}, storeclient.Addresses{Table: "table:1"})
}

func (f *fixture) command(t *testing.T, d *datadriven.TestData) string {
	began := time.Now()
	answer := f.run(t, d)
	if waited := time.Since(began); waited > 0 && d.Cmd != "sleep" {
		answer = fmt.Sprintf("after %v: %s", waited, answer)
	}
	return answer
}

func (f *fixture) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "commit":
		response, err := f.client.Commit(t.Context(), transaction(t, d))
		return answer(fmt.Sprintf("revision %d", response.Revision), err)
	case "get":
		row, err := f.client.Get(t.Context(), d.CmdArgs[0].Key)
		return answer(rowText(row), err)
	case "scan":
		return f.scan(t, d)
	case "fault":
		wanted := fault.Fault{Target: "table", Kind: fault.Kind(d.CmdArgs[0].Key)}
		d.MaybeScanArgs(t, "count", &wanted.Count)
		d.MaybeScanArgs(t, "ms", &wanted.DurationMS)
		d.MaybeScanArgs(t, "delay", &wanted.DelayMS)
		_, err := f.faults.Add(wanted)
		return answer("", err)
	case "sleep":
		duration, err := time.ParseDuration(d.CmdArgs[0].Key)
		time.Sleep(duration)
		return answer("", err)
	}
	t.Fatalf("command %s", d.Cmd)
	return ""
}

func (f *fixture) scan(t *testing.T, d *datadriven.TestData) string {
	var prefix, after string
	var limit int
	d.MaybeScanArgs(t, "prefix", &prefix)
	d.MaybeScanArgs(t, "after", &after)
	d.MaybeScanArgs(t, "limit", &limit)
	response, err := f.client.Scan(t.Context(), prefix, after, limit)
	var text strings.Builder
	for _, row := range response.Rows {
		text.WriteString(rowText(row) + "; ")
	}
	return answer(fmt.Sprintf("%sas of %d, more %v", text.String(), response.Revision, response.More), err)
}

func transaction(t *testing.T, d *datadriven.TestData) api.Transaction {
	var built api.Transaction
	for _, arg := range d.CmdArgs {
		for _, value := range arg.Vals {
			key, rest, _ := strings.Cut(value, ":")
			switch arg.Key {
			case "if":
				condition := api.Condition{Key: key}
				if _, err := fmt.Sscan(rest, &condition.Revision); err != nil {
					t.Fatal(err)
				}
				built.Conditions = append(built.Conditions, condition)
			case "put":
				built.Puts = append(built.Puts, api.Put{Key: key, Value: []byte(rest)})
			case "delete":
				built.Deletes = append(built.Deletes, key)
			}
		}
	}
	return built
}

func rowText(row api.Row) string { return fmt.Sprintf("%s=%s @%d", row.Key, row.Value, row.Revision) }

func answer(text string, err error) string {
	var definite *api.Error
	switch {
	case errors.Is(err, storeclient.ErrUncertain):
		return "uncertain\n"
	case errors.As(err, &definite):
		return fmt.Sprintf("%s, retry after %d ms\n", definite.Code, definite.RetryAfterMS)
	case err != nil:
		return "unexpected: " + err.Error() + "\n"
	}
	return strings.TrimPrefix(text+"\n", "\n")
}

package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// fakeExecutor answers questions with an empty table and accepts changes, save
// those of settings whose key says otherwise.
type fakeExecutor struct{}

func (fakeExecutor) Parse(source string) ([]query.Parsed, error) { return query.Parse(source, nil) }

func (fakeExecutor) Run(ctx context.Context, batch query.Batch, statements []query.Parsed, emit func(query.Result)) query.Summary {
	for index, parsed := range statements {
		result := query.Result{Index: index, Statement: parsed.Text}
		switch statement := parsed.Statement.(type) {
		case query.Show:
			table := query.NewTable(statement.Table, time.UnixMilli(0), "node-1")
			result.Table = &table
		case query.Change:
			result.Change = fakeChange(ctx, batch.ChangeID(index), statement)
		}
		emit(result)
		if !result.OK() {
			return query.Summary{Done: index, Failed: index, NotRun: []string{"SHOW nodes"}}
		}
	}
	return query.Summary{Done: len(statements), Failed: -1}
}

func fakeChange(ctx context.Context, id string, change query.Change) *query.ChangeResult {
	answer := &query.ChangeResult{ID: id, Outcome: configlog.OutcomeAccepted, Revision: 5, AsOf: time.UnixMilli(0), HeardFrom: []string{"node-1"}}
	if setting, ok := change.Action.(query.SetSetting); ok {
		switch setting.Key {
		case "conflict":
			answer.Outcome, answer.BeatenBy = configlog.OutcomeConflict, 4
		case "wait":
			<-ctx.Done()
			answer.Message = context.Cause(ctx).Error()
			answer.Waited = true
		case "cut":
			panic(http.ErrAbortHandler)
		}
	}
	return answer
}

func newTestServer(t *testing.T) *httptest.Server {
	logger, _ := logtest.NewNullLogger()
	server := NewServer(logger, ServerConfig{
		Node: "node-1", Executor: fakeExecutor{},
		Status: func() Status { return Status{Node: "node-1", Stopping: true, Revision: 5} },
	})
	listening := httptest.NewServer(server.Handler())
	t.Cleanup(listening.Close)
	return listening
}

func newTestClient(server *httptest.Server) *Client {
	return NewClient(server.Client(), server.Listener.Addr().String())
}

// TestRun shows what an operator sees and with which code the program ends.
func TestRun(t *testing.T) {
	server := newTestServer(t)
	datadriven.RunTest(t, "testdata/run", func(t *testing.T, d *datadriven.TestData) string {
		output := string(query.OutputTable)
		d.MaybeScanArgs(t, "output", &output)
		var b strings.Builder
		code := Run(t.Context(), newTestClient(server), d.Input, RunOptions{Output: query.Output(output), QueryID: uuid.UUID{1}}, &b)
		if d.HasArg("exit") {
			var want int
			d.ScanArgs(t, "exit", &want)
			if int(code) != want {
				d.Fatalf(t, "exit code %d, want %d", code, want)
			}
		}
		return b.String()
	})
}

// TestShutdownEndsWaiting proves that a planned stop does not hang on a WAIT and
// that the operator still gets the answer.
func TestShutdownEndsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.NewNetwork()
		listener, err := network.Listen("node-1:7001")
		if err != nil {
			t.Fatal(err)
		}
		server := NewServer(logrus.New(), ServerConfig{Node: "node-1", Executor: fakeExecutor{}})
		var running sync.WaitGroup
		running.Go(func() { server.Serve(listener) })
		transport := &http.Transport{DialContext: network.Dialer("operator"), DisableKeepAlives: true}
		client := NewClient(&http.Client{Transport: transport}, "node-1:7001")
		running.Go(func() {
			time.Sleep(time.Second)
			server.Shutdown(context.Background())
		})
		var answer *query.ChangeResult
		summary, err := client.Query(t.Context(), QueryRequest{Statements: "SET wait = 1; SHOW nodes"}, func(result query.Result) { answer = result.Change })
		running.Wait()
		if err != nil || summary.Failed != 0 || answer.Message != ErrStopping.Error() {
			t.Errorf("%+v, %+v, %v", summary, answer, err)
		}
	})
}

// TestNodeIsDown proves that nothing is claimed to have been sent.
func TestNodeIsDown(t *testing.T) {
	server := newTestServer(t)
	client := newTestClient(server)
	server.Close()
	var b strings.Builder
	code := Run(t.Context(), client, "DRAIN ZONE a", RunOptions{}, &b)
	if code != ExitNo || !strings.HasPrefix(b.String(), "no answer, nothing was sent: ") || strings.Contains(b.String(), "unknown") {
		t.Errorf("exit code %d, output %s", code, b.String())
	}
}

// TestWholeDelivery covers the answer in one piece, and refused requests.
func TestWholeDelivery(t *testing.T) {
	server := newTestServer(t)
	cases := []struct {
		body    string
		status  int
		code    api.Code
		results int
	}{
		{`{"statements":"SHOW nodes; SET a = 1"}`, http.StatusOK, "", 2},
		{`{"statements":"SHOW nodes; SET conflict = 1; SHOW nodes","output":"whole"}`, http.StatusOK, "", 2},
		{`{"statements":"SHOW"}`, http.StatusBadRequest, api.CodeSyntax, 0},
		{`{"statements":"SHOW nodes","id":"x"}`, http.StatusBadRequest, api.CodeInvalid, 0},
		{`{"statements":"SHOW nodes","output":"xml"}`, http.StatusBadRequest, api.CodeInvalid, 0},
		{`{"statement":"SHOW nodes"}`, http.StatusBadRequest, api.CodeMalformed, 0},
	}
	for _, c := range cases {
		response, err := server.Client().Post(server.URL+"/v1/query", "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		var answer struct {
			QueryResponse
			api.Error
		}
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != c.status || answer.Code != c.code || len(answer.Results) != c.results {
			t.Errorf("%s: status %d, %+v", c.body, response.StatusCode, answer)
		}
	}
}

// TestStatus covers a node that is stopping: it tells, and is not healthy.
func TestStatus(t *testing.T) {
	server := newTestServer(t)
	status, err := newTestClient(server).Status(t.Context())
	if err != nil || !status.Stopping || status.Revision != 5 || status.AsOf.IsZero() {
		t.Errorf("%+v, %v", status, err)
	}
	response, err := server.Client().Get(server.URL + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", response.StatusCode)
	}
}

// TestBrokenAnswerIsLost guards against a refusal that is believed, which says that nothing was done,
// and a status that is shown although the head of the answer is not valid.
func TestBrokenAnswerIsLost(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Service Unavailable"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer func() { _ = conn.Close() }()
			const content = `{"code":"node_stopping","outcome":"refused"}`
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nMy Field: x\r\nContent-Length: %d\r\n\r\n%s", status, len(content), content)
		}))
		if _, err := newTestClient(server).Status(t.Context()); !errors.Is(err, ErrAnswerLost) {
			t.Errorf("%s: error %v, want %v", status, err, ErrAnswerLost)
		}
		server.Close()
	}
}

package gatewaymetrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/forward"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

func TestFiguresAreServed(t *testing.T) {
	metrics := New()
	metrics.Event(eventlog.JobAccepted)
	metrics.Event(eventlog.JobAccepted)
	metrics.Request(routetable.KindSafe, forward.Report{Outcome: forward.OutcomeAnswered, Attempts: 2, Took: 30 * time.Millisecond})
	metrics.Opening(upstream.Opening{Purpose: upstream.PurposeItem, Cause: upstream.OpenBusy})
	metrics.StoreCall("commit", "unknown", time.Second)
	metrics.StoreRead("nodes", 3, 700)
	metrics.StoreCut(4096)
	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`sliplift_events_total{event="job_accepted"} 2`,
		`sliplift_request_seconds_bucket{kind="safe",outcome="answered",le="0.05"} 1`,
		`sliplift_attempts_total 2`,
		`sliplift_backend_connections_total{cause="busy",purpose="item"} 1`,
		`sliplift_store_rows_read_total{table="nodes"} 3`,
		`sliplift_store_row_bytes_read_total{table="nodes"} 700`,
		`sliplift_store_answers_cut_total 1`,
		`sliplift_store_answers_cut_bytes_total 4096`,
		`sliplift_store_call_seconds_count{call="commit",outcome="unknown"} 1`,
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("missing %s", want)
		}
	}
}

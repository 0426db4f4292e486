package history

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestStories judges the histories of testdata/promise*: for each promise one
// that breaks it and its correct twin.
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			checker := NewChecker()
			if err := Read(strings.NewReader(d.Input), "h", checker.Observe); err != nil {
				return err.Error()
			}
			return summary(checker.Report())
		})
	})
}

// summary prints the promises that were exercised.
func summary(report Report) string {
	var out strings.Builder
	for _, v := range report.Verdicts {
		if v.State == StateNotExercised && v.Unjudged == 0 {
			continue
		}
		fmt.Fprintf(&out, "%d %s: %d judged, %d not judged\n", v.Promise, v.State, v.Judged, v.Unjudged)
		for _, violation := range v.Violations {
			lines := make([]string, 0, len(violation.Events))
			for _, event := range violation.Events {
				lines = append(lines, strings.TrimPrefix(event.At, "h:"))
			}
			fmt.Fprintf(&out, "  %s (lines %s)\n", violation.Message, strings.Join(lines, ", "))
		}
	}
	return out.String()
}

func TestReportNeedsSomethingJudged(t *testing.T) {
	empty := NewChecker().Report()
	if empty.OK() {
		t.Error("an empty history passes")
	}
	checker := NewChecker()
	checker.Observe(Event{Kind: KindRequestAnswered, RequestID: "r", Outcome: "refused"}, Position{})
	report := checker.Report()
	if !report.OK() || !report.OK(PromiseRefusedNotRun) || report.OK(PromiseRefusedNotRun, PromiseDrained) {
		t.Errorf("missing %v", report.Missing(PromiseRefusedNotRun, PromiseDrained))
	}
	var table strings.Builder
	if err := report.WriteTable(&table); err != nil || !strings.Contains(table.String(), "not exercised") {
		t.Errorf("table %q, error %v", table.String(), err)
	}
}

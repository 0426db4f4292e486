package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

// TestJudgeOfMeteredRequests: each row is how many requests of a tenant count and began, and
// what the judge says of a hundred of them.
func TestJudgeOfMeteredRequests(t *testing.T) {
	at := time.Date(2020, 1, 1, 10, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name          string
		right         int
		over, missing int
		says          string
	}{
		{"as it was", 100, 0, 0, ""},
		{"off within the bound", 96, 4, 4, ""},
		{"too many", 100, 6, 0, "106 requests of tenant-1 count, 100 began: over-0 at n1, 10:00:00.000 (sent)"},
		{"too few", 94, 0, 6, "94 requests of tenant-1 count, 100 began: missing-0 at n1, 10:00:00.000 (not counted)"},
	} {
		var all []Metered
		var runs []standin.Run
		add := func(kind string, count int, evidence string, ran bool) {
			for i := range count {
				id := fmt.Sprintf("%s-%d", kind, i)
				all = append(all, Metered{ID: id, Tenant: "tenant-1", Node: "n1", Evidence: evidence, At: at})
				if ran {
					runs = append(runs, standin.Run{ID: id, Tenant: "tenant-1"})
				}
			}
		}
		add("right", test.right, "answer", true)
		add("over", test.over, "sent", false)
		add("missing", test.missing, "", true)
		judge := NewJudge()
		judge.Metered(all, runs)
		said := strings.Join(judge.Breaches(), "; ")
		if (test.says == "") != (said == "") || !strings.Contains(said, test.says) {
			t.Errorf("%s: the judge says %q, want %q", test.name, said, test.says)
		}
	}
}

// TestBrokenReportNamesRequests: where more is reported than began, the requests are named
// that count and did not begin.
func TestBrokenReportNamesRequests(t *testing.T) {
	judge := NewJudge()
	judge.Metered([]Metered{{ID: "r1", Tenant: "tenant-1", Node: "n1", Evidence: "sent"}}, nil)
	judge.Usage(map[int64]standin.Usage{1: {Counts: map[string]int64{"tenant-1": 1}}}, nil, nil)
	said := strings.Join(judge.Breaches(), "; ")
	if !strings.Contains(said, "1 requests of tenant-1, 0 began") || !strings.Contains(said, "r1 at n1") {
		t.Errorf("the judge says %q", said)
	}
}

// Each row is a line of a node's log, and what it tells.
func TestMeteredOfALine(t *testing.T) {
	for _, test := range []struct {
		line string
		want string
	}{
		{`{"event":"request_failed","request":"r","tenant":"t","began":"sent","time":"2020-01-01T10:00:00Z"}`, "r at , 10:00:00.000 (sent)"},
		{`{"event":"request_refused","request":"r","tenant":"t","time":"2020-01-01T10:00:00Z"}`, "r at , 10:00:00.000 (not counted)"},
		{`{"event":"request_failed","request":"r","began":"sent"}`, ""},
		{`{"event":"attempt_failed","request":"r","tenant":"t","likely_began":true}`, ""},
		{`{"event":"request_failed","request":"r","ten`, ""},
	} {
		decided, found := meteredOf([]byte(test.line))
		if found != (test.want != "") || found && decided.String() != test.want {
			t.Errorf("%s: %v, %s", test.line, found, decided)
		}
	}
}

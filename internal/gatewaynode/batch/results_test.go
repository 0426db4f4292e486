package batch

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// TestAwaitMore checks that a read waits for a commit announced by Head.More,
// but no longer than its limit.
func TestAwaitMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Manager{jobs: make(map[string]*jobState)}
		began := time.Now()
		wait := func(limit time.Duration) time.Duration {
			from := time.Now()
			m.awaitMore(t.Context(), "j", limit)
			return time.Since(from)
		}
		m.applyHead("j", Head{Count: 3}, 1)
		if got := wait(maxMoreWait); got != 0 {
			t.Errorf("waited %s without an announced commit, want 0", got)
		}
		m.applyHead("j", Head{Count: 4, More: true}, 2)
		if got := wait(maxMoreWait); got != maxMoreWait {
			t.Errorf("waited %s for a commit that does not follow, want %s", got, maxMoreWait)
		}
		if got := wait(0); got != 0 {
			t.Errorf("waited %s with a limit of 0, want 0", got)
		}
		time.AfterFunc(40*time.Millisecond, func() { m.applyHead("j", Head{Count: 9}, 3) })
		if got := wait(maxMoreWait); got != 40*time.Millisecond {
			t.Errorf("waited %s, want 40ms, the time of the commit", got)
		}
		if time.Since(began) > time.Second {
			t.Errorf("test took %s, want at most 1s", time.Since(began))
		}
	})
}

func TestResultSplitAcrossRows(t *testing.T) {
	const maxRowBytes = 64
	long := Result{ID: "b", State: Completed, Text: strings.Repeat("text", 200)}
	short := Result{ID: "a", State: Dead}
	var rows []rowstore.Row
	for i, result := range []Result{short, long, short} {
		rows = append(rows, resultRows("job", 7+i, encode(result), maxRowBytes)...)
	}
	for i, row := range rows {
		if len(row.Value) > maxRowBytes {
			t.Fatalf("row %d has %d bytes, want at most %d", i, len(row.Value), maxRowBytes)
		}
	}
	byKey := func(a, b rowstore.Row) int { return strings.Compare(a.Key, b.Key) }
	if !slices.IsSortedFunc(rows, byKey) {
		t.Fatal("rows are not sorted by key")
	}
	results, err := decodeResults(rows, 7)
	if err != nil || len(results) != 3 || results[1].Text != long.Text {
		t.Fatalf("decodeResults returned %d results, error %v; want 3 unchanged results", len(results), err)
	}
	for cut := range rows {
		found, err := decodeResults(rows[:cut], 7)
		switch {
		case cut == 0 && (len(found) != 0 || err != nil),
			cut == 1 && (len(found) != 1 || err != nil),
			cut > 1 && cut < len(rows)-1 && (len(found) != 1 || err == nil),
			cut == len(rows)-1 && (len(found) != 2 || err != nil):
			t.Errorf("first %d rows: decodeResults returned %d results, error %v", cut, len(found), err)
		}
	}
	if _, err := decodeResults(slices.Delete(slices.Clone(rows), 3, 4), 7); err == nil {
		t.Error("decodeResults accepted rows with a missing part")
	}
}

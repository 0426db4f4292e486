package batch

import (
	"slices"
	"strings"
	"testing"

	"github.com/sliplift/sliplift/internal/rowstore"
)

func TestResultsLongerThanARow(t *testing.T) {
	const most = 64
	long := Result{ID: "b", State: Completed, Text: strings.Repeat("text", 200)}
	short := Result{ID: "a", State: Dead}
	var rows []rowstore.Row
	for i, result := range []Result{short, long, short} {
		rows = append(rows, resultRows("job", 7+i, encode(result), most)...)
	}
	for i, row := range rows {
		if len(row.Value) > most {
			t.Fatalf("row %d has %d bytes", i, len(row.Value))
		}
	}
	keys := func(a, b rowstore.Row) int { return strings.Compare(a.Key, b.Key) }
	if !slices.IsSortedFunc(rows, keys) {
		t.Fatal("parts of a result do not stand before the next result")
	}
	whole, err := decodeResults(rows, 7)
	if err != nil || len(whole) != 3 || whole[1].Text != long.Text {
		t.Fatalf("%d results, %v", len(whole), err)
	}
	for cut := range rows {
		found, err := decodeResults(rows[:cut], 7)
		switch {
		case cut == 0 && (len(found) != 0 || err != nil),
			cut == 1 && (len(found) != 1 || err != nil),
			cut > 1 && cut < len(rows)-1 && (len(found) != 1 || err == nil),
			cut == len(rows)-1 && (len(found) != 2 || err != nil):
			t.Errorf("cut behind %d rows: %d results, %v", cut, len(found), err)
		}
	}
	if _, err := decodeResults(slices.Delete(slices.Clone(rows), 3, 4), 7); err == nil {
		t.Error("a missing part was not seen")
	}
}

package batch

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// made returns a text with one event for each version.
func made(versions ...int64) text {
	var t text
	for i, version := range versions {
		t.events = append(t.events, fmt.Appendf(nil, "e%d", i+1))
		t.versions = append(t.versions, version)
	}
	return t
}

func TestTextFits(t *testing.T) {
	cases := []struct {
		text   text
		least  int64
		single bool
		want   bool
	}{
		{made(), 9, true, true},
		{made(2, 3), 2, false, true},
		{made(2, 3), 3, false, false},
		{made(2, 3), 2, true, false},
		{made(3, 3), 2, true, true},
	}
	for _, test := range cases {
		if got := test.text.fits(test.least, test.single); got != test.want {
			t.Errorf("versions %v, minimum %d, single %t: fits = %t, want %t", test.text.versions, test.least, test.single, got, test.want)
		}
	}
}

func TestTextJoin(t *testing.T) {
	content, versions := made(4, 3, 4, 5).join()
	if content != "e1\ne2\ne3\ne4" || !reflect.DeepEqual(versions, []int64{3, 4, 5}) {
		t.Fatalf("join() = %q, %v", content, versions)
	}
}

func TestKeptTextsDropTheOldest(t *testing.T) {
	kept := newKeptTexts()
	for i := range maxKeptTexts + 10 {
		kept.put(fmt.Sprint(i), made(1), residency{})
	}
	if _, found := kept.get("9"); found {
		t.Error("oldest text was not dropped")
	}
	if _, found := kept.get("10"); !found || len(kept.texts) != maxKeptTexts {
		t.Errorf("text 10 kept: %t; %d texts kept, want %d", found, len(kept.texts), maxKeptTexts)
	}
}

// partial returns a stored row of text.
func partial(item int, sequence string, from int, words ...string) rowstore.Row {
	row := partialRow{}
	for _, word := range words {
		row.Events = append(row.Events, []byte(word))
		row.Versions = append(row.Versions, 1)
	}
	return rowstore.Row{RowID: partialID("job", item, sequence, from), Value: encode(row)}
}

// TestDecodePartials checks that rows of different sequences, which different owners wrote, are
// not combined, and that a gap ends the text.
func TestDecodePartials(t *testing.T) {
	rows := []rowstore.Row{
		// Item 0: one sequence in two rows.
		partial(0, "1.0", 0, "a", "b"), partial(0, "1.0", 2, "c"),
		// Item 1: two sequences, of which the second owner's is longer.
		partial(1, "1.0", 0, "x", "y"), partial(1, "2.0", 0, "p", "q", "r"),
		// Item 2: a row is missing in between.
		partial(2, "1.0", 0, "a"), partial(2, "1.0", 3, "d"),
		// Item 3: the first row is missing.
		partial(3, "1.0", 2, "c"),
		// Item 4: a row was rewritten with more events.
		partial(4, "1.0", 0, "a"), partial(4, "1.0", 0, "a", "b"),
		{RowID: rowstore.RowID{Key: "job/00000005/1.0/00000000"}, Value: []byte("no JSON")},
		{RowID: rowstore.RowID{Key: "job/strange"}, Value: []byte("{}")},
	}
	got := decodePartials(rows)
	want := map[int]string{0: "a\nb\nc", 1: "p\nq\nr", 2: "a", 4: "a\nb"}
	if len(got) != len(want) {
		t.Errorf("got %d texts, want %d", len(got), len(want))
	}
	for item, content := range want {
		if joined, _ := got[item].join(); joined != content {
			t.Errorf("item %d: text %q, want %q", item, joined, content)
		}
	}
}

func TestDecodeResultsRequiresConsecutivePositions(t *testing.T) {
	row := func(position int) rowstore.Row {
		return rowstore.Row{RowID: resultID("job", position), Value: encode(Result{ID: fmt.Sprint(position)})}
	}
	if results, err := decodeResults([]rowstore.Row{row(3), row(4)}, 3); err != nil || len(results) != 2 {
		t.Errorf("decodeResults = %v, %v; want 2 results", results, err)
	}
	if _, err := decodeResults([]rowstore.Row{row(3), row(5)}, 3); err == nil {
		t.Error("no error for a gap")
	}
	if _, err := decodeResults([]rowstore.Row{row(4)}, 3); err == nil {
		t.Error("no error for a missing first position")
	}
}

func TestStartOrderIsLongestFirst(t *testing.T) {
	items := []Item{{LengthHint: 5}, {LengthHint: 50}, {}, {LengthHint: 50}}
	if got := startOrder(items); !reflect.DeepEqual(got, []int{1, 3, 0, 2}) {
		t.Errorf("startOrder = %v, want [1 3 0 2]", got)
	}
}

func TestTrimPage(t *testing.T) {
	long := Result{Text: string(make([]byte, pageBytes))}
	if got := trimPage([]Result{long, long}); len(got) != 1 {
		t.Errorf("trimPage returned %d long results, want 1", len(got))
	}
	if got := trimPage([]Result{{}, {}}); len(got) != 2 {
		t.Errorf("trimPage returned %d short results, want 2", len(got))
	}
}

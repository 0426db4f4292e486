package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/datadriven"
)

func readAll(content string) string {
	reader := NewReader(iotest.OneByteReader(strings.NewReader(content)), "weights")
	var out strings.Builder
	for {
		event, err := reader.Next()
		if err != nil {
			fmt.Fprintf(&out, "end: %v\n", err)
			return out.String()
		}
		fmt.Fprintf(&out, "id %d (%t) version %d data %q raw %q\n", event.ID, event.HasID, event.Version, event.Data, event.Raw)
	}
}

func TestEvents(t *testing.T) {
	datadriven.RunTest(t, "testdata/events", func(t *testing.T, data *datadriven.TestData) string {
		return readAll(strings.ReplaceAll(strings.ReplaceAll(data.Input, "~", ""), "^", "\n"))
	})
}

func TestTooLong(t *testing.T) {
	reader := NewReader(strings.NewReader("data: "+strings.Repeat("x", MaxEventBytes)+"\n\n"), "weights")
	if _, err := reader.Next(); !errors.Is(err, ErrTooLong) {
		t.Fatalf("error %v", err)
	}
}

// FuzzReader checks that whatever comes, the raw bytes of the events are a
// prefix of the stream but for blank lines between events, and that nothing but
// whole events is returned.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\nweights: 7\ndata: b\ndata: c\n\n"))
	f.Add([]byte("\r\n\r\nid: x\n"))
	f.Add([]byte(": comment\n\ndata\n\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		reader := NewReader(bytes.NewReader(content), "weights")
		rest := content
		for {
			event, err := reader.Next()
			if err != nil {
				if err == io.EOF && len(bytes.Trim(rest, "\r\n")) > 0 {
					t.Fatalf("end of stream with %q left", rest)
				}
				return
			}
			at := bytes.Index(rest, event.Raw)
			if at < 0 || len(bytes.Trim(rest[:at], "\r\n")) > 0 {
				t.Fatalf("event %q is not the next of %q", event.Raw, rest)
			}
			rest = rest[at+len(event.Raw):]
		}
	})
}

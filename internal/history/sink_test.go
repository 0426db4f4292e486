package history

import (
	"bytes"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

func TestWriterSinkKeepsLinesWholeUnderConcurrency(t *testing.T) {
	const writers, eventsPerWriter = 8, 200
	var buffer bytes.Buffer
	sink := NewWriterSink(&buffer)
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range eventsPerWriter {
				sink.Record(Event{Kind: KindInvoked, Process: "<a&b>"})
			}
		})
	}
	group.Wait()
	if err := sink.Close(); err != nil {
		t.Fatal(err)
	}
	count := 0
	err := Read(&buffer, "buffer", func(event Event, _ Position) {
		if event.Process != "<a&b>" || event.AtMicros == 0 {
			t.Fatalf("damaged event %+v", event)
		}
		count++
	})
	if err != nil || count != writers*eventsPerWriter {
		t.Fatalf("read %d events, error %v", count, err)
	}
}

func TestFileSinkReportsAFailedWrite(t *testing.T) {
	if _, err := NewFileSink(filepath.Join(t.TempDir(), "absent", "h.jsonl")); err == nil {
		t.Fatal("a file in a directory that does not exist was opened")
	}
	path := filepath.Join(t.TempDir(), "h.jsonl")
	sink, err := NewFileSink(path)
	if err != nil {
		t.Fatal(err)
	}
	sink.Record(Event{Kind: KindInvoked})
	if err := sink.Close(); err != nil {
		t.Fatal(err)
	}
	sink.Record(Event{Kind: KindInvoked})
	if err := sink.Flush(); err == nil {
		t.Fatal("an event after Close was lost silently")
	}
}

func TestReadNamesTheDamagedLine(t *testing.T) {
	err := Read(strings.NewReader("{\"kind\":\"invoked\"}\n{\"kind\":"), "h.jsonl", func(Event, Position) {})
	if err == nil || !strings.Contains(err.Error(), "h.jsonl:2") {
		t.Fatalf("error %v", err)
	}
}

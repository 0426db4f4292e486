package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/history"
)

func TestLoggerWritesJSONAtItsLevel(t *testing.T) {
	var out bytes.Buffer
	lg, err := NewLogger("warning", FormatJSON, &out)
	if err != nil {
		t.Fatal(err)
	}
	lg.Info("dropped")
	lg.WithField("pool", "titles").Warn("kept")
	var entry struct{ Level, Msg, Pool string }
	if err := json.Unmarshal(out.Bytes(), &entry); err != nil {
		t.Fatalf("%v in %q", err, out.String())
	}
	if entry.Level != "warning" || entry.Msg != "kept" || entry.Pool != "titles" {
		t.Errorf("got %+v", entry)
	}
}

func TestLoggerRefusesUnknownSettings(t *testing.T) {
	if _, err := NewLogger("loud", FormatJSON, io.Discard); err == nil {
		t.Error("an unknown level was accepted")
	}
	if _, err := NewLogger("info", "xml", io.Discard); err == nil {
		t.Error("an unknown format was accepted")
	}
}

func TestRegistryHoldsProcessMetrics(t *testing.T) {
	families, err := NewRegistry().Gather()
	if err != nil || len(families) == 0 {
		t.Errorf("got %d families, %v", len(families), err)
	}
}

func TestHistoryFileHoldsEveryEventAfterClose(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.jsonl")
	sink, closeHistory, err := OpenHistory(logrus.New(), path)
	if err != nil {
		t.Fatal(err)
	}
	sink.Record(history.Event{Kind: history.KindNodeStarted, Process: "n1"})
	closeHistory()
	var processes []string
	collect := func(event history.Event, _ history.Position) { processes = append(processes, event.Process) }
	if err := history.ReadFiles([]string{path}, collect); err != nil {
		t.Fatal(err)
	}
	if len(processes) != 1 || processes[0] != "n1" {
		t.Errorf("got %q", processes)
	}
}

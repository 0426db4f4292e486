package history

import (
	"fmt"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/sliplift/sliplift/internal/api"
)

const benchmarkEvents = 1_000_000

// BenchmarkCheckMillionEvents judges files of a million events: steps of 64
// samples, of which every fourth was moved between engines, and as many live
// requests to engines and applications.
func BenchmarkCheckMillionEvents(b *testing.B) {
	path := filepath.Join(b.TempDir(), "history.jsonl")
	sink, err := NewFileSink(path)
	if err != nil {
		b.Fatal(err)
	}
	events := writeLongHistory(sink)
	if err := sink.Close(); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range b.N {
		report, err := CheckFiles(path)
		if err != nil || !report.OK(PromiseTrueVersions, PromiseExactlyOnce, PromiseRightAnswer, PromiseAtMostOnce) {
			b.Fatalf("%+v, %v", report, err)
		}
	}
	b.StopTimer()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapSys)/(1<<20), "heap-MB")
	b.ReportMetric(float64(events), "events")
}

func writeLongHistory(sink Sink) int {
	events := 0
	record := func(event Event) {
		event.AtMicros = int64(events + 1)
		sink.Record(event)
		events++
	}
	const samplesPerStep = 64
	for step := int64(1); events < benchmarkEvents; step++ {
		record(Event{Kind: KindStepPosted, Process: "trainer", Trainer: "trainer", Step: step, Count: samplesPerStep, VersionBound: 2})
		for index := range samplesPerStep {
			writeSample(record, step, index)
			writeLive(record, step, index)
		}
		record(Event{Kind: KindStepDone, Process: "trainer", Trainer: "trainer", Step: step})
	}
	return events
}

func writeSample(record func(Event), step int64, index int) {
	id := fmt.Sprintf("trainer/%d/%d/1", step, index)
	sum := fmt.Sprintf("%016x", step*1000+int64(index))
	segments := []api.Segment{{Version: step, Tokens: 100, Engine: "engine-1"}}
	record(Event{Kind: KindStreamStarted, Process: "engine-1", Backend: "engine-1", RequestID: id})
	record(Event{Kind: KindStreamEnded, Process: "engine-1", Backend: "engine-1", RequestID: id, Segments: segments, Checksum: sum, FinishReason: api.FinishStop})
	if index%4 == 0 {
		second := []api.Segment{{Version: step + 1, Tokens: 50, Engine: "engine-2"}}
		record(Event{Kind: KindStreamStarted, Process: "engine-2", Backend: "engine-2", RequestID: id, Attempt: 1})
		record(Event{Kind: KindStreamEnded, Process: "engine-2", Backend: "engine-2", RequestID: id, Attempt: 1, Segments: second, ResumedTokens: 90, WholeChecksum: "w" + sum, FinishReason: api.FinishStop})
		segments = []api.Segment{{Version: step, Tokens: 90, Engine: "engine-1"}, second[0]}
		sum = "w" + sum
	}
	record(Event{Kind: KindSampleDelivered, Process: "trainer", Trainer: "trainer", Step: step, Index: index, RequestID: id,
		Segments: segments, Checksum: sum, TrainerVersion: step + 1, VersionBound: 2})
}

func writeLive(record func(Event), step int64, index int) {
	id := fmt.Sprintf("7c9e6679-7425-40de-944b-%06d%06d", step, index)
	key := "key-" + id
	record(Event{Kind: KindRequestSent, Process: "caller", RequestID: id, Key: key, Pool: "bookings", Node: "node-1", PromptChecksum: "00112233aabbccdd"})
	record(Event{Kind: KindInvokeStarted, Process: "app-1", Backend: "app-1", RequestID: id, Key: key, PromptChecksum: "00112233aabbccdd"})
	record(Event{Kind: KindInvoked, Process: "app-1", Backend: "app-1", RequestID: id, Key: key, Checksum: "8899aabbccddeeff", PromptChecksum: "00112233aabbccdd"})
	record(Event{Kind: KindRequestAnswered, Process: "caller", RequestID: id, Key: key, Pool: "bookings", Node: "node-1", Outcome: api.OutcomeCompleted, Checksum: "8899aabbccddeeff"})
}

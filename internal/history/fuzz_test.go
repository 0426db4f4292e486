package history

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"
)

// FuzzRead reads and judges arbitrary lines. A history that is accepted has an
// event of a kind on every line, and is judged the same when written again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"at_us":1,"kind":"step_posted","trainer":"t","step":1,"count":2,"version_bound":1}
{"at_us":2,"kind":"stream_started","process":"e","request_id":"t/1/0/1"}
{"at_us":3,"kind":"stream_ended","process":"e","request_id":"t/1/0/1","segments":[{"version":1,"tokens":5}],"finish_reason":"stop","checksum":"a"}
{"at_us":4,"kind":"sample_delivered","trainer":"t","step":1,"request_id":"t/1/0/1","segments":[{"version":1,"tokens":5}],"checksum":"a"}
{"at_us":5,"kind":"step_done","trainer":"t","step":1}`))
	f.Add([]byte(`{"kind":"step_posted","count":9223372036854775807}
{"kind":"step_done","segments":[]}
{"kind":"config_accepted","revision":-9,"limit_ms":9223372036854775807}
{"kind":"node_ready","process":"\ud800"}
`))
	f.Add([]byte("{"))
	f.Add([]byte("\n "))
	f.Add([]byte("null\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		events, first, err := judged(input)
		if err != nil {
			return
		}
		if lines := len(bytes.FieldsFunc(input, func(r rune) bool { return r == '\n' })); lines != len(events) {
			t.Fatalf("%d events on %d lines", len(events), lines)
		}
		var written bytes.Buffer
		encoder := json.NewEncoder(&written)
		for _, event := range events {
			if err := encoder.Encode(event); err != nil || event.Kind == "" {
				t.Fatalf("%+v: %v", event, err)
			}
		}
		_, second, err := judged(written.Bytes())
		if err != nil || second != first {
			t.Fatalf("judged\n%s then\n%s: %v", first, second, err)
		}
	})
}

// judged returns the events and what they prove, by kind and counts.
func judged(input []byte) (events []Event, verdicts string, err error) {
	checker, line := NewChecker(), 0
	err = Read(bytes.NewReader(input), "h", func(event Event, _ Position) {
		line++
		events = append(events, event)
		checker.Observe(event, Position{File: "h", Line: line})
	})
	if err != nil {
		return nil, "", err
	}
	report := checker.Report()
	return events, summary(report), report.WriteTable(io.Discard)
}

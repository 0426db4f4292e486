package engine

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"

	"github.com/sliplift/sliplift/internal/api"
)

// TestAssembler feeds the lines of a stream, one frame each, to the reader of
// streams and shows the result.
func TestAssembler(t *testing.T) {
	datadriven.RunTest(t, "testdata/assembler", func(t *testing.T, d *datadriven.TestData) string {
		frames := &assembler{requestID: "r", attempt: 2}
		var seen []string
		err := readFrames(strings.NewReader(streamOf(t, d.Input)), frames, func(frame api.StreamFrame) error {
			seen = append(seen, fmt.Sprint(frame.Sequence))
			return nil
		})
		result := frames.result(err)
		var out strings.Builder
		fmt.Fprintf(&out, "%s %q tokens=%d frames=%s", result.State, result.Text, result.Tokens, strings.Join(seen, ","))
		for _, segment := range result.Segments {
			fmt.Fprintf(&out, " v%d*%d", segment.Version, segment.Tokens)
		}
		if result.Err != nil {
			fmt.Fprintf(&out, "; %v", result.Err)
		}
		return out.String() + "\n"
	})
}

// streamOf turns lines of "SEQUENCE VERSION TEXT [attempt=N] [request=ID]
// [done=REASON] [total=N] [checksum=TEXT]" into a stream; "raw LINE" is passed
// on as it is. Each character of TEXT is a token, "-" is no text.
func streamOf(t *testing.T, input string) string {
	var stream strings.Builder
	for line := range strings.Lines(input) {
		line = strings.TrimSpace(line)
		if raw, ok := strings.CutPrefix(line, "raw "); ok {
			stream.WriteString(raw + "\n")
			continue
		}
		frame := frameOf(t, strings.Fields(line))
		encoded, err := json.Marshal(frame)
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(append(encoded, '\n'))
	}
	return stream.String()
}

func frameOf(t *testing.T, fields []string) api.StreamFrame {
	frame := api.StreamFrame{RequestID: "r", Attempt: 2}
	scan := func(text string, target any) {
		if _, err := fmt.Sscan(text, target); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
	}
	scan(fields[0], &frame.Sequence)
	scan(fields[1], &frame.Version)
	if fields[2] != "-" {
		frame.Text = fields[2]
		frame.Tokens = len(frame.Text)
	}
	for _, field := range fields[3:] {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "attempt":
			scan(value, &frame.Attempt)
		case "request":
			frame.RequestID = value
		case "done":
			frame.Done = true
			frame.FinishReason = api.FinishReason(value)
		case "total":
			scan(value, &frame.TotalTokens)
		case "checksum":
			frame.Checksum = fmt.Sprintf("%016x", xxhash.Sum64String(value))
		default:
			t.Fatalf("unknown field %q", field)
		}
	}
	return frame
}

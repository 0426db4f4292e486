package engine

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
)

type answerFunc func() *http.Response

func (f answerFunc) RoundTrip(*http.Request) (*http.Response, error) { return f(), nil }

// FuzzAnswer gives arbitrary answers to both kinds of request. Only a stream
// whose frames, totals and checksum agree is complete, and nothing of a corrupt
// one is handed on.
func FuzzAnswer(f *testing.F) {
	frame := func(sequence int, tokens, text, rest string) string {
		return fmt.Sprintf(`{"request_id":"r","attempt":2,"sequence":%d,"tokens":%s,"text":%q%s}`+"\n", sequence, tokens, text, rest)
	}
	end := func(total, text string) string {
		return fmt.Sprintf(`,"done":true,"finish_reason":"stop","total_tokens":%s,"checksum":"%016x"`, total, xxhash.Sum64String(text))
	}
	f.Add(200, []byte(frame(1, "1", "b", end("2", "ab"))+frame(0, "1", "a", "")))
	f.Add(200, []byte(frame(0, "1", "a", "")+frame(0, "1", "x", "")+frame(1, "1", "b", end("2", "ax"))))
	f.Add(200, []byte(frame(0, "9223372036854775807", "a", "")+frame(1, "9223372036854775807", "", end("-2", "a"))))
	f.Add(200, fmt.Appendf(nil, `{"request_id":"r","body":"b","checksum":"%016x"}`, xxhash.Sum64String("b")))
	f.Add(429, []byte(`{"code":"overloaded","outcome":"refused"}`))
	f.Add(503, []byte(`null`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		client := NewClient(&http.Client{Transport: answerFunc(func() *http.Response {
			return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}
		})})
		var seen api.StreamFrame
		next := int64(0)
		result := client.Generate(t.Context(), "e:1", api.GenerateRequest{RequestID: "r", Attempt: 2}, func(frame api.StreamFrame) error {
			if frame.RequestID != "r" || frame.Attempt != 2 || frame.Sequence != next || seen.Done {
				t.Errorf("frame %d after %d: %+v", frame.Sequence, next, frame)
			}
			next++
			frame.Text = seen.Text + frame.Text
			seen = frame
			return nil
		})
		tokens := 0
		for _, segment := range result.Segments {
			tokens += segment.Tokens
		}
		whole := result.State == StateComplete
		switch {
		case whole != (result.Err == nil), whole && status != http.StatusOK, whole && !seen.Done:
			t.Fatalf("status %d: %+v", status, result)
		case tokens != result.Tokens, tokens < 0, whole && tokens != seen.TotalTokens:
			t.Fatalf("%d tokens in segments: %+v", tokens, result)
		case result.Text != seen.Text && !(corrupt(result.Err) && result.Text == ""):
			t.Fatalf("frames %q: %+v", seen.Text, result)
		case whole && !checksumMatches(seen.Checksum, result.Text):
			t.Fatalf("checksum %q: %+v", seen.Checksum, result)
		}
		invoked := client.Invoke(t.Context(), "e:1", api.InvokeRequest{RequestID: "r"})
		whole = invoked.State == StateComplete
		if whole != (invoked.Err == nil) || whole && status != http.StatusOK || !whole && invoked.Body != "" {
			t.Fatalf("status %d: %+v", status, invoked)
		}
	})
}

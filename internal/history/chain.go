package history

import (
	"slices"

	"github.com/sliplift/sliplift/internal/api"
)

// explains tells whether the streams of a request, chained by resumption, truly
// produced a text of these segments. sum is the checksum of the text, empty if
// it is not known. A stream that was resumed may have been given less than its
// predecessor produced, never more.
func (t *requestTruth) explains(segments []api.Segment, sum string) bool {
	wanted := merged(segments)
	total := countTokens(wanted)
	for i := range t.streams {
		last := &t.streams[i]
		if !last.finished || last.end() != total {
			continue
		}
		if sum != "" && last.wholeSum != "" && sum != last.wholeSum {
			continue
		}
		if t.chained(last, last.segments, wanted) {
			return true
		}
	}
	return false
}

// chained extends the tail of a text, which begins with the stream, to the left
// until it is whole, and compares.
func (t *requestTruth) chained(stream *streamTruth, tail, wanted []api.Segment) bool {
	if stream.resumedTokens == 0 {
		return slices.Equal(merged(tail), wanted)
	}
	for i := range t.streams {
		previous := &t.streams[i]
		if !previous.precedes(stream) {
			continue
		}
		part := firstTokens(previous.segments, stream.resumedTokens-previous.resumedTokens)
		if t.chained(previous, slices.Concat(part, tail), wanted) {
			return true
		}
	}
	return false
}

// precedes tells whether the next stream can have been resumed from what this
// one produced. Resumption moves strictly to the left, so chains end.
func (s *streamTruth) precedes(next *streamTruth) bool {
	if s.resumedTokens >= next.resumedTokens || s.end() < next.resumedTokens {
		return false
	}
	sumsKnown := s.wholeSum != "" && next.resumedSum != ""
	if s.end() == next.resumedTokens && sumsKnown {
		return s.wholeSum == next.resumedSum
	}
	return true
}

// firstTokens returns the segments of the first tokens.
func firstTokens(segments []api.Segment, tokens int) []api.Segment {
	var first []api.Segment
	for _, segment := range segments {
		if tokens <= 0 {
			return first
		}
		segment.Tokens = min(segment.Tokens, tokens)
		tokens -= segment.Tokens
		first = append(first, segment)
	}
	return first
}

// merged joins neighbours of the same version and engine and drops empty ones.
func merged(segments []api.Segment) []api.Segment {
	joined := make([]api.Segment, 0, len(segments))
	for _, segment := range segments {
		if segment.Tokens == 0 {
			continue
		}
		if n := len(joined); n > 0 && joined[n-1].Version == segment.Version && joined[n-1].Engine == segment.Engine {
			joined[n-1].Tokens += segment.Tokens
			continue
		}
		joined = append(joined, segment)
	}
	return joined
}

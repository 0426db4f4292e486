package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// assembler puts the frames of one stream together. It is a state machine over
// frames without I/O.
type assembler struct {
	requestID string
	attempt   int
	next      int64
	text      strings.Builder
	tokens    int
	segments  []api.Segment
	last      *api.StreamFrame
	dropped   int
}

// add takes a frame and tells whether it was accepted. Frames of other
// attempts and duplicates are dropped without an error. An error means that
// the stream cannot be continued.
func (a *assembler) add(frame *api.StreamFrame) (accepted bool, err error) {
	if a.foreign(frame) || frame.Sequence < a.next || a.last != nil {
		a.dropped++
		return false, nil
	}
	if frame.Sequence > a.next {
		return false, ErrGap.Errorf("frame %d arrived in place of %d", frame.Sequence, a.next)
	}
	if frame.Tokens < 0 {
		return false, ErrCorrupt.Errorf("frame %d counts %d tokens", frame.Sequence, frame.Tokens)
	}
	a.next++
	a.take(frame)
	if !frame.Done {
		return true, nil
	}
	a.last = frame
	return true, a.checkTotals(frame)
}

func (a *assembler) foreign(frame *api.StreamFrame) bool {
	return frame.RequestID != a.requestID || frame.Attempt != a.attempt
}

func (a *assembler) take(frame *api.StreamFrame) {
	a.text.WriteString(frame.Text)
	a.tokens += frame.Tokens
	if frame.Tokens == 0 {
		return
	}
	if n := len(a.segments); n > 0 && a.segments[n-1].Version == frame.Version {
		a.segments[n-1].Tokens += frame.Tokens
		return
	}
	a.segments = append(a.segments, api.Segment{Version: frame.Version, Tokens: frame.Tokens})
}

func (a *assembler) checkTotals(frame *api.StreamFrame) error {
	if frame.TotalTokens != a.tokens {
		return ErrCorrupt.Errorf("end marker counts %d tokens, frames %d", frame.TotalTokens, a.tokens)
	}
	if !checksumMatches(frame.Checksum, a.text.String()) {
		return ErrCorrupt.Errorf("checksum %q does not match the text", frame.Checksum)
	}
	return nil
}

// result returns what was put together; err is the error that ended the
// stream, nil at its regular end.
func (a *assembler) result(err error) Result {
	result := Result{State: StatePartial, Err: err}
	if corrupt(err) {
		// Nothing of a corrupt stream may be handed on or resumed from.
		return result
	}
	result.Text = a.text.String()
	result.Tokens = a.tokens
	result.Segments = a.segments
	if a.last == nil {
		if err == nil {
			result.Err = ErrCut.Errorf("no end marker after %d frames", a.next)
		}
		return result
	}
	result.FinishReason = a.last.FinishReason
	result.Load = a.last.Load
	switch a.last.FinishReason {
	case api.FinishStop, api.FinishLength:
		result.State = StateComplete
		result.Err = nil
	default:
		result.Err = ErrEnded.Errorf("finish reason %q", a.last.FinishReason)
	}
	return result
}

// checksumMatches compares a hexadecimal xxhash64 with that of text.
func checksumMatches(checksum, text string) bool {
	want, err := strconv.ParseUint(checksum, 16, 64)
	return err == nil && want == xxhash.Sum64String(text)
}

package engine

import (
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// reorderLimit bounds the frames that are kept while an earlier one is missing.
const reorderLimit = 64

// tokenLimit bounds the tokens of a stream, so that their sum cannot overflow.
const tokenLimit = math.MaxInt32

// assembler puts the frames of one stream together. It is a state machine over
// frames without I/O.
type assembler struct {
	requestID string
	attempt   int
	// trusting is Faults.TrustFrames.
	trusting bool
	next     int64
	text     strings.Builder
	tokens   int
	segments []api.Segment
	last     *api.StreamFrame
	// early holds frames that arrived before an earlier one; nil while there
	// were none.
	early map[int64]*api.StreamFrame
}

// add takes a frame, which the caller may use again afterwards, and passes it
// and those that waited for it to onFrame, which may be nil. Frames of other
// attempts and duplicates are dropped without an error. An error means that the
// stream cannot be continued.
func (a *assembler) add(frame *api.StreamFrame, onFrame func(api.StreamFrame) error) error {
	if !a.trusting {
		if a.foreign(frame) || frame.Sequence < a.next || a.last != nil {
			return nil
		}
		if frame.Sequence > a.next {
			return a.keep(frame)
		}
	}
	for frame != nil && a.last == nil {
		if err := a.take(frame); err != nil {
			return err
		}
		if onFrame != nil {
			if err := onFrame(*frame); err != nil {
				return err
			}
		}
		frame = a.early[a.next]
		delete(a.early, a.next)
	}
	return nil
}

// keep holds a frame until those before it have arrived.
func (a *assembler) keep(frame *api.StreamFrame) error {
	if len(a.early) >= reorderLimit {
		return ErrGap.Errorf("frame %d is missing", a.next)
	}
	if a.early == nil {
		a.early = map[int64]*api.StreamFrame{}
	}
	if _, duplicate := a.early[frame.Sequence]; !duplicate {
		kept := *frame
		a.early[frame.Sequence] = &kept
	}
	return nil
}

func (a *assembler) foreign(frame *api.StreamFrame) bool {
	return frame.RequestID != a.requestID || frame.Attempt != a.attempt
}

// take appends the next frame.
func (a *assembler) take(frame *api.StreamFrame) error {
	if frame.Tokens < 0 || frame.Tokens > tokenLimit-a.tokens {
		return ErrCorrupt.Errorf("frame %d counts %d tokens", frame.Sequence, frame.Tokens)
	}
	a.next++
	a.text.WriteString(frame.Text)
	a.count(frame)
	if !frame.Done {
		return nil
	}
	last := *frame
	a.last = &last
	if a.trusting {
		return nil
	}
	return a.checkTotals(frame)
}

// count adds the frame's tokens to the segment of its version.
func (a *assembler) count(frame *api.StreamFrame) {
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
	if a.last == nil && a.trusting && a.tokens > 0 {
		result.State = StateComplete
		result.Err = nil
		return result
	}
	if a.last == nil {
		if err == nil {
			result.Err = a.cut()
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

// cut says why a stream that ended without an error is not whole.
func (a *assembler) cut() error {
	if len(a.early) > 0 {
		return ErrGap.Errorf("frame %d is missing", a.next)
	}
	return ErrCut.Errorf("no end marker after %d frames", a.next)
}

// checksumMatches compares a hexadecimal xxhash64 with that of text.
func checksumMatches(checksum, text string) bool {
	want, err := strconv.ParseUint(checksum, 16, 64)
	return err == nil && want == xxhash.Sum64String(text)
}

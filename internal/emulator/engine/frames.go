package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/batch"
	"github.com/sliplift/sliplift/internal/emulator/fault"
)

// frameWriter sends the frames of a stream and lets the faults of streams
// strike.
type frameWriter struct {
	ctx      context.Context
	target   string
	faults   *fault.Set
	request  api.GenerateRequest
	response http.ResponseWriter
	flusher  *http.ResponseController
	encoder  *json.Encoder
	sequence int64
	// held is a frame that goes out after the next one.
	held *api.StreamFrame
}

func newFrameWriter(ctx context.Context, c *core, request api.GenerateRequest, w http.ResponseWriter) *frameWriter {
	return &frameWriter{
		ctx:      ctx,
		target:   c.config.Name,
		faults:   c.needs.Faults,
		request:  request,
		response: w,
		flusher:  http.NewResponseController(w),
		encoder:  json.NewEncoder(w),
	}
}

// begin sends the header, which says that the stream was accepted.
func (f *frameWriter) begin() error {
	f.response.Header().Set("Content-Type", "application/x-ndjson")
	f.response.WriteHeader(http.StatusOK)
	return errs.Wrap(f.flusher.Flush())
}

// write sends a portion as one frame for each version, and the last frame if
// the stream ended.
func (f *frameWriter) write(p portion) error {
	for _, frame := range f.frames(p) {
		if err := f.send(frame); err != nil {
			return err
		}
	}
	return errs.Wrap(f.flusher.Flush())
}

func (f *frameWriter) frames(p portion) []api.StreamFrame {
	var frames []api.StreamFrame
	position := p.progress.Start
	for _, segment := range p.progress.Segments {
		text := batch.Text(p.progress.PromptHash, position, []batch.Segment{segment})
		frames = append(frames, f.frame(segment.Version, segment.Tokens, text))
		position += segment.Tokens
	}
	if !p.ended {
		return frames
	}
	if len(frames) == 0 {
		frames = append(frames, f.frame(p.version, 0, ""))
	}
	last := &frames[len(frames)-1]
	last.Done = true
	last.TotalTokens = p.total
	last.Checksum = p.checksum
	last.FinishReason = p.reason
	last.Load = p.load
	return frames
}

func (f *frameWriter) frame(version int64, tokens int, text string) api.StreamFrame {
	frame := api.StreamFrame{
		RequestID: f.request.RequestID,
		Attempt:   f.request.Attempt,
		Sequence:  f.sequence,
		Version:   version,
		Tokens:    tokens,
		Text:      text,
	}
	f.sequence++
	return frame
}

// send lets the faults strike and writes the frame. The last frame is never
// held back: nothing would follow that lets it go.
func (f *frameWriter) send(frame api.StreamFrame) error {
	if err := f.faults.WaitWhile(f.ctx, f.target, fault.KindFreeze); err != nil {
		return err
	}
	if late, struck := f.faults.Take(f.target, fault.KindLateFrames); struck {
		if err := fault.Sleep(f.ctx, late.Delay()); err != nil {
			return err
		}
	}
	if frame.Done {
		if _, lost := f.faults.Take(f.target, fault.KindLostAnswer); lost {
			return fault.ErrBroken.Errorf("%s: last frame lost", f.target)
		}
	} else if f.held == nil {
		if _, struck := f.faults.Take(f.target, fault.KindReorderFrames); struck {
			f.held = &frame
			return nil
		}
	}
	return f.emit(frame)
}

// emit writes the frame, a second time if that fault strikes, and the one that
// was held back for it.
func (f *frameWriter) emit(frame api.StreamFrame) error {
	if err := f.encoder.Encode(frame); err != nil {
		return errs.Wrap(err)
	}
	if _, struck := f.faults.Take(f.target, fault.KindDuplicateFrames); struck {
		if err := f.encoder.Encode(frame); err != nil {
			return errs.Wrap(err)
		}
	}
	if f.held == nil {
		return nil
	}
	held := *f.held
	f.held = nil
	return f.emit(held)
}

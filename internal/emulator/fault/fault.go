// Package fault holds the switches that make the stand-ins fail.
//
// A Fault names a target (an engine, an application instance or a service), a
// kind, and optionally how often, for how long and with which probability it
// strikes. The stand-ins ask the Set at the points where a fault of a kind can
// strike. Probabilities are drawn from a seeded source.
package fault

import (
	"time"

	"github.com/zeebo/errs/v2"
)

// Kind says how a target fails.
type Kind string

const (
	// KindDown answers every call with status 503; nothing is done.
	KindDown Kind = "down"
	// KindHang takes calls and never answers them; nothing is done.
	KindHang Kind = "hang"
	// KindSlow delays every call by Delay before it is done.
	KindSlow Kind = "slow"
	// KindLostAnswer does the call and breaks the connection before the answer.
	// It strikes calls that change something, and streams before their last frame.
	KindLostAnswer Kind = "lost_answer"
	// KindCrash closes the listener and every connection; memory is lost. The
	// target comes back when the fault goes.
	KindCrash Kind = "crash"
	// KindFreeze takes connections and stalls everything, time inside the target
	// included, until the fault goes.
	KindFreeze Kind = "freeze"
	// KindLoadFail lets a weight swap of an engine fail partway.
	KindLoadFail Kind = "load_fail"
	// KindLateFrames delays every frame of a stream by Delay.
	KindLateFrames Kind = "late_frames"
	// KindDuplicateFrames sends frames of a stream twice.
	KindDuplicateFrames Kind = "duplicate_frames"
	// KindReorderFrames swaps a frame of a stream with the one after it.
	KindReorderFrames Kind = "reorder_frames"
)

var kinds = map[Kind]bool{
	KindDown: true, KindHang: true, KindSlow: true, KindLostAnswer: true, KindCrash: true, KindFreeze: true,
	KindLoadFail: true, KindLateFrames: true, KindDuplicateFrames: true, KindReorderFrames: true,
}

const (
	// ErrInvalid is returned for a fault that makes no sense.
	ErrInvalid = errs.Tag("fault: invalid")
	// ErrDown is returned by a call that KindDown struck.
	ErrDown = errs.Tag("fault: target down")
	// ErrBroken is returned by a call whose connection is to break.
	ErrBroken = errs.Tag("fault: connection broken")
)

// Fault is one switch.
type Fault struct {
	// ID is set by Add.
	ID     string `json:"id,omitempty"`
	Target string `json:"target"`
	Kind   Kind   `json:"kind"`
	// Count is the number of times that the fault strikes before it goes; zero
	// means without limit. It does not apply to KindCrash and KindFreeze, which
	// last until they are switched off.
	Count int `json:"count,omitempty"`
	// DurationMS is the time after which the fault goes; zero means never.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// DelayMS belongs to KindSlow and KindLateFrames.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// Probability in (0,1] is that of striking; zero means 1.
	Probability float64 `json:"probability,omitempty"`
}

// Delay returns the delay of KindSlow and KindLateFrames.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

func (f Fault) check() error {
	switch {
	case f.Target == "":
		return ErrInvalid.Errorf("target is empty")
	case !kinds[f.Kind]:
		return ErrInvalid.Errorf("kind %q", f.Kind)
	case f.Count < 0 || f.DurationMS < 0 || f.DelayMS < 0:
		return ErrInvalid.Errorf("negative count, duration_ms or delay_ms")
	case f.Probability < 0 || f.Probability > 1:
		return ErrInvalid.Errorf("probability %v", f.Probability)
	}
	return nil
}

package rowstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
)

// Recall is a Store that notices when a store which has been silent answers again,
// whole or in one partition, and ends the calls that were sent into the silence, so
// that their callers try again at once rather than when their limits have run out.
//
// A call is suspect once it has waited for longer than an answer takes. If nothing
// was answered meanwhile, by the store or for the call's partition, small reads
// probe it until one is. The first answer shows that it is back: calls that began
// before, and since the last answer before the silence, are ended with ErrUnknown;
// a List is sent again. A call whose answer is arriving (see WithProgress) counts as answered
// and begun anew with each part of it.
type Recall struct {
	store Store

	mu sync.Mutex
	// whole is the silence of the store, parts that of each partition.
	whole silence
	parts map[string]*silence
	calls map[*pendingCall]struct{}
}

// silence is what is known of a store, or of a part of it, that may not answer.
type silence struct {
	// answered is when the last answer came.
	answered clock.Millis
	// silent tells that it is taken to be silent; probing, that it is probed.
	silent, probing bool
}

type pendingCall struct {
	part string
	// began is when the call began, or when more of its answer last arrived.
	began  clock.Millis
	cancel context.CancelCauseFunc
}

const (
	// suspectAfter is how long a call waits before it is suspect.
	suspectAfter clock.Millis = 900
	// silenceLeast is how long nothing may have been answered for the store to be
	// probed: a slow store still answers now and then.
	silenceLeast clock.Millis = 600
	// probeEvery is the time between two probes, each of which may take so long.
	probeEvery clock.Millis = 250
)

// errRecalled is why a call was ended when the store came back.
var errRecalled = errors.New("store is back, call was sent before")

// NewRecall returns a Recall over store.
func NewRecall(store Store) *Recall {
	return &Recall{
		store: store, whole: silence{answered: clock.Now()}, parts: make(map[string]*silence),
		calls: make(map[*pendingCall]struct{}),
	}
}

// Commit implements Store.
func (r *Recall) Commit(ctx context.Context, transaction Transaction) (int64, error) {
	var revision int64
	err := r.call(ctx, transaction.Partition(), 0, func(ctx context.Context) (err error) {
		revision, err = r.store.Commit(ctx, transaction)
		return err
	})
	return revision, err
}

// List implements Store.
func (r *Recall) List(ctx context.Context, table, partition, from, to string, limit int) (Snapshot, error) {
	var snapshot Snapshot
	list := func(ctx context.Context) (err error) {
		snapshot, err = r.store.List(ctx, table, partition, from, to, limit)
		return err
	}
	err := r.call(ctx, partition, 0, list)
	if errors.Is(err, errRecalled) {
		err = r.call(ctx, partition, 0, list)
	}
	return snapshot, err
}

// Watch implements Store.
func (r *Recall) Watch(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error) {
	var snapshot Snapshot
	err := r.call(ctx, "", clock.Of(wait), func(ctx context.Context) (err error) {
		snapshot, err = r.store.Watch(ctx, table, after, wait)
		return err
	})
	return snapshot, err
}

// call makes a call to a partition that may rightly take wait.
func (r *Recall) call(ctx context.Context, part string, wait clock.Millis, do func(context.Context) error) error {
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &pendingCall{part: part, began: clock.Now(), cancel: cancel}
	r.mu.Lock()
	if r.parts[part] == nil {
		r.parts[part] = &silence{}
	}
	r.calls[c] = struct{}{}
	r.mu.Unlock()
	suspect := time.AfterFunc((wait + suspectAfter).Duration(), func() { r.suspect(part) })
	err := do(WithProgress(bounded, func() { r.progress(c) }))
	suspect.Stop()
	r.mu.Lock()
	delete(r.calls, c)
	if Answered(err) {
		r.note(part, c.began)
	}
	r.mu.Unlock()
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(bounded), errRecalled) {
		return fmt.Errorf("%w: %w", ErrUnknown, errRecalled)
	}
	return err
}

// progress notes that more of the answer to a call has arrived.
func (r *Recall) progress(c *pendingCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	c.began = now
	for _, s := range []*silence{&r.whole, r.parts[c.part]} {
		if !s.silent {
			s.answered = now
		}
	}
}

// Answered tells whether a call's outcome shows that the store works.
func Answered(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.As(err, &conflict) || errors.Is(err, ErrCompacted)
}

// note takes the answer to a call to a partition that began at a moment. If there
// was silence, it is over. The lock is held.
func (r *Recall) note(part string, began clock.Millis) {
	for c := range r.calls {
		ended := r.whole.endedBy(c, began) || c.part == part && r.parts[part].endedBy(c, began)
		if ended {
			c.cancel(errRecalled)
		}
	}
	now := clock.Now()
	r.whole.silent, r.whole.answered = false, now
	r.parts[part].silent, r.parts[part].answered = false, now
}

// endedBy tells whether a call was sent into a silence that the answer to one which
// began at a moment has ended.
func (s *silence) endedBy(c *pendingCall, began clock.Millis) bool {
	return s.silent && c.began >= s.answered && c.began < began
}

// suspect begins to probe if there is silence.
func (r *Recall) suspect(part string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range []*silence{&r.whole, r.parts[part]} {
		if s.silent || clock.Now()-s.answered < silenceLeast {
			continue
		}
		s.silent = true
		if !s.probing {
			s.probing = true
			go r.probe(s, part)
		}
		// While all is silent, one probe is enough.
		return
	}
}

// probeTable is the table that probes read; it need not exist.
const probeTable = "probe"

// probe reads a partition until it answers, or nobody waits for it any more.
func (r *Recall) probe(s *silence, part string) {
	for {
		began := clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), probeEvery.Duration())
		_, err := r.store.List(ctx, probeTable, part, "", "", 1)
		cancel()
		if r.probed(s, part, began, err) {
			return
		}
		time.Sleep((probeEvery - (clock.Now() - began)).Duration())
	}
}

// probed takes the outcome of a probe and tells whether it was the last.
func (r *Recall) probed(s *silence, part string, began clock.Millis, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if Answered(err) {
		r.note(part, began)
	}
	if !r.waitsFor(s, part) {
		s.silent = false
	}
	s.probing = s.silent
	return !s.probing
}

// waitsFor tells whether a call is under way that a silence may hold up. The lock is
// held.
func (r *Recall) waitsFor(s *silence, part string) bool {
	for c := range r.calls {
		if s == &r.whole || c.part == part {
			return true
		}
	}
	return false
}

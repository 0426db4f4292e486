package rowstore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/clock"
)

// Recall is a Store that notices when a store which has been silent answers again,
// and ends the calls that were sent into the silence, so that their callers try
// again at once rather than when their limits have run out.
//
// A call is suspect once it has waited for longer than an answer takes. If nothing
// was answered meanwhile, a small read probes the store until one is. An answered
// probe shows that the store is back: calls that began before it, and since the
// last answer before the silence, are ended with ErrUnknown; a List is sent again.
type Recall struct {
	store Store

	mu sync.Mutex
	// answered is when the last answer came; calls are those under way.
	answered clock.Millis
	calls    map[*pendingCall]struct{}
	// silent tells that the store is taken to be silent; probing, that it is probed.
	silent, probing bool
}

type pendingCall struct {
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
	return &Recall{store: store, answered: clock.Now(), calls: make(map[*pendingCall]struct{})}
}

// Commit implements Store.
func (r *Recall) Commit(ctx context.Context, transaction Transaction) (int64, error) {
	var revision int64
	err := r.call(ctx, 0, func(ctx context.Context) (err error) {
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
	err := r.call(ctx, 0, list)
	if errors.Is(err, errRecalled) {
		err = r.call(ctx, 0, list)
	}
	return snapshot, err
}

// Watch implements Store.
func (r *Recall) Watch(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error) {
	var snapshot Snapshot
	err := r.call(ctx, clock.Of(wait), func(ctx context.Context) (err error) {
		snapshot, err = r.store.Watch(ctx, table, after, wait)
		return err
	})
	return snapshot, err
}

// call makes a call that may rightly take wait.
func (r *Recall) call(ctx context.Context, wait clock.Millis, do func(context.Context) error) error {
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &pendingCall{began: clock.Now(), cancel: cancel}
	r.mu.Lock()
	r.calls[c] = struct{}{}
	r.mu.Unlock()
	suspect := time.AfterFunc((wait + suspectAfter).Duration(), r.suspect)
	err := do(bounded)
	suspect.Stop()
	r.mu.Lock()
	delete(r.calls, c)
	if answers(err) {
		r.note(c.began)
	}
	r.mu.Unlock()
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(bounded), errRecalled) {
		return fmt.Errorf("%w: %w", ErrUnknown, errRecalled)
	}
	return err
}

// answers tells whether a call's outcome shows that the store works.
func answers(err error) bool {
	var conflict *ConflictError
	return err == nil || errors.As(err, &conflict) || errors.Is(err, ErrCompacted)
}

// note takes the answer to a call that began at a moment. If the store was silent,
// it is back: calls that were sent before, and not before the silence, are ended.
// The lock is held.
func (r *Recall) note(began clock.Millis) {
	if r.silent {
		for c := range r.calls {
			if c.began >= r.answered && c.began < began {
				c.cancel(errRecalled)
			}
		}
	}
	r.silent = false
	r.answered = clock.Now()
}

// suspect begins to probe if the store has been silent.
func (r *Recall) suspect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent || clock.Now()-r.answered < silenceLeast {
		return
	}
	r.silent = true
	if !r.probing {
		r.probing = true
		go r.probe()
	}
}

// probeTable is the table that probes read; it need not exist.
const probeTable = "probe"

// probe reads until the store answers, or nobody waits for it any more.
func (r *Recall) probe() {
	for {
		began := clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), probeEvery.Duration())
		_, err := r.store.List(ctx, probeTable, "", "", "", 1)
		cancel()
		if r.probed(began, err) {
			return
		}
		time.Sleep((probeEvery - (clock.Now() - began)).Duration())
	}
}

// probed takes the outcome of a probe and tells whether it was the last.
func (r *Recall) probed(began clock.Millis, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answers(err) {
		r.note(began)
	}
	if len(r.calls) == 0 {
		r.silent = false
	}
	r.probing = r.silent
	return !r.probing
}

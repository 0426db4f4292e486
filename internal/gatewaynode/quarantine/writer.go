package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

const (
	// maxTransactionRows bounds the rows of one transaction.
	maxTransactionRows = 50
	// writeBurst is the number of transactions that may be written without waiting for
	// Writer.Rest.
	writeBurst = 4
	// writeRetry is the delay after a failed transaction, writeLimit the timeout of one.
	writeRetry = 200 * time.Millisecond
	writeLimit = 1500 * time.Millisecond
	// tellAfter is the number of consecutive failed writes after which failures are sent to other
	// nodes directly. Single failures are normal when many nodes share the store's capacity.
	tellAfter = 3
	// ageEvery is the interval at which expired evidence is removed.
	ageEvery = time.Second
)

// Writer configures how a Tracker distributes its evidence.
type Writer struct {
	// Rest returns the time between two transactions of this node while all nodes write.
	Rest func() time.Duration
	// Tell, if not nil, sends failures that could not be written to the other nodes.
	Tell func(context.Context, []Failure)
}

// Run writes evidence to the store and removes expired evidence until ctx is done.
func (t *Tracker) Run(ctx context.Context, w Writer) {
	limiter := rate.NewLimiter(rate.Every(w.Rest()), writeBurst)
	ticker := time.NewTicker(ageEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.age(time.Now())
			limiter.SetLimit(rate.Every(w.Rest()))
			continue
		case <-t.outbox.wake:
		}
		if limiter.Wait(ctx) != nil {
			return
		}
		if t.key.Load() == nil {
			t.makeKey(ctx)
		}
		t.write(ctx, w)
	}
}

// write commits one transaction of queued changes and wakes Run again if any are left.
func (t *Tracker) write(ctx context.Context, w Writer) {
	puts, deletes := t.take()
	if len(puts)+len(deletes) == 0 {
		return
	}
	var transaction rowstore.Transaction
	for _, failure := range puts {
		transaction.Puts = append(transaction.Puts, rowOf(failure))
	}
	for _, key := range deletes {
		transaction.Deletes = append(transaction.Deletes, rowID(key))
	}
	bounded, cancel := context.WithTimeout(ctx, writeLimit)
	_, err := t.config.Store.Commit(bounded, transaction)
	cancel()
	if err != nil {
		t.config.Log.Warn(eventlog.EvidenceUnsent, eventlog.Fields{
			eventlog.Count: len(puts), "deletes": len(deletes), eventlog.Cause: err.Error(),
		})
		t.failedWrites++
		t.tell(ctx, w, puts)
		pause.For(ctx, writeRetry)
	}
	if err == nil {
		t.failedWrites = 0
	}
	t.written(puts, deletes, err == nil)
}

// take returns the changes of the next transaction, those of works with the most failures first.
func (t *Tracker) take() (puts []Failure, deletes []rowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, waiting := range t.outbox.puts {
		puts = append(puts, waiting.failure)
	}
	slices.SortFunc(puts, func(x, y Failure) int {
		return cmp.Or(cmp.Compare(t.failureCount(y.Work), t.failureCount(x.Work)), cmp.Compare(keyOf(x), keyOf(y)))
	})
	puts = puts[:min(len(puts), maxTransactionRows)]
	for key := range t.outbox.deletes {
		if len(puts)+len(deletes) < maxTransactionRows {
			deletes = append(deletes, key)
		}
	}
	return puts, deletes
}

// tell sends failures that could not be written to the other nodes in the background, once
// tellAfter writes in a row have failed. At most one Writer.Tell is in progress.
func (t *Tracker) tell(ctx context.Context, w Writer, puts []Failure) {
	if w.Tell == nil || t.failedWrites < tellAfter || !t.telling.CompareAndSwap(false, true) {
		return
	}
	untold := t.untold(puts)
	go func() {
		defer t.telling.Store(false)
		if len(untold) > 0 {
			w.Tell(ctx, untold)
		}
	}()
}

// untold returns those of puts that were not sent to other nodes yet and marks them as sent.
func (t *Tracker) untold(puts []Failure) []Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Failure
	for _, failure := range puts {
		waiting, found := t.outbox.puts[keyOf(failure)]
		if found && !waiting.told {
			waiting.told = true
			t.outbox.puts[keyOf(failure)] = waiting
			list = append(list, failure)
		}
	}
	return list
}

// failureCount returns the number of failures of a work. The caller holds t.mu.
func (t *Tracker) failureCount(work fingerprint.Fingerprint) int {
	if s := t.suspects[work]; s != nil {
		return len(s.failures)
	}
	return 0
}

// written removes the changes of a successful transaction from the queue. Those of a failed
// one stay, as writing them twice has no effect.
func (t *Tracker) written(puts []Failure, deletes []rowKey, done bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, failure := range puts {
		if !done {
			continue
		}
		delete(t.outbox.puts, keyOf(failure))
		if s := t.suspects[failure.Work]; s != nil {
			if k, found := s.failures[failure.id()]; found {
				k.stored = true
				s.failures[failure.id()] = k
			}
		}
	}
	for _, key := range deletes {
		if done {
			delete(t.outbox.deletes, key)
		}
	}
	if len(t.outbox.puts)+len(t.outbox.deletes) > 0 {
		t.outbox.signal()
	}
}

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
	// rowsMost bounds the rows of one transaction.
	rowsMost = 50
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
func (b *Tracker) Run(ctx context.Context, w Writer) {
	limiter := rate.NewLimiter(rate.Every(w.Rest()), writeBurst)
	ticker := time.NewTicker(ageEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.age(time.Now())
			limiter.SetLimit(rate.Every(w.Rest()))
			continue
		case <-b.outbox.wake:
		}
		if limiter.Wait(ctx) != nil {
			return
		}
		if b.key.Load() == nil {
			b.makeKey(ctx)
		}
		b.write(ctx, w)
	}
}

// write commits one transaction of queued changes and wakes Run again if any are left.
func (b *Tracker) write(ctx context.Context, w Writer) {
	puts, deletes := b.take()
	if len(puts)+len(deletes) == 0 {
		return
	}
	var transaction rowstore.Transaction
	for _, end := range puts {
		transaction.Puts = append(transaction.Puts, rowOf(end))
	}
	for _, key := range deletes {
		transaction.Deletes = append(transaction.Deletes, rowID(key))
	}
	bounded, cancel := context.WithTimeout(ctx, writeLimit)
	_, err := b.config.Store.Commit(bounded, transaction)
	cancel()
	if err != nil {
		b.config.Log.Warn(eventlog.EvidenceUnsent, eventlog.Fields{eventlog.Count: len(puts), "deletes": len(deletes), eventlog.Cause: err.Error()})
		b.failures++
		b.tell(ctx, w, puts)
		pause.For(ctx, writeRetry)
	}
	if err == nil {
		b.failures = 0
	}
	b.written(puts, deletes, err == nil)
}

// take returns the changes of the next transaction, those of works with the most failures first.
func (b *Tracker) take() (puts []Failure, deletes []rowKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, waiting := range b.outbox.puts {
		puts = append(puts, waiting.end)
	}
	slices.SortFunc(puts, func(x, y Failure) int {
		return cmp.Or(cmp.Compare(b.ends(y.Work), b.ends(x.Work)), cmp.Compare(keyOf(x), keyOf(y)))
	})
	puts = puts[:min(len(puts), rowsMost)]
	for key := range b.outbox.deletes {
		if len(puts)+len(deletes) < rowsMost {
			deletes = append(deletes, key)
		}
	}
	return puts, deletes
}

// tell sends failures that could not be written to the other nodes in the background, once
// tellAfter writes in a row have failed. At most one Writer.Tell is in progress.
func (b *Tracker) tell(ctx context.Context, w Writer, puts []Failure) {
	if w.Tell == nil || b.failures < tellAfter || !b.telling.CompareAndSwap(false, true) {
		return
	}
	untold := b.untold(puts)
	go func() {
		defer b.telling.Store(false)
		if len(untold) > 0 {
			w.Tell(ctx, untold)
		}
	}()
}

// untold returns those of puts that were not sent to other nodes yet and marks them as sent.
func (b *Tracker) untold(puts []Failure) []Failure {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Failure
	for _, end := range puts {
		waiting, found := b.outbox.puts[keyOf(end)]
		if found && !waiting.told {
			waiting.told = true
			b.outbox.puts[keyOf(end)] = waiting
			list = append(list, end)
		}
	}
	return list
}

// ends returns the number of failures of a work. The caller holds b.mu.
func (b *Tracker) ends(work fingerprint.Fingerprint) int {
	if s := b.suspects[work]; s != nil {
		return len(s.ends)
	}
	return 0
}

// written removes the changes of a successful transaction from the queue. Those of a failed
// one stay, as writing them twice has no effect.
func (b *Tracker) written(puts []Failure, deletes []rowKey, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, end := range puts {
		if !done {
			continue
		}
		delete(b.outbox.puts, keyOf(end))
		if s := b.suspects[end.Work]; s != nil {
			if k, found := s.ends[end.id()]; found {
				k.stored = true
				s.ends[end.id()] = k
			}
		}
	}
	for _, key := range deletes {
		if done {
			delete(b.outbox.deletes, key)
		}
	}
	if len(b.outbox.puts)+len(b.outbox.deletes) > 0 {
		b.outbox.kick()
	}
}

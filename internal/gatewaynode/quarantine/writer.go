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
	// writeBurst is how many transactions a node may write at once; more of them follow
	// at the pace of Writer.Rest.
	writeBurst = 4
	// writeRetry is the pause after a transaction that failed, writeLimit bounds one.
	writeRetry = 200 * time.Millisecond
	writeLimit = 1500 * time.Millisecond
	// tellAfter is after how many failures in a row other nodes are told directly: where many
	// nodes share what the store takes, it refuses some of their writes now and then.
	tellAfter = 3
	// ageEvery is how often old evidence is sought.
	ageEvery = time.Second
)

// Writer says how a Book's evidence is written.
type Writer struct {
	// Rest returns the time between two transactions where all nodes write.
	Rest func() time.Duration
	// Tell tells other nodes of ends that could not be written; it may be nil.
	Tell func(context.Context, []End)
}

// Run writes evidence and forgets what is old until ctx ends.
func (b *Book) Run(ctx context.Context, w Writer) {
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

// write writes the first of what waits, and asks to be called again if there is more.
func (b *Book) write(ctx context.Context, w Writer) {
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

// take returns what goes into the next transaction: works with the most ends first.
func (b *Book) take() (puts []End, deletes []rowKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, waiting := range b.outbox.puts {
		puts = append(puts, waiting.end)
	}
	slices.SortFunc(puts, func(x, y End) int {
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

// tell tells other nodes of ends that could not be written, once the store has not taken
// any for a while. One telling is under way at a time.
func (b *Book) tell(ctx context.Context, w Writer, puts []End) {
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

// untold returns the ends that other nodes were not told of yet, and notes that they are.
func (b *Book) untold(puts []End) []End {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []End
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

// ends returns how many ends are known of a work. The lock is held.
func (b *Book) ends(work fingerprint.Fingerprint) int {
	if s := b.suspects[work]; s != nil {
		return len(s.ends)
	}
	return 0
}

// written takes what became of a transaction; what failed is written again: the rows are
// the same, whatever became of the first time.
func (b *Book) written(puts []End, deletes []rowKey, done bool) {
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

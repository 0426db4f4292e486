package quarantine

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fingerprint"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Table is the table of the evidence. Its rows hold no body, path or key of a caller.
const Table = "evidence"

// keyRow is the row of the key that fingerprints are made with.
const keyRow = "key"

// row is the value of an end's row.
type row struct {
	Service string `json:"service"`
	How     How    `json:"how"`
	Node    string `json:"node"`
}

// errRow says that a row is no evidence.
var errRow = errors.New("quarantine: row is no evidence")

// endOf reads the row of an end; of a deleted one, what its key says.
func endOf(r rowstore.Row) (End, error) {
	work, id, found := strings.Cut(r.Key, "/")
	if !found {
		return End{}, errRow
	}
	parsed, err := fingerprint.Parse(work)
	if err != nil {
		return End{}, err
	}
	end := End{Work: parsed, Backend: id}
	if r.Deleted {
		return end, nil
	}
	var value row
	if err := json.Unmarshal(r.Value, &value); err != nil {
		return End{}, err
	}
	end.Service, end.How, end.Node = value.Service, value.How, value.Node
	return end, nil
}

// rowOf returns the row of an end.
func rowOf(end End) rowstore.Row {
	value, err := json.Marshal(row{Service: end.Service, How: end.How, Node: end.Node})
	if err != nil {
		panic("quarantine: an end cannot be encoded: " + err.Error())
	}
	return rowstore.Row{RowID: rowID(end), Value: value}
}

func rowID(end End) rowstore.RowID { return rowstore.RowID{Table: Table, Key: string(keyOf(end))} }

// keyRetry is the pause between attempts to read the key.
const keyRetry = 100 * time.Millisecond

// LoadKey returns the key that all nodes make fingerprints with: the one in the store or,
// if there is none, a new one. It waits until the store answers or ctx ends.
func LoadKey(ctx context.Context, store rowstore.Store) (fingerprint.Key, error) {
	for {
		key, err := loadKey(ctx, store)
		if err == nil {
			return key, nil
		}
		if !pause.For(ctx, keyRetry) {
			return fingerprint.Key{}, ctx.Err()
		}
	}
}

// errNoKey says that the key is to be read again.
var errNoKey = errors.New("quarantine: no key is known yet")

func loadKey(ctx context.Context, store rowstore.Store) (fingerprint.Key, error) {
	var key fingerprint.Key
	found, err := store.List(ctx, Table, "", keyRow, rowstore.KeyEnd(keyRow), 1)
	if err != nil {
		return key, err
	}
	if len(found.Rows) == 1 && copy(key[:], found.Rows[0].Value) == len(key) {
		return key, nil
	}
	key = fingerprint.NewKey()
	id := rowstore.RowID{Table: Table, Key: keyRow}
	condition := rowstore.Condition{RowID: id}
	if len(found.Rows) == 1 {
		condition.Revision = found.Rows[0].Revision
	}
	_, err = store.Commit(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{condition}, Puts: []rowstore.Row{{RowID: id, Value: key[:]}},
	})
	if err != nil {
		// Also where the outcome is not known, or another node was first: what is there
		// is read again.
		return key, errors.Join(errNoKey, err)
	}
	return key, nil
}

// Apply takes rows of the table, as rowstore.ViewConfig.Apply.
func (b *Book) Apply(rows []rowstore.Row, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	present := make(map[rowKey]bool, len(rows))
	for _, r := range rows {
		if r.Key == keyRow {
			continue
		}
		end, err := endOf(r)
		if err != nil {
			b.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: r.Key, eventlog.Cause: err.Error()})
			continue
		}
		if r.Deleted {
			b.cleared(end, now)
			continue
		}
		present[keyOf(end)] = true
		b.learn(known{End: end, at: now, stored: true})
	}
	if !complete {
		return
	}
	for _, s := range b.suspects {
		for _, k := range s.ends {
			if k.stored && !present[keyOf(k.End)] {
				b.cleared(k.End, now)
			}
		}
	}
}

// cleared takes that the row of an end is gone. One that this node has yet to write stays.
// The lock is held.
func (b *Book) cleared(end End, now time.Time) {
	s := b.suspects[end.Work]
	if s == nil {
		return
	}
	k, found := s.ends[end.Backend]
	if !found || !k.stored {
		return
	}
	b.withdraw(s, end.Backend, now)
}

const (
	// rowsMost bounds the rows of one transaction.
	rowsMost = 50
	// writeBurst is how many transactions a node may write at once; more of them follow
	// at the pace of Writer.Rest.
	writeBurst = 4
	// writeRetry is the pause after a transaction that failed, writeLimit bounds one.
	writeRetry = 200 * time.Millisecond
	writeLimit = 1500 * time.Millisecond
	// ageEvery is how often old evidence is sought.
	ageEvery = time.Second
)

// Writer is what a Book's evidence is written with.
type Writer struct {
	Store rowstore.Store
	// Rest returns the time between two transactions where all nodes write.
	Rest func() time.Duration
	// Tell tells other nodes of ends that could not be written; it may be nil.
	Tell func([]End)
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
	for _, end := range deletes {
		transaction.Deletes = append(transaction.Deletes, rowID(end))
	}
	bounded, cancel := context.WithTimeout(ctx, writeLimit)
	_, err := w.Store.Commit(bounded, transaction)
	cancel()
	if err != nil {
		b.config.Log.Warn(eventlog.EvidenceUnsent, eventlog.Fields{eventlog.Count: len(puts), "deletes": len(deletes), eventlog.Cause: err.Error()})
		if w.Tell != nil && len(puts) > 0 {
			w.Tell(puts)
		}
		pause.For(ctx, writeRetry)
	}
	b.written(puts, deletes, err == nil)
}

// take returns what goes into the next transaction: works with the most ends first.
func (b *Book) take() (puts, deletes []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, end := range b.outbox.puts {
		puts = append(puts, end)
	}
	slices.SortFunc(puts, func(x, y End) int {
		return cmp.Or(cmp.Compare(b.ends(y.Work), b.ends(x.Work)), cmp.Compare(keyOf(x), keyOf(y)))
	})
	puts = puts[:min(len(puts), rowsMost)]
	for _, end := range b.outbox.deletes {
		if len(puts)+len(deletes) < rowsMost {
			deletes = append(deletes, end)
		}
	}
	return puts, deletes
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
func (b *Book) written(puts, deletes []End, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, end := range puts {
		if !done {
			continue
		}
		delete(b.outbox.puts, keyOf(end))
		if s := b.suspects[end.Work]; s != nil {
			if k, found := s.ends[end.Backend]; found {
				k.stored = true
				s.ends[end.Backend] = k
			}
		}
	}
	for _, end := range deletes {
		if done {
			delete(b.outbox.deletes, keyOf(end))
		}
	}
	if len(b.outbox.puts)+len(b.outbox.deletes) > 0 {
		b.outbox.kick()
	}
}

// Told takes ends that another node saw and could not write.
func (b *Book) Told(ends []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, end := range ends {
		if !end.Work.IsZero() && end.Backend != "" {
			b.learn(known{End: end, at: now})
		}
	}
}

package quarantine

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
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
	end, err := endOfKey(r.Key)
	if err != nil || r.Deleted {
		return end, err
	}
	var value row
	if err := json.Unmarshal(r.Value, &value); err != nil {
		return End{}, err
	}
	return value.with(end), nil
}

// endOfKey returns what the key of an end's row says.
func endOfKey(key string) (End, error) {
	work, rest, _ := strings.Cut(key, "/")
	last := strings.LastIndex(rest, "/")
	if last <= 0 {
		return End{}, errRow
	}
	life, err := strconv.Atoi(rest[last+1:])
	if err != nil {
		return End{}, errRow
	}
	parsed, err := fingerprint.Parse(work)
	return End{Work: parsed, Backend: rest[:last], Life: life}, err
}

// with returns an end with what the value of its row says.
func (r row) with(end End) End {
	end.Service, end.How, end.Node = r.Service, r.How, r.Node
	return end
}

func rowValue(end End) row { return row{Service: end.Service, How: end.How, Node: end.Node} }

// rowOf returns the row of an end.
func rowOf(end End) rowstore.Row {
	value, err := json.Marshal(rowValue(end))
	if err != nil {
		panic("quarantine: an end cannot be encoded: " + err.Error())
	}
	return rowstore.Row{RowID: rowID(keyOf(end)), Value: value}
}

func rowID(key rowKey) rowstore.RowID { return rowstore.RowID{Table: Table, Key: string(key)} }

// Apply takes rows of the table, as rowstore.ViewConfig.Apply.
func (b *Book) Apply(rows []rowstore.Row, complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	present := make(map[rowKey]bool, len(rows))
	for _, r := range rows {
		if r.Key == keyRow {
			b.takeKey(r.Value)
			continue
		}
		if work, is := trialOf(r.Key); is {
			b.sawTrial(work, r.Deleted)
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
	if b.key.Load() == nil {
		b.outbox.kick()
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
	k, found := s.ends[end.id()]
	if !found || !k.stored {
		return
	}
	b.withdraw(s, end.id(), now)
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
		if untold := b.untold(puts); w.Tell != nil && len(untold) > 0 {
			w.Tell(ctx, untold)
		}
		pause.For(ctx, writeRetry)
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

// message is an end as nodes tell each other.
type message struct {
	Key string `json:"key"`
	row
}

// Message returns ends as Told takes them.
func Message(ends []End) json.RawMessage {
	list := make([]message, 0, len(ends))
	for _, end := range ends {
		list = append(list, message{Key: string(keyOf(end)), row: rowValue(end)})
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		panic("quarantine: ends cannot be encoded: " + err.Error())
	}
	return encoded
}

// Told takes ends that another node saw and could not write.
func (b *Book) Told(encoded json.RawMessage) {
	var list []message
	if err := json.Unmarshal(encoded, &list); err != nil {
		b.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Cause: err.Error()})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, m := range list {
		end, err := endOfKey(m.Key)
		if err != nil {
			b.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: Table, eventlog.Key: m.Key, eventlog.Cause: err.Error()})
			continue
		}
		b.learn(known{End: m.with(end), at: now})
	}
}

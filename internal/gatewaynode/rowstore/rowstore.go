// Package rowstore is the product's view of the replicated row store that holds
// all state which must outlast a process.
//
// Rows live in a table and a partition under a key, and carry the revision of
// the transaction that wrote them. A transaction is all or nothing, touches one
// partition, and may be conditional on the revisions of rows. Every answer is
// linearizable and names the newest revision, which rises with every
// transaction.
//
// A commit has three outcomes and never a fourth: done, definitely not done
// (ErrRefused, ConflictError), or unknown (ErrUnknown), in which case it may
// still take effect later while its conditions hold. Callers settle an unknown
// outcome by writing again under the same conditions and comparing what a
// conflict returns; they never turn it into a promise.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// Sentinel errors of a Store.
var (
	// ErrRefused says that nothing was done; the same call may succeed later.
	ErrRefused = errors.New("rowstore: refused, nothing done")
	// ErrUnknown says that the call may have been done, or may be done later.
	ErrUnknown = errors.New("rowstore: no answer, outcome unknown")
	// ErrCompacted says that the history a watch wants is gone.
	ErrCompacted = errors.New("rowstore: history compacted")
	// ErrStale says that a read was older than what the process has seen.
	ErrStale = errors.New("rowstore: answer older than an earlier one")
	// ErrInvalid says that the store will never accept the call.
	ErrInvalid = errors.New("rowstore: invalid call")
)

// ConflictError says that a condition did not hold, and how the rows of the
// conditions are.
type ConflictError struct {
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("rowstore: condition failed, %d rows differ", len(e.Rows))
}

// CutError says that the answer to a call was given up before it was whole.
type CutError struct {
	// Received is how much of the answer had arrived, in bytes.
	Received int
	Cause    error
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("answer cut off after %d bytes: %s", e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// RowID names a row.
type RowID struct {
	Table     string
	Partition string
	Key       string
}

// Row is a row as of one moment. Revision 0 means that it does not exist.
type Row struct {
	RowID
	Value    []byte
	Revision int64
	// Deleted marks a removed row in the answer of a watch.
	Deleted bool
}

// Condition demands that a row has a revision; 0 demands that it is absent.
type Condition struct {
	RowID
	Revision int64
}

// Transaction is applied whole or not at all.
type Transaction struct {
	Conditions []Condition
	Puts       []Row
	Deletes    []RowID
}

// Entries returns the number of entries that count for the store's limit:
// conditions, puts and deletes.
func (t Transaction) Entries() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// Partition returns the partition that the transaction touches.
func (t Transaction) Partition() string {
	switch {
	case len(t.Conditions) > 0:
		return t.Conditions[0].Partition
	case len(t.Puts) > 0:
		return t.Puts[0].Partition
	case len(t.Deletes) > 0:
		return t.Deletes[0].Partition
	default:
		return ""
	}
}

// Snapshot is the answer to a read. Revision is the newest of the store.
type Snapshot struct {
	Rows     []Row
	More     bool
	Revision int64
	// Taken is the moment of the answer by the store's own steady clock, in milliseconds; 0
	// if it is not told. Moments that different nodes were told may be compared.
	Taken int64
}

// Limits are what the store takes in one call and from all nodes together.
type Limits struct {
	// RowBytes bounds the value of a row.
	RowBytes int
	// TransactionRows bounds Transaction.Entries.
	TransactionRows int
	// WritesPerSecond and ReadsPerSecond are shared by all nodes.
	WritesPerSecond, ReadsPerSecond float64
}

// Store is the row store. Implementations bound the time of every call.
type Store interface {
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, transaction Transaction) (int64, error)
	// List returns rows of a partition with keys in [from, to), ascending; an
	// empty to means no end.
	List(ctx context.Context, table, partition, from, to string, limit int) (Snapshot, error)
	// Watch returns the rows of a table that changed after a revision, as soon as
	// there is one or when wait has passed.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error)
}

// Shards is the number of partitions that a sharded table is spread over. It
// is part of the stored layout: nodes of one system must agree on it.
const Shards = 8

// Shard returns the partition of the rows that belong to an identifier.
func Shard(id string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return shardName(hash.Sum32() % Shards)
}

// AllShards returns the partitions of a sharded table.
func AllShards() []string {
	names := make([]string, Shards)
	for i := range names {
		names[i] = shardName(uint32(i))
	}
	return names
}

func shardName(number uint32) string { return fmt.Sprintf("s%d", number) }

// KeyEnd returns the smallest key above all keys that begin with prefix.
func KeyEnd(prefix string) string { return prefix + "\xff" }

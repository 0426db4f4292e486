// Package rowlease gives one node at a time a duty that must have one holder: a lease
// in the row store, with a fencing token.
//
// Rows. A lease has a name and two rows. The lease's row names the holder and its
// term, and changes with each renewal; the row of the term changes with the holder
// alone, so that what a holder writes under the condition of its term cannot be
// added to after another node took the lease. The term is the fencing token: it
// rises with each acquisition and is in the store before the holder first acts.
//
// Validity. The holder renews its row by conditional writes and must not act later
// than Timing.Validity after it sent the last renewal that succeeded, by its steady
// clock. A node that sees no change of the row for that long, through a view that
// follows the store, takes the lease. No wall clock counts.
//
// Turns. What a holder sent may arrive after it lost the lease, where the receiver
// checks fences, and must not where it does not: the acts of two holders have to lie
// Timing.Settle apart for receivers that tell holders apart by time. Hold.ClearFrom is
// from when on the acts of all earlier holders lie that time back. A holder may lose
// the lease before then, without having acted: so its row tells how much of that time
// was left when it was written, and a later holder waits for that too.
//
// Release. At a planned stop the holder ends its work, then writes that it has
// released the lease and for how long it has been quiet; the next holder waits for
// the rest of the settling time alone. Nodes that were restarted by plan take leases
// before others, so that a rolling restart moves a lease once.
package rowlease

import (
	"encoding/json"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Table is the table of the leases' rows.
const Table = "lease"

// State is a lease's row.
type State struct {
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"`
	Term        int64  `json:"term"`
	Renewal     int64  `json:"renewal"`
	// Released says that the holder gave the lease up; QuietMillis, how long
	// before that it last acted at least, in milliseconds.
	Released    bool  `json:"released,omitempty"`
	QuietMillis int64 `json:"quiet_ms,omitempty"`
	// UnclearMillis is how long after the row was written acts of holders before this
	// one may still lie less than the settling time back, in milliseconds.
	UnclearMillis int64 `json:"unclear_ms,omitempty"`
}

// term is the row that changes with the holder alone.
type term struct {
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
}

// ID returns the id of a lease's row.
func ID(name string) rowstore.RowID { return rowstore.RowID{Table: Table, Key: name} }

// TermID returns the id of the row of a lease's term.
func TermID(name string) rowstore.RowID { return rowstore.RowID{Table: Table, Key: name + "/term"} }

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("rowlease: a row cannot be encoded: " + err.Error())
	}
	return encoded
}

// Timing holds the bounds that a lease is built on.
type Timing struct {
	// Settle is how long receivers take to tell two holders apart.
	Settle time.Duration
}

// Validity is how long a holder may act after a renewal. It is what a lapse of
// the lease is known after; three renewals fit into it.
func (t Timing) Validity() time.Duration { return t.Settle / 3 }

// renewEvery is how often the holder renews.
func (t Timing) renewEvery() time.Duration { return t.Validity() / 3 }

// Margin covers the delays of clocks and messages.
func (t Timing) Margin() time.Duration { return t.Settle / 10 }

// clearAfter returns how long after the last change of a holder's row the acts of that
// holder, and of those before it, lie Settle back. What an earlier process of the same
// node did is no act of another holder.
func (t Timing) clearAfter(before State, sameNode bool) time.Duration {
	earlier := time.Duration(before.UnclearMillis) * time.Millisecond
	if earlier > 0 {
		earlier += t.Margin()
	}
	switch {
	case before.Holder == "":
		return 0
	case sameNode:
		return earlier
	case before.Released:
		return max(earlier, t.Settle-time.Duration(before.QuietMillis)*time.Millisecond+t.Margin())
	}
	return max(earlier, t.Validity()+t.Settle+t.Margin())
}

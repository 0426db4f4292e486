// Package reload moves the back ends of model services to named versions of
// the weights. One node at a time gives orders: the holder of the lease.
//
// Lease. One row names the holder and its term, which is the fencing token of
// all its orders: it is written before the first order and rises with each
// acquisition. The holder renews the row by conditional writes and gives no
// order later than Validity after it sent the last renewal that succeeded, by
// its steady clock. A node that sees no change of the row for Validity, through
// a view that follows the store, takes the lease.
//
// Two holders. Orders of two holders to one back end must lie the settling time of
// the back ends apart. Before each order the holder writes a row of TableLoads for
// that back end, on the condition that the row of its term is as it wrote it; an
// order whose row was not written is not sent. The next holder changes the term's
// row in the transaction by which it takes the lease, and then reads TableLoads:
// nothing of the holder before can be added to what it reads. A back end of which
// a load is under way there, or was seen to end less than the settling time ago, is
// left alone until the old holder's last possible order lies that time back; all
// others are ordered at once.
//
// At a planned stop the holder first ends what it has begun, then writes that it
// has released the lease and how long it has been quiet; the next holder waits
// for the rest of the settling time alone. Nodes that were restarted by plan take
// the lease before others, so that a rolling restart moves it once.
//
// Orders. Each names the incarnation that must take it and the number of orders
// that the back end must have taken before, so that one which is carried out
// late does nothing. An order without an answer is settled by the back end's own
// report before anything else is sent to it.
//
// Policy. Steps accept the newest version and the one before. So each version is
// loaded on one half of the back ends, the halves taking turns: while one half
// loads, the other serves. Where several models share a service, each has a share
// of the back ends of its own.
package reload

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sliplift/sliplift/internal/rowstore"
)

// Tables of the row store.
const (
	// TableLease holds the lease.
	TableLease = "lease"
	// TableLoads tells, by back end, what the holder loads and has loaded.
	TableLoads = "loads"
)

const (
	leaseKey = "orders"
	termKey  = "term"
)

// term is the row that changes with the holder alone, and not with renewals.
type term struct {
	Holder string `json:"holder"`
	Term   int64  `json:"term"`
}

// lease is the lease's row.
type lease struct {
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"`
	Term        int64  `json:"term"`
	Renewal     int64  `json:"renewal"`
	// Released says that the holder gave the lease up; QuietMillis, how long
	// before that its last order ended at least, in milliseconds.
	Released    bool  `json:"released,omitempty"`
	QuietMillis int64 `json:"quiet_ms,omitempty"`
}

// Load is what the holder has done with a back end; the key of its row is the
// incarnation's id.
type Load struct {
	// Versions maps a model to the version that was loaded.
	Versions map[string]int64 `json:"versions,omitempty"`
	// Loading is the model whose weights are being changed, empty if none.
	Loading string `json:"loading,omitempty"`
	// Share is the model that the back end is for.
	Share string `json:"share,omitempty"`
}

// Order is an order to a back end.
type Order struct {
	Instance string
	Address  string
	Model    string
	Version  int64
	// Taken is the number of orders that the back end must have taken before.
	Taken  int64
	Holder string
	Token  int64
	// Mode says what becomes of runs under way.
	Mode Mode
}

// Mode says what becomes of runs under way when weights change.
type Mode string

// The modes.
const (
	// ModeWait lets runs end first.
	ModeWait Mode = "wait"
	// ModeTruncate breaks runs off.
	ModeTruncate Mode = "truncate"
	// ModeRetain lets runs go on under the new weights.
	ModeRetain Mode = "retain"
)

// Report is what a back end tells of itself.
type Report struct {
	Versions map[string]int64
	// Busy tells that an order is under way; Taken counts the orders taken.
	Busy  bool
	Taken int64
}

// Errors of a Commander.
var (
	// ErrFenced says that a holder with a higher token has ordered.
	ErrFenced = errors.New("reload: token is too low")
	// ErrMismatch says that another order is under way or has been taken.
	ErrMismatch = errors.New("reload: another order came before")
	// ErrGone says that another incarnation has the address.
	ErrGone = errors.New("reload: another incarnation has the address")
	// ErrRejected says that the back end will never take the order.
	ErrRejected = errors.New("reload: order rejected")
)

// Commander speaks to back ends. Calls are bounded by their context.
type Commander interface {
	// Order gives an order. done tells that it holds already; else it is under way.
	// An error that is none of the package's means that nothing is known.
	Order(ctx context.Context, order Order) (done bool, err error)
	// Report asks a back end for its state.
	Report(ctx context.Context, instance, address string) (Report, error)
}

func leaseID() rowstore.RowID { return rowstore.RowID{Table: TableLease, Key: leaseKey} }

func termID() rowstore.RowID { return rowstore.RowID{Table: TableLease, Key: termKey} }

func loadID(instance string) rowstore.RowID { return rowstore.RowID{Table: TableLoads, Key: instance} }

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("reload: a row cannot be encoded: " + err.Error())
	}
	return encoded
}

// Timing holds the bounds that the lease is built on.
type Timing struct {
	// Settle is how long back ends take to tell two holders apart.
	Settle time.Duration
}

// Validity is how long a holder may order after a renewal. It is what a lapse of
// the lease is known after; three renewals fit into it.
func (t Timing) Validity() time.Duration { return t.Settle / 3 }

// renewEvery is how often the holder renews.
func (t Timing) renewEvery() time.Duration { return t.Validity() / 3 }

// margin covers the delays of clocks and messages.
func (t Timing) margin() time.Duration { return t.Settle / 10 }

// quietAfter returns how long after the last change of a holder's row another
// holder may order.
func (t Timing) quietAfter(before lease) time.Duration {
	if before.Released {
		return t.Settle - time.Duration(before.QuietMillis)*time.Millisecond + t.margin()
	}
	return t.Validity() + t.Settle + t.margin()
}

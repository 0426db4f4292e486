// Package reload moves the back ends of model services to named versions of
// the weights. One node at a time gives orders: the holder of the lease.
//
// Lease. The holder has the lease LeaseName of package rowlease; its token is the
// fencing token of all orders. No order is sent outside the lease's validity.
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
// At a planned stop the holder first ends what it has begun, then releases the
// lease.
//
// Orders. Each names the incarnation that must take it and the number of orders
// that the back end must have taken before, so that one which is carried out
// late does nothing. An order without an answer is settled by the back end's own
// report before anything else is sent to it.
//
// Policy. Steps accept the newest version and the one before. So each version is
// loaded on one half of the back ends, the halves taking turns: while one half
// loads, the other serves. Where several models share a service, each has a share
// of the back ends of its own. Of a share that is larger than the jobs of its model can
// use, a part is kept new and the rest left as it is.
package reload

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// TableLoads tells, by back end, what the holder loads and has loaded.
const TableLoads = "loads"

// LeaseName is the name of the lease on giving orders.
const LeaseName = "orders"

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
	Taken int64
	// Permit is the holder's; the order asks it right before its bytes leave.
	rowlease.Permit
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

func loadID(instance string) rowstore.RowID { return rowstore.RowID{Table: TableLoads, Key: instance} }

func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("reload: a row cannot be encoded: " + err.Error())
	}
	return encoded
}

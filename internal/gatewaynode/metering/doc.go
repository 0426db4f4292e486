// Package metering tells the platform how many requests of each tenant began to run,
// window by window.
//
// Counting. Every node counts the requests whose caller it serves, by tenant and by
// the window of true time in which the first back end that took the request began
// with it: see forward.Report. A node keeps one row for each window in TableUsage and
// writes it again while the counts grow, so that a node that is killed loses what
// the last interval brought and nothing else. Rows carry the node's incarnation: a
// process that starts anew has rows of its own. A row is written on the condition of
// its revision, so that a write which the store carries out late never sets counts
// back.
//
// Reporting. The holder of the lease LeaseName sums the rows of a window once
// Config.Delay has passed since the window's end, and fixes the sums in the row of
// TableProgress, on the condition of that row's revision. Only what is fixed there is
// sent, and it is sent as it stands there: whoever holds the lease, and however often
// a call is repeated, the same window never leaves with two different counts. The
// next window is named by that row as well, so that windows are fixed in order, each
// once, and those of a time without the store or the platform are caught up.
//
// Turns. A holder waits until the acts of the one before lie the settling time back,
// makes one call at a time, and has each begin and end within the lease's validity: see
// rowlease.Permit. So a platform that doesn't check fencing tokens gets none after a
// higher one. A call that a platform refuses because of its token ends the hold.
//
// What is lost. Counts of a node that was killed before it wrote them; counts whose
// row comes after the window was fixed. The latter are said in the log.
package metering

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Tables of the row store.
const (
	// TableUsage holds a row for each node and window.
	TableUsage = "usage"
	// TableProgress holds the row of what is fixed and not yet sent.
	TableProgress = "usage_progress"
)

// LeaseName is the name of the lease on reporting.
const LeaseName = "metering"

// progressKey is the key of the one row of TableProgress.
const progressKey = "progress"

// Window is the number of a window: how many of them lie between the beginning of
// 1970 and its own beginning.
type Window int64

// windowAt returns the window that a moment of true time lies in.
func windowAt(moment time.Time, length time.Duration) Window {
	return Window(moment.UnixNano() / int64(length))
}

// String returns the window as logs name it.
func (w Window) String() string { return strconv.FormatInt(int64(w), 10) }

// end returns the end of a window.
func (w Window) end(length time.Duration) time.Time { return time.Unix(0, (int64(w)+1)*int64(length)) }

// Counts maps a tenant to the number of requests that began to run.
type Counts map[string]int64

// add adds the counts of another.
func (c Counts) add(other Counts) {
	for tenant, count := range other {
		c[tenant] += count
	}
}

// total returns the number of requests of all tenants.
func (c Counts) total() int64 {
	sum := int64(0)
	for _, count := range c {
		sum += count
	}
	return sum
}

// Report is what is told of a window.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}

// progress is the row of TableProgress.
type progress struct {
	// Next is the first window that is not fixed.
	Next Window `json:"next"`
	// Pending are the reports that are fixed and may not have been taken, the oldest
	// first.
	Pending []Report `json:"pending,omitempty"`
}

// Errors of a Sink.
var (
	// ErrFenced says that a holder with a higher token has reported.
	ErrFenced = errors.New("metering: token is too low")
	// ErrRejected says that the report will never be taken.
	ErrRejected = errors.New("metering: report rejected")
	// ErrBusy says that the receiver takes no more calls just now; nothing was done.
	ErrBusy = errors.New("metering: too many calls")
)

// Sink takes reports. A call asks permit.Admit right before its bytes leave, and nothing
// of it leaves after permit.Until. Calls are bounded by their context. An error that is none of
// the package's means that nothing is known: the report may have been taken.
type Sink interface {
	Report(ctx context.Context, permit rowlease.Permit, report Report) error
}

// rowKey returns the key of the row of a node's process for a window.
func rowKey(window Window, node string, incarnation int64) string {
	return fmt.Sprintf("%s%s/%d", windowPrefix(window), node, incarnation)
}

// windowPrefix begins the keys of a window's rows; prefixes are ordered as windows.
func windowPrefix(window Window) string { return fmt.Sprintf("%016d/", int64(window)) }

// windowOf returns the window that a row's key names.
func windowOf(key string) (Window, error) {
	number, _, _ := strings.Cut(key, "/")
	window, err := strconv.ParseInt(number, 10, 64)
	return Window(window), err
}

func progressID() rowstore.RowID {
	return rowstore.RowID{Table: TableProgress, Key: progressKey}
}

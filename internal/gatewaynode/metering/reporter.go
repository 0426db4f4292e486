package metering

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Config configures a Reporter.
type Config struct {
	Store    rowstore.Store
	Presence *presence.Registry
	Leases   *rowlease.Leases
	Timing   rowlease.Timing
	Log      *eventlog.Log
	Sink     Sink
	// Now returns true time.
	Now func() time.Time
	// Window is the length of a window.
	Window time.Duration
	// Due is how long after its end a window has to be reported.
	Due time.Duration
	// RowBytes bounds the value of a row.
	RowBytes int
	// CallsPerSecond bounds the calls to the sink, for all nodes together; 0 sets no
	// bound.
	CallsPerSecond float64
}

// delayShare is how long after its end a window is fixed, as a share of Config.Due.
// Counts are written within an interval of their request's end, and by a node that
// is turned away by the store some seconds later; the rest of the time is for a
// change of the holder.
const delayShare = 0.35

// delay returns how long after its end a window is fixed.
func (c Config) delay() time.Duration { return time.Duration(delayShare * float64(c.Due)) }

// Reporter takes part in the lease on reporting, and reports while it holds it. It is
// safe for concurrent use.
type Reporter struct {
	config Config
	lease  *rowlease.Lease

	mu sync.Mutex
	// state is of the term of token: the row, its revision, and which of the pending
	// reports have been taken.
	token    int64
	from     time.Time
	row      progress
	revision int64
	loaded   bool
	taken    map[Window]bool
	// steady is since when the holder has been able to act without a break.
	steady time.Time
}

// NewReporter returns a reporter; Run has to be called.
func NewReporter(config Config) *Reporter {
	r := &Reporter{config: config}
	r.lease = config.Leases.Add(rowlease.Config{
		Name: LeaseName, Store: config.Store, Presence: config.Presence, Log: config.Log, Timing: config.Timing, Begin: r.begin,
	})
	return r
}

// begin prepares a term.
func (r *Reporter) begin(_ context.Context, hold rowlease.Hold) eventlog.Fields {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.token, r.loaded, r.taken = hold.Token, false, make(map[Window]bool)
	r.from = hold.ClearFrom
	return eventlog.Fields{"acts_in_ms": max(0, time.Until(r.from)).Milliseconds()}
}

// reportEvery is how often the holder looks for windows to report.
const reportEvery = 500 * time.Millisecond

// Run reports while this node holds the lease, until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	pause.Every(ctx, reportEvery, nil, func() {
		hold, _, held := r.lease.Current()
		if !held || !r.allowed(hold.Token) {
			r.setSteady(time.Time{})
			return
		}
		r.work(ctx, hold.Token)
	})
}

// steadyFor is for how long a holder has had to be able to act before it fixes a
// window: when the store is back, the nodes need a few tries to write their counts.
const steadyFor = 1500 * time.Millisecond

// setSteady records since when the holder has been able to act.
func (r *Reporter) setSteady(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steady = since
}

// isSteady tells whether the holder has been able to act for long enough.
func (r *Reporter) isSteady(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.steady.IsZero() {
		r.steady = now
	}
	return now.Sub(r.steady) >= steadyFor
}

// Holder returns the holder of the lease as this node knows it, and whether it is
// this node.
func (r *Reporter) Holder() (name string, held bool) { return r.lease.Holder() }

// Withdraw begins a planned stop: this node takes the lease no more.
func (r *Reporter) Withdraw() { r.lease.Withdraw() }

// Release gives the lease up. All that a holder does is done by Lease.Act.
func (r *Reporter) Release() {
	r.lease.Release(func() time.Duration { return r.config.Timing.Settle })
}

// allowed tells whether this node may act now in the term of a token.
func (r *Reporter) allowed(token int64) bool {
	now := time.Now()
	r.mu.Lock()
	begun := r.token == token && !now.Before(r.from)
	r.mu.Unlock()
	return begun && r.lease.Valid(token, now)
}

// work fixes the windows that are due and sends what is fixed.
func (r *Reporter) work(ctx context.Context, token int64) {
	if !r.load(ctx) {
		return
	}
	steady := r.isSteady(time.Now())
	r.mu.Lock()
	next := r.row.Next
	r.mu.Unlock()
	if due := windowAt(r.config.Now().Add(-r.config.delay()), r.config.Window) - 1; due >= next && steady {
		r.fix(ctx, token, due)
	}
	r.send(ctx, token)
}

// load reads the row of progress if it is not known.
func (r *Reporter) load(ctx context.Context) bool {
	r.mu.Lock()
	loaded := r.loaded
	r.mu.Unlock()
	if loaded {
		return true
	}
	snapshot, err := r.config.Store.List(ctx, TableProgress, "", progressKey, progressKey+"\x00", 1)
	if err != nil {
		r.noteFailure("progress not read", err)
		return false
	}
	if len(snapshot.Rows) == 0 {
		// The first holder of all begins with the window of now. It is written down at
		// once: a later holder must not begin with a later one.
		r.write(ctx, progress{Next: windowAt(r.config.Now(), r.config.Window)}, 0)
		return false
	}
	var row progress
	if err := json.Unmarshal(snapshot.Rows[0].Value, &row); err != nil {
		r.noteFailure("progress not readable", err)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row, r.revision, r.loaded = row, snapshot.Rows[0].Revision, true
	return true
}

// write writes the row of progress on the condition of its revision, and tells whether
// that succeeded. If the outcome is not known, the row has to be read again.
func (r *Reporter) write(ctx context.Context, row progress, revision int64) bool {
	written, err := r.config.Store.Commit(ctx, rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: progressID(), Revision: revision}},
		Puts:       []rowstore.Row{{RowID: progressID(), Value: encode(row)}},
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = err == nil
	if err != nil {
		r.noteFailure("progress not written", err)
		return false
	}
	r.row, r.revision = row, written
	return true
}

func (r *Reporter) noteFailure(what string, err error) {
	r.config.Log.Warn(eventlog.UsageFailed, eventlog.Fields{eventlog.Outcome: what, eventlog.Cause: err.Error()})
}

// fix sums the windows up to one and writes the sums down.
func (r *Reporter) fix(ctx context.Context, token int64, last Window) {
	r.mu.Lock()
	before, revision := r.row, r.revision
	taken := r.taken
	pending := slices.DeleteFunc(slices.Clone(before.Pending), func(p Report) bool { return taken[p.Window] })
	r.mu.Unlock()
	rows, err := r.rowsUpTo(ctx, last)
	if err != nil {
		r.noteFailure("counts not read", err)
		return
	}
	sums, late := r.sum(rows, before.Next)
	next := progress{Next: before.Next, Pending: pending}
	for ; next.Next <= last; next.Next++ {
		report := Report{Window: next.Next, Counts: sums[next.Next]}
		if report.Counts == nil {
			report.Counts = Counts{}
		}
		if r.tooLong(next, report) {
			break
		}
		next.Pending = append(next.Pending, report)
	}
	if next.Next == before.Next || !r.allowed(token) {
		return
	}
	if !r.write(ctx, next, revision) {
		return
	}
	r.noteFixed(before.Next, next, late, token)
	r.remove(ctx, rows, next.Next)
}

// tooLong tells whether a report has no room in the row any more: the platform has
// taken none for long.
func (r *Reporter) tooLong(row progress, report Report) bool {
	return len(row.Pending) > 0 && len(encode(row))+len(encode(report)) > r.config.RowBytes*3/4
}

// rowsUpTo reads the rows of all windows up to one.
func (r *Reporter) rowsUpTo(ctx context.Context, last Window) ([]rowstore.Row, error) {
	var all []rowstore.Row
	for _, partition := range rowstore.AllShards() {
		rows, _, err := rowstore.ListAll(ctx, r.config.Store, TableUsage, partition, "", windowPrefix(last+1))
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
	}
	return all, nil
}

// sum returns the counts by window, and how many requests are in rows of windows that
// were fixed before.
func (r *Reporter) sum(rows []rowstore.Row, next Window) (sums map[Window]Counts, late int64) {
	sums = make(map[Window]Counts)
	for _, row := range rows {
		window, err := windowOf(row.Key)
		var counts Counts
		if err == nil {
			err = json.Unmarshal(row.Value, &counts)
		}
		if err != nil {
			r.config.Log.Warn(eventlog.RowUnreadable, eventlog.Fields{eventlog.Table: TableUsage, eventlog.Key: row.Key, eventlog.Cause: err.Error()})
			continue
		}
		if window < next {
			late += counts.total()
			continue
		}
		if sums[window] == nil {
			sums[window] = make(Counts)
		}
		sums[window].add(counts)
	}
	return sums, late
}

func (r *Reporter) noteFixed(first Window, row progress, late int64, token int64) {
	total := int64(0)
	for _, report := range row.Pending {
		if report.Window >= first {
			total += report.Counts.total()
		}
	}
	r.config.Log.Info(eventlog.UsageFixed, eventlog.Fields{
		eventlog.Window: first.String(), "windows": int64(row.Next - first), eventlog.Count: total, "pending": len(row.Pending), eventlog.Token: token,
		"since_end_ms": r.config.Now().Sub(first.end(r.config.Window)).Milliseconds(),
	})
	if late > 0 {
		r.config.Log.Warn(eventlog.UsageLost, eventlog.Fields{eventlog.Count: late, eventlog.Cause: "written after the window was fixed"})
	}
}

// removeRows is the number of rows removed in one transaction.
const removeRows = 90

// remove removes the rows of windows that are fixed. What it fails to remove is found
// again with the next window.
func (r *Reporter) remove(ctx context.Context, rows []rowstore.Row, next Window) {
	byPartition := make(map[string][]rowstore.RowID)
	for _, row := range rows {
		if window, err := windowOf(row.Key); err == nil && window < next {
			byPartition[row.Partition] = append(byPartition[row.Partition], row.RowID)
		}
	}
	for _, ids := range byPartition {
		for chunk := range slices.Chunk(ids, removeRows) {
			if _, err := r.config.Store.Commit(ctx, rowstore.Transaction{Deletes: chunk}); err != nil {
				r.noteFailure("rows not removed", err)
			}
		}
	}
}

const (
	// callLimit bounds one call to the sink.
	callLimit = 1500 * time.Millisecond
	// retryPause is the time between two calls if the first one failed.
	retryPause = 300 * time.Millisecond
	// rateShare is the share of the calls that the platform takes which reports may
	// use; other duties call it too.
	rateShare = 0.25
)

// send sends what is fixed and not taken, the oldest first.
func (r *Reporter) send(ctx context.Context, token int64) {
	for {
		report, found := r.nextReport()
		if !found || ctx.Err() != nil {
			return
		}
		if !r.allowed(token) {
			return
		}
		err := r.lease.Act(ctx, token, callLimit, func(ctx context.Context, permit rowlease.Permit) error {
			return r.config.Sink.Report(ctx, permit, report)
		})
		r.noteSent(report, token, err)
		if errors.Is(err, ErrFenced) {
			r.lease.Abandon(token, "a higher fencing token was used")
			return
		}
		if err != nil && !errors.Is(err, ErrRejected) {
			pause.For(ctx, retryPause)
			return
		}
		if r.config.CallsPerSecond > 0 {
			pause.For(ctx, time.Duration(float64(time.Second)/(rateShare*r.config.CallsPerSecond)))
		}
	}
}

// nextReport returns the oldest report that is fixed and not taken.
func (r *Reporter) nextReport() (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range r.row.Pending {
		if !r.taken[report.Window] {
			return report, true
		}
	}
	return Report{}, false
}

func (r *Reporter) noteSent(report Report, token int64, err error) {
	age := r.config.Now().Sub(report.Window.end(r.config.Window))
	fields := eventlog.Fields{
		eventlog.Window: report.Window.String(), eventlog.Token: token, eventlog.Count: report.Counts.total(),
		"tenants": len(report.Counts), "since_end_ms": age.Milliseconds(), "late": age > r.config.Due,
	}
	rejected := errors.Is(err, ErrRejected)
	if err == nil || rejected {
		// One that is never taken must not keep those after it waiting.
		r.mu.Lock()
		r.taken[report.Window] = true
		r.mu.Unlock()
	}
	switch {
	case err == nil:
		r.config.Log.Info(eventlog.UsageSent, fields)
	case rejected:
		fields[eventlog.Cause] = err.Error()
		r.config.Log.Warn(eventlog.UsageLost, fields)
	default:
		fields[eventlog.Cause] = err.Error()
		r.config.Log.Warn(eventlog.UsageFailed, fields)
	}
}

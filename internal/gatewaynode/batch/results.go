package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// Page is a sequence of consecutive results of a job.
type Page struct {
	// Total is the number of items of the job.
	Total int
	// Next is the position after the last result of the page.
	Next    int
	Results []Result
}

const (
	// pageBytes is the maximum total size of the texts of a page, unless its first
	// result alone is larger.
	pageBytes = 900 << 10
	// pageRows is the maximum number of rows read for a page, and of its results.
	pageRows = 200
)

// Results returns results from position after on. If there are none yet, it waits for up
// to wait until one is committed.
func (m *Manager) Results(ctx context.Context, caller Caller, job string, after int, wait time.Duration) (Page, Status) {
	state, status := m.lookUpForCaller(ctx, caller, job)
	if status != OK {
		return Page{}, status
	}
	deadline := time.Now().Add(wait)
	if state.head.Count <= after && wait > 0 {
		defer m.trackRead()()
	}
	if state.head.Count < after {
		// The caller has read results on another node that are not visible here yet.
		if state, status = m.readHead(ctx, job); status != OK {
			return Page{}, status
		}
	}
	for state.head.Count <= after && state.head.Count < state.head.Total {
		left := time.Until(deadline)
		if left > 0 && waitChange(ctx, state.changed, left) {
			var found bool
			if state, found = m.snapshot(job); !found {
				return Page{}, Unavailable
			}
			continue
		}
		state = m.refreshed(ctx, state)
		break
	}
	if state.head.Count <= after {
		return Page{Total: state.head.Total, Next: after}, OK
	}
	m.awaitMore(ctx, job, min(maxMoreWait, time.Until(deadline)))
	results, status := m.readResults(m.within(ctx, state.head), job, after)
	m.config.Log.Info(eventlog.JobRead, eventlog.Fields{
		eventlog.Job: job, "after": after, eventlog.Count: len(results), "listed": state.head.Count, "total": state.head.Total,
		eventlog.Revision: state.headRevision, "held_ms": (wait - time.Until(deadline)).Milliseconds(), "outcome": status.String(),
	})
	return Page{Total: state.head.Total, Next: after + len(results), Results: results}, status
}

// maxViewAgeShare is the maximum age of a view, as a share of Config.VisibilityDelay, at which
// it is trusted that there is no newer result. The rest of that time is left for the
// response to reach the caller.
const maxViewAgeShare = 0.5

// refreshed returns the state of a job as read from the store, or the given state if it is
// recent or the store is unavailable. It guards against reporting that there is no result
// at a position that was already read on another node: views lag behind if many nodes
// share the read capacity of the store.
func (m *Manager) refreshed(ctx context.Context, state jobState) jobState {
	status := m.view.Status()
	owned := state.head.Owner == m.self.Name && m.runner.has(state.id)
	if owned || status.Healthy && status.Age(time.Now()) <= time.Duration(maxViewAgeShare*float64(m.config.VisibilityDelay)) {
		return state
	}
	if read, status := m.readHead(ctx, state.id); status == OK {
		return read
	}
	return state
}

// maxMoreWait is the maximum time for which a read waits for a commit announced by
// Head.More.
const maxMoreWait = 300 * time.Millisecond

// awaitMore waits until Head.More is unset, for up to limit. A caller that gets only a
// part of the finished results would read the rest no sooner than half a second later.
func (m *Manager) awaitMore(ctx context.Context, job string, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for {
		state, found := m.snapshot(job)
		left := time.Until(deadline)
		if !found || !state.head.More || left <= 0 || !waitChange(ctx, state.changed, left) {
			return
		}
	}
}

// waitChange waits until changed is closed and reports whether that happened before limit
// passed or ctx was done.
func waitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// readResults returns a page of committed results from memory or the store. The head must
// count at least one result from position after on.
func (m *Manager) readResults(ctx context.Context, job string, after int) ([]Result, Status) {
	if results := m.runner.committed(job, after, pageRows); len(results) > 0 {
		return trimPage(results), OK
	}
	from := resultID(job, after)
	snapshot, err := m.config.Store.List(ctx, TableResults, from.Partition, from.Key, rowstore.KeyEnd(job+"/"), pageRows)
	if err != nil {
		m.config.Log.Warn(eventlog.JobReadFail, eventlog.Fields{eventlog.Job: job, "after": after, eventlog.Cause: err.Error()})
		return nil, Unavailable
	}
	results, err := decodeResults(snapshot.Rows, after)
	if len(results) == 0 || err != nil && !snapshot.More {
		// The head counts more results: the read was stale.
		return nil, Unavailable
	}
	return trimPage(results), OK
}

// resultRows returns the rows of the result at a position: its encoding, split into values
// of at most maxBytes bytes.
func resultRows(job string, position int, encoding []byte, maxBytes int) []rowstore.Row {
	parts := splitParts(encoding, maxBytes)
	rows := make([]rowstore.Row, len(parts))
	for i, part := range parts {
		rows[i] = rowstore.Row{RowID: resultPartID(job, position, i), Value: part}
	}
	return rows
}

// errNotConsecutive means that rows of results are missing.
var errNotConsecutive = errors.New("batch: result rows are not consecutive")

// decodeResults decodes the results at consecutive positions from first on. If it returns
// an error, it also returns the results before the first missing or incomplete one.
func decodeResults(rows []rowstore.Row, first int) ([]Result, error) {
	var results []Result
	for len(rows) > 0 {
		if position, part := parseResultKey(rows[0].Key); position != first+len(results) || part != 0 {
			return results, errNotConsecutive
		}
		count := leadingParts(rows)
		var value []byte
		for _, row := range rows[:count] {
			value = append(value, row.Value...)
		}
		var result Result
		if err := json.Unmarshal(value, &result); err != nil {
			return results, fmt.Errorf("batch: decoding result at position %d: %w", first+len(results), err)
		}
		results = append(results, result)
		rows = rows[count:]
	}
	return results, nil
}

// leadingParts returns the number of leading rows that are consecutive parts of one
// result, which is at least 1.
func leadingParts(rows []rowstore.Row) int {
	first, _ := parseResultKey(rows[0].Key)
	count := 1
	for count < len(rows) {
		if position, part := parseResultKey(rows[count].Key); position != first || part != count {
			break
		}
		count++
	}
	return count
}

// parseResultKey parses the position and the part from the key of a result's row. Both are
// -1 if the key is malformed.
func parseResultKey(key string) (position, part int) {
	_, rest := splitKey(key)
	positionText, partText, _ := strings.Cut(rest, "/")
	position, err := strconv.Atoi(positionText)
	if err != nil {
		return -1, -1
	}
	if partText == "" {
		return position, 0
	}
	if part, err = strconv.Atoi(partText); err != nil {
		return -1, -1
	}
	return position, part
}

// trimPage cuts results to pageBytes, keeping at least one.
func trimPage(results []Result) []Result {
	size := 0
	for i, result := range results {
		size += len(result.Text)
		if size > pageBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

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

// Page is a part of a job's results.
type Page struct {
	Total   int
	Next    int
	Results []Result
}

const (
	// pageBytes bounds the texts of a page; pageRows its results.
	pageBytes = 900 << 10
	pageRows  = 200
)

// Results returns the results from a position on. While there are none it waits
// for one, for wait at most.
func (m *Manager) Results(ctx context.Context, caller Caller, job string, after int, wait time.Duration) (Page, Status) {
	state, status := m.lookUpFor(ctx, caller, job)
	if status != OK {
		return Page{}, status
	}
	deadline := time.Now().Add(wait)
	if state.head.Count <= after && wait > 0 {
		defer m.hold()()
	}
	if state.head.Count < after {
		// The caller has read more than this node knows of.
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
		state = m.confirmed(ctx, state)
		break
	}
	if state.head.Count <= after {
		return Page{Total: state.head.Total, Next: after}, OK
	}
	m.awaitMore(ctx, job, min(moreMost, time.Until(deadline)))
	results, status := m.readResults(m.within(ctx, state.head), job, after)
	m.config.Log.Info(eventlog.JobRead, eventlog.Fields{
		eventlog.Job: job, "after": after, eventlog.Count: len(results), "listed": state.head.Count, "total": state.head.Total,
		eventlog.Revision: state.headRevision, "held_ms": (wait - time.Until(deadline)).Milliseconds(), "outcome": status.String(),
	})
	return Page{Total: state.head.Total, Next: after + len(results), Results: results}, status
}

// freshShare is the age of a view, as a share of Config.Settle, up to which its word
// is taken that there is no newer result; the rest of the time is the answer's way.
const freshShare = 0.5

// confirmed returns the state of a job as it is now, or as this node knows it if the
// store does not answer: a caller must not be told that there is nothing at a position
// which was read elsewhere, and views are behind where many nodes share the store's
// reads.
func (m *Manager) confirmed(ctx context.Context, state jobState) jobState {
	status := m.view.Status()
	owned := state.head.Owner == m.self.Name && m.runner.has(state.id)
	if owned || status.Healthy && status.Age(time.Now()) <= time.Duration(freshShare*float64(m.config.Settle)) {
		return state
	}
	if read, status := m.readHead(ctx, state.id); status == OK {
		return read
	}
	return state
}

// moreMost is how long a read waits for a commit that follows at once.
const moreMost = 300 * time.Millisecond

// awaitMore waits while the owner says that the next commit follows at once: a
// caller that is answered with a part comes back for the rest only half a second
// later.
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

// readResults reads results that are known to be committed.
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
		// The head said that there are some: the read is behind.
		return nil, Unavailable
	}
	return trimPage(results), OK
}

// resultRows returns the rows of the result at a position: its encoding, cut to
// values of at most most bytes.
func resultRows(job string, position int, encoding []byte, most int) []rowstore.Row {
	parts := splitParts(encoding, most)
	rows := make([]rowstore.Row, len(parts))
	for i, part := range parts {
		rows[i] = rowstore.Row{RowID: resultPartID(job, position, i), Value: part}
	}
	return rows
}

// errNotConsecutive says that rows of results are missing.
var errNotConsecutive = errors.New("batch: positions are not consecutive")

// decodeResults returns the results at consecutive positions from first on. With
// an error, it returns those before the first that is missing or not whole.
func decodeResults(rows []rowstore.Row, first int) ([]Result, error) {
	var results []Result
	for len(rows) > 0 {
		if position, part := resultPlace(rows[0].Key); position != first+len(results) || part != 0 {
			return results, errNotConsecutive
		}
		count := partsOfFirst(rows)
		var value []byte
		for _, row := range rows[:count] {
			value = append(value, row.Value...)
		}
		var result Result
		if err := json.Unmarshal(value, &result); err != nil {
			return results, fmt.Errorf("batch: result at %d: %w", first+len(results), err)
		}
		results = append(results, result)
		rows = rows[count:]
	}
	return results, nil
}

// partsOfFirst returns how many rows at the head of rows, one at least, are
// consecutive parts of one result.
func partsOfFirst(rows []rowstore.Row) int {
	first, _ := resultPlace(rows[0].Key)
	count := 1
	for count < len(rows) {
		if position, part := resultPlace(rows[count].Key); position != first || part != count {
			break
		}
		count++
	}
	return count
}

// resultPlace returns the position and part that a key of a result's row names,
// -1 for a key that names none.
func resultPlace(key string) (position, part int) {
	_, rest := splitKey(key)
	first, further, _ := strings.Cut(rest, "/")
	position, err := strconv.Atoi(first)
	if err != nil {
		return -1, -1
	}
	if further == "" {
		return position, 0
	}
	if part, err = strconv.Atoi(further); err != nil {
		return -1, -1
	}
	return position, part
}

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

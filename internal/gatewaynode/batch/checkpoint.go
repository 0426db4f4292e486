package batch

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

const (
	// checkpointEvery is the interval at which the output of unfinished items is stored.
	checkpointEvery = 500 * time.Millisecond
	// checkpointAge is the minimum age of an item's first run. Shorter output is
	// generated again in the time that a takeover needs.
	checkpointAge = 500 * time.Millisecond
)

// stretch is a segment of an item's output that is to be stored: the events from to
// upTo of a line. whole is set if the output ends with it.
type stretch struct {
	item, from, upTo int
	line             int
	whole            bool
	row              rowstore.Row
}

// checkpoint starts storing the new output of all open jobs, except for those whose
// previous checkpoint is still being written.
func (r *runner) checkpoint(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		if !job.active() || job.checkpointing {
			continue
		}
		stretches := r.newText(job, checkpointAge)
		if len(stretches) == 0 {
			continue
		}
		job.checkpointing = true
		go r.storeAll(ctx, job, stretches)
	}
}

// storeAll stores segments. If they filled a transaction, it goes on with the rest of the
// unsaved output until all is stored or a write fails.
func (r *runner) storeAll(ctx context.Context, job *ownedJob, stretches []stretch) {
	for len(stretches) > 0 && r.storeText(ctx, job, stretches) {
		full := len(stretches) >= r.manager.config.Limits.TransactionRows-1
		stretches = nil
		if full {
			r.mu.Lock()
			stretches = r.newText(job, checkpointAge)
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	job.checkpointing = false
	r.mu.Unlock()
}

// newText returns unsaved segments of items whose first run started at least age ago, as
// many as fit into one transaction. Items with the most unsaved events come first. The
// lock is held.
func (r *runner) newText(job *ownedJob, age time.Duration) []stretch {
	limits := r.manager.config.Limits
	var stretches []stretch
	size := 0
	for _, i := range job.unsaved(age) {
		item := &job.items[i]
		made := len(item.text.events)
		whole := item.text.complete
		value := encode(partialRow{Events: item.text.events[item.saved:made], Versions: item.text.versions[item.saved:made], Whole: whole})
		if len(value) > limits.RowBytes {
			continue
		}
		if size+len(value) > transactionMost || len(stretches) >= limits.TransactionRows-1 {
			break
		}
		size += len(value)
		id := partialID(job.id, i, fmt.Sprintf("%d.%d", job.head.Epoch, item.line), item.saved)
		stretches = append(stretches, stretch{item: i, from: item.saved, upTo: made, line: item.line, whole: whole, row: rowstore.Row{RowID: id, Value: value}})
	}
	return stretches
}

// unsaved reports whether the item has output to store. Output of items whose first run
// started less than age ago is left out, unless it is complete: the scoring call may take
// long, and complete output must not be generated again.
func (i *itemState) unsaved(age time.Duration) bool {
	switch {
	case i.phase == phaseFinished:
		return false
	case i.text.complete:
		return !i.savedWhole
	default:
		return len(i.text.events) > i.saved && time.Since(i.firstStart) >= age
	}
}

// unsaved returns the indices of the items with output to store, those with the most
// unsaved events first.
func (j *ownedJob) unsaved(age time.Duration) []int {
	var found []int
	for i := range j.items {
		if j.items[i].unsaved(age) {
			found = append(found, i)
		}
	}
	lost := func(i int) int { return len(j.items[i].text.events) - j.items[i].saved }
	slices.SortStableFunc(found, func(a, b int) int { return cmp.Compare(lost(b), lost(a)) })
	return found
}

// storeText writes segments and reports whether it succeeded. It makes only one attempt,
// since a lost checkpoint costs no more than generating the output again.
func (r *runner) storeText(ctx context.Context, job *ownedJob, stretches []stretch) bool {
	var transaction rowstore.Transaction
	for _, part := range stretches {
		transaction.Puts = append(transaction.Puts, part.row)
	}
	if _, err := r.manager.config.Store.Commit(r.manager.within(ctx, job.origin), transaction); err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range stretches {
		item := &job.items[part.item]
		if item.line == part.line && item.saved == part.from {
			item.saved, item.savedWhole = part.upTo, part.whole
		}
	}
	return true
}

// decodePartials joins the stored segments of each line and returns the longest output of
// each item, by item index.
func decodePartials(rows []rowstore.Row) map[int]text {
	lines := make(map[string]text)
	for _, row := range rows {
		// Rows of a line are ordered by their first event.
		_, rest := splitKey(row.Key)
		parts := strings.Split(rest, "/")
		if len(parts) != 3 {
			continue
		}
		from, err := strconv.Atoi(parts[2])
		var stored partialRow
		if err != nil || json.Unmarshal(row.Value, &stored) != nil || len(stored.Events) != len(stored.Versions) {
			continue
		}
		key := parts[0] + "/" + parts[1]
		line := lines[key]
		if from > len(line.events) {
			continue
		}
		line.events = append(line.events[:from:from], stored.Events...)
		line.versions = append(line.versions[:from:from], stored.Versions...)
		line.complete = stored.Whole
		lines[key] = line
	}
	longest := make(map[int]text)
	for key, line := range lines {
		number, _, _ := strings.Cut(key, "/")
		if index, err := strconv.Atoi(number); err == nil && line.longer(longest[index]) {
			longest[index] = line
		}
	}
	return longest
}

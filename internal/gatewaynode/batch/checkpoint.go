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
	// checkpointInterval is the interval at which the output of unfinished items is stored.
	checkpointInterval = 500 * time.Millisecond
	// minCheckpointAge is the minimum age of an item's first run. Shorter output is
	// generated again in the time that a takeover needs.
	minCheckpointAge = 500 * time.Millisecond
)

// segment is a range of an item's output that is to be stored: the events of a sequence
// from index from up to, but not including, upTo. complete is set if the output ends with
// it.
type segment struct {
	item, from, upTo int
	sequence         int
	complete         bool
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
		segments := r.unsavedSegments(job, minCheckpointAge)
		if len(segments) == 0 {
			continue
		}
		job.checkpointing = true
		go r.storeCheckpoint(ctx, job, segments)
	}
}

// storeCheckpoint stores segments. If they filled a transaction, it goes on with the
// rest of the unsaved output until all is stored or a write fails.
func (r *runner) storeCheckpoint(ctx context.Context, job *ownedJob, segments []segment) {
	for len(segments) > 0 && r.storeSegments(ctx, job, segments) {
		full := len(segments) >= r.manager.config.Limits.TransactionRows-1
		segments = nil
		if full {
			r.mu.Lock()
			segments = r.unsavedSegments(job, minCheckpointAge)
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	job.checkpointing = false
	r.mu.Unlock()
}

// unsavedSegments returns unsaved segments of items whose first run started at least
// age ago, as many as fit into one transaction. Items with the most unsaved events come
// first. The caller holds r.mu.
func (r *runner) unsavedSegments(job *ownedJob, age time.Duration) []segment {
	limits := r.manager.config.Limits
	var segments []segment
	size := 0
	for _, i := range job.unsavedItems(age) {
		item := &job.items[i]
		count := len(item.text.events)
		complete := item.text.complete
		value := encode(partialRow{Events: item.text.events[item.savedEvents:count], Versions: item.text.versions[item.savedEvents:count], Whole: complete})
		if len(value) > limits.RowBytes {
			continue
		}
		if size+len(value) > maxTransactionBytes || len(segments) >= limits.TransactionRows-1 {
			break
		}
		size += len(value)
		id := partialID(job.id, i, fmt.Sprintf("%d.%d", job.head.Epoch, item.sequence), item.savedEvents)
		segments = append(segments, segment{item: i, from: item.savedEvents, upTo: count, sequence: item.sequence, complete: complete, row: rowstore.Row{RowID: id, Value: value}})
	}
	return segments
}

// hasUnsaved reports whether the item has output to store. Output of items whose first run
// started less than age ago is left out, unless it is complete: the scoring call may take
// long, and complete output need not be generated again.
func (i *itemState) hasUnsaved(age time.Duration) bool {
	switch {
	case i.phase == phaseFinished:
		return false
	case i.text.complete:
		return !i.savedComplete
	default:
		return len(i.text.events) > i.savedEvents && time.Since(i.firstStart) >= age
	}
}

// unsavedItems returns the indices of the items with output to store, those with the most
// unsaved events first.
func (j *ownedJob) unsavedItems(age time.Duration) []int {
	var found []int
	for i := range j.items {
		if j.items[i].hasUnsaved(age) {
			found = append(found, i)
		}
	}
	unsavedEvents := func(i int) int { return len(j.items[i].text.events) - j.items[i].savedEvents }
	slices.SortStableFunc(found, func(a, b int) int { return cmp.Compare(unsavedEvents(b), unsavedEvents(a)) })
	return found
}

// storeSegments writes segments and reports whether it succeeded. It makes only one
// attempt, since a lost checkpoint costs no more than generating the output again.
func (r *runner) storeSegments(ctx context.Context, job *ownedJob, segments []segment) bool {
	var transaction rowstore.Transaction
	for _, segment := range segments {
		transaction.Puts = append(transaction.Puts, segment.row)
	}
	if _, err := r.manager.config.Store.Commit(r.manager.within(ctx, job.origin), transaction); err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, segment := range segments {
		item := &job.items[segment.item]
		if item.sequence == segment.sequence && item.savedEvents == segment.from {
			item.savedEvents, item.savedComplete = segment.upTo, segment.complete
		}
	}
	return true
}

// decodePartials joins the stored segments of each sequence and returns the longest
// output of each item, by item index.
func decodePartials(rows []rowstore.Row) map[int]text {
	outputs := make(map[string]text)
	for _, row := range rows {
		// Rows of a sequence are ordered by their first event.
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
		output := outputs[key]
		if from > len(output.events) {
			continue
		}
		output.events = append(output.events[:from:from], stored.Events...)
		output.versions = append(output.versions[:from:from], stored.Versions...)
		output.complete = stored.Whole
		outputs[key] = output
	}
	longest := make(map[int]text)
	for key, output := range outputs {
		number, _, _ := strings.Cut(key, "/")
		if index, err := strconv.Atoi(number); err == nil && output.longer(longest[index]) {
			longest[index] = output
		}
	}
	return longest
}

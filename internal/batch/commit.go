package batch

import (
	"context"
	"errors"
	"time"

	"github.com/sliplift/sliplift/internal/eventlog"
	"github.com/sliplift/sliplift/internal/pause"
	"github.com/sliplift/sliplift/internal/rowstore"
)

const (
	// groupCommit is how long results are gathered before they are committed.
	groupCommit = 30 * time.Millisecond
	// commitRetryFirst and commitRetryMost bound the pause after a commit that
	// failed.
	commitRetryFirst = 50 * time.Millisecond
	commitRetryMost  = 300 * time.Millisecond
)

// commitLoop commits finished items until the job is closed.
func (r *runner) commitLoop(job *ownedJob) {
	for {
		select {
		case <-job.ctx.Done():
			return
		case <-job.wake:
		}
		pause.For(job.ctx, groupCommit)
		if !r.commitFinished(job.ctx, job) {
			return
		}
	}
}

// flush commits what is finished; it is called once no run is left.
func (r *runner) flush(ctx context.Context, id string) {
	r.mu.Lock()
	job := r.jobs[id]
	r.mu.Unlock()
	if job != nil && job.ready {
		r.commitFinished(ctx, job)
	}
}

// commitFinished commits all finished items; false means that the job is no
// longer this node's.
func (r *runner) commitFinished(ctx context.Context, job *ownedJob) bool {
	select {
	case job.committing <- struct{}{}:
		defer func() { <-job.committing }()
	case <-ctx.Done():
		return false
	}
	for ctx.Err() == nil {
		batch, head, transaction := r.nextCommit(job)
		if len(transaction.Puts) == 0 {
			return true
		}
		if !r.commit(ctx, job, batch, head, transaction) {
			return false
		}
	}
	return false
}

// nextCommit returns the results that go into the next commit, and the commit; it
// is empty if there is nothing that the store does not hold.
func (r *runner) nextCommit(job *ownedJob) ([]Result, Head, rowstore.Transaction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limits := r.manager.config.Limits
	head := job.head
	transaction := rowstore.Transaction{Conditions: []rowstore.Condition{{RowID: headID(job.id), Revision: job.revision}}}
	var batch []Result
	size := 0
	for _, result := range job.finished {
		rows := resultRows(job.id, head.Count, result, limits.RowBytes)
		added := 0
		for _, row := range rows {
			added += len(row.Value)
		}
		// One entry is the head's.
		if len(batch) > 0 && (size+added > transactionMost || transaction.Entries()+len(rows)+1 > limits.TransactionRows) {
			break
		}
		size += added
		batch = append(batch, result)
		transaction.Puts = append(transaction.Puts, rows...)
		head.Count++
	}
	if len(batch) == 0 && !job.failed {
		return nil, head, rowstore.Transaction{}
	}
	job.failed = false
	head.Failures, head.ScoreFailures = failures(job)
	transaction.Puts = append(transaction.Puts, rowstore.Row{RowID: headID(job.id), Value: encode(head)})
	return batch, head, transaction
}

// failures returns the failed runs and calls of scoring services of unfinished
// items, by index. The runner's lock is held.
func failures(job *ownedJob) (runs, scores map[int]int) {
	runs, scores = make(map[int]int), make(map[int]int)
	for i := range job.items {
		item := &job.items[i]
		if item.phase == phaseFinished {
			continue
		}
		if item.failures > 0 {
			runs[i] = item.failures
		}
		if item.score.failures > 0 {
			scores[i] = item.score.failures
		}
	}
	return runs, scores
}

// commit writes one commit until its outcome is certain.
func (r *runner) commit(ctx context.Context, job *ownedJob, batch []Result, head Head, transaction rowstore.Transaction) bool {
	retry := commitRetryFirst
	started := time.Now()
	for attempt := 1; ; attempt++ {
		revision, err := r.manager.config.Store.Commit(ctx, transaction)
		if err == nil {
			r.noteSettled(job, attempt, started)
			r.committedAs(job, batch, head, revision)
			return true
		}
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			r.noteSettled(job, attempt, started)
			return r.settleConflict(job, batch, head, conflict)
		}
		if attempt == 1 {
			r.manager.config.Log.Warn(eventlog.CommitUncertain, eventlog.Fields{
				eventlog.Job: job.id, eventlog.Epoch: head.Epoch, eventlog.Count: len(batch),
				eventlog.Cause: err.Error(), "outcome": rowstore.Outcome(err),
			})
		}
		if !pause.For(ctx, retry) {
			return false
		}
		retry = min(2*retry, commitRetryMost)
	}
}

// noteSettled says how long it took to be certain of a commit, if it was not at
// once.
func (r *runner) noteSettled(job *ownedJob, attempts int, started time.Time) {
	if attempts > 1 {
		r.manager.config.Log.Info(eventlog.CommitSettled, eventlog.Fields{
			eventlog.Job: job.id, eventlog.Attempts: attempts, eventlog.TookMillis: time.Since(started).Milliseconds(),
		})
	}
}

// settleConflict tells from the head as it is whether an earlier attempt of
// this very commit took effect.
func (r *runner) settleConflict(job *ownedJob, batch []Result, head Head, conflict *rowstore.ConflictError) bool {
	r.manager.adoptRows(conflict.Rows)
	state, found := r.manager.snapshot(job.id)
	if found && state.head.Epoch == head.Epoch && state.head.Count == head.Count {
		r.committedAs(job, batch, head, state.headRevision)
		return true
	}
	r.manager.config.Log.Warn(eventlog.JobLost, eventlog.Fields{
		eventlog.Job: job.id, eventlog.Epoch: head.Epoch, "store_epoch": state.head.Epoch, eventlog.Owner: state.head.Owner,
	})
	r.close(job.id)
	return false
}

func (r *runner) committedAs(job *ownedJob, batch []Result, head Head, revision int64) {
	r.mu.Lock()
	job.head, job.revision = head, revision
	job.committed = append(job.committed, batch...)
	job.finished = job.finished[len(batch):]
	left := len(job.items) - head.Count
	r.mu.Unlock()
	r.manager.adopt(job.id, head, revision)
	if left == 0 {
		r.manager.config.Log.Info(eventlog.JobComplete, eventlog.Fields{
			eventlog.Job: job.id, eventlog.Count: head.Count, eventlog.TookMillis: head.age(time.Now()).Milliseconds(),
		})
	}
}

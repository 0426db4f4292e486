package batch

import (
	"context"
	"errors"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

const (
	// commitDelay is how long results are collected before a commit.
	commitDelay = 30 * time.Millisecond
	// maxHold is the maximum time for which results are held back while the caller
	// waits for more groups, and maxTailHold the maximum while few groups are missing.
	maxHold     clock.Millis = 400
	maxTailHold clock.Millis = 2000
	// holdSlack is added to the latest expected end of the last item.
	holdSlack clock.Millis = 200
	// maxEndHold is the maximum time for which results are held back until all items have
	// ended: up to maxHold before that end comes within maxTailHold, then maxTailHold and
	// holdSlack, and another maxHold since the end may come later than expected.
	maxEndHold = maxTailHold + 2*maxHold + holdSlack
	// readInterval is the time within which a caller that got an answer is expected to read
	// again: half a second plus the duration of the read and of a commit.
	readInterval clock.Millis = 650
	// dueGrace is how late a result may be read and still count as in time for its
	// caller.
	dueGrace clock.Millis = 700
	// maxHeldBytes is the maximum size of the results that are held back: half a page.
	maxHeldBytes = pageBytes / 2
	// minCommitRetryPause is the pause after the first failed attempt of a commit. It
	// doubles with each further one up to maxCommitRetryPause.
	minCommitRetryPause = 50 * time.Millisecond
	maxCommitRetryPause = 300 * time.Millisecond
)

// commitLoop commits finished items until the job is closed.
func (r *runner) commitLoop(job *ownedJob) {
	for {
		select {
		case <-job.ctx.Done():
			return
		case <-job.commitWake:
		}
		r.awaitBatch(job)
		for outcome := commitDone; outcome != commitNothing; {
			r.awaitHold(job)
			if outcome = r.commitOnce(job.ctx, job); outcome == commitLost {
				return
			}
		}
	}
}

// awaitHold waits until the finished results have to be committed; see remainingHold.
func (r *runner) awaitHold(job *ownedJob) {
	for {
		r.mu.Lock()
		left := job.remainingHold(r.route(job.spec), &r.lengths, time.Now())
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left.Duration())
		select {
		case <-job.ctx.Done():
		case <-job.commitWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// remainingHold returns for how much longer the uncommitted results may be held back.
//
// A caller that waits for a number of complete groups reads about twice a second. A read
// without new results stays pending and returns the next commit at once, whereas a read
// that returns too few results delays the caller's next one by half a second. Besides,
// each commit wakes every node that reads the jobs table. Results are therefore held until
// the groups that the caller waits for are complete, for at most maxHold, or maxTailHold
// if few are missing, and not beyond their due time. Once all items are expected to end
// within maxTailHold, holdUntilEnd applies.
//
// The caller holds runner.mu.
func (j *ownedJob) remainingHold(route *routetable.Route, known *lengths, now time.Time) clock.Millis {
	if len(j.finished) == 0 || j.unfinished == 0 || j.ctx.Err() != nil || j.groups.reached() {
		return 0
	}
	left := j.dueRemaining(route, now)
	if end, sure := j.endWithin(known); sure && end <= maxTailHold {
		return min(left, j.holdUntilEnd(end, now))
	}
	if j.heldBytes() > maxHeldBytes {
		return 0
	}
	most := maxHold
	if j.groups.near() {
		most = maxTailHold
	}
	return min(left, j.finished[0].at+most-clock.At(now))
}

// holdUntilEnd returns for how much longer results are held back if all items will end
// within end. A commit shortly before that would answer the caller's read too early and
// delay the next one. If all results do not fit into one page, the present ones are
// committed at once while the caller has time for another read before end.
func (j *ownedJob) holdUntilEnd(end clock.Millis, now time.Time) clock.Millis {
	held := j.heldBytes()
	if held > pageBytes || end > readInterval && held+j.unfinishedBytes() > pageBytes {
		return 0
	}
	return min(end+holdSlack, j.finished[0].at+maxEndHold-clock.At(now))
}

// dueRemaining returns the time until the results are due. It returns maxEndHold if
// there is no due time, or if it has passed by more than dueGrace, when an early commit
// is of no more use.
func (j *ownedJob) dueRemaining(route *routetable.Route, now time.Time) clock.Millis {
	if route == nil || route.ResultDue == 0 {
		return maxEndHold
	}
	left := clock.Of(route.ResultDue - j.head.age(now))
	if left < -dueGrace {
		return maxEndHold
	}
	return left
}

// unfinishedBytes returns the size of the output of all unfinished items.
func (j *ownedJob) unfinishedBytes() int {
	size := 0
	for i := range j.items {
		for _, event := range j.items[i].text.events {
			size += len(event)
		}
	}
	return size
}

// endWithin returns the time within which all items will have ended, and whether it is
// known. It is known only if all items with incomplete output are running and none is
// longer than the longest ended item of its model. The caller holds runner.mu.
func (j *ownedJob) endWithin(known *lengths) (clock.Millis, bool) {
	most, running := time.Duration(0), false
	for i := range j.items {
		item := &j.items[i]
		if item.phase == phaseFinished || item.phase == phaseScoring {
			continue
		}
		left, sure := known.longestLeft(j.spec.Model, len(item.text.events))
		if !sure || item.phase != phaseRunning {
			return 0, false
		}
		most, running = max(most, left), true
	}
	return clock.Of(most), running
}

// heldBytes returns the size of the texts of all uncommitted results.
func (j *ownedJob) heldBytes() int {
	size := 0
	for i := range j.finished {
		size += len(j.finished[i].result.Text)
	}
	return size
}

// flush commits all finished results of a job. It is called after suspend.
func (r *runner) flush(ctx context.Context, id string) {
	r.mu.Lock()
	job := r.jobs[id]
	r.mu.Unlock()
	if job != nil && job.ready {
		r.commitFinished(ctx, job)
	}
}

// awaitBatch waits for further results to join the commit, unless the groups that the
// caller waits for are complete.
func (r *runner) awaitBatch(job *ownedJob) {
	r.mu.Lock()
	reached := job.groups.wanted > 0 && job.groups.reached()
	r.mu.Unlock()
	if !reached {
		pause.For(job.ctx, commitDelay)
	}
}

// commitFinished commits all finished results, retrying until ctx is done.
func (r *runner) commitFinished(ctx context.Context, job *ownedJob) {
	for r.commitOnce(ctx, job) == commitDone {
	}
}

// commitOnce makes one commit after any commit in progress has ended.
func (r *runner) commitOnce(ctx context.Context, job *ownedJob) commitOutcome {
	select {
	case job.commitToken <- struct{}{}:
		defer func() { <-job.commitToken }()
	case <-ctx.Done():
		return commitLost
	}
	if ctx.Err() != nil {
		return commitLost
	}
	return r.commit(ctx, job)
}

// proposal is the content of a commit.
type proposal struct {
	// results is the number of results in the transaction.
	results int
	// head is the head that the transaction writes.
	head Head
	// failures is the value of ownedJob.failures that the head covers.
	failures    int
	transaction rowstore.Transaction
}

// propose returns the next commit. Its transaction is empty if there is nothing to
// commit.
func (r *runner) propose(job *ownedJob) proposal {
	r.mu.Lock()
	defer r.mu.Unlock()
	limits := r.manager.config.Limits
	p := proposal{head: job.head, failures: job.failures}
	if len(job.finished) == 0 && job.failures == job.failuresStored {
		return p
	}
	p.transaction.Conditions = []rowstore.Condition{{RowID: headID(job.id), Revision: job.revision}}
	size := 0
	for i := range job.finished {
		value := job.finished[i].encoded()
		rows := resultRows(job.id, p.head.Count, value, limits.RowBytes)
		// One more entry is needed for the head.
		full := size+len(value) > maxTransactionBytes || p.transaction.Entries()+len(rows)+1 > limits.TransactionRows
		if p.results > 0 && full {
			break
		}
		size += len(value)
		p.results++
		p.head.Count++
		p.transaction.Puts = append(p.transaction.Puts, rows...)
	}
	p.head.More = p.results < len(job.finished)
	p.head.Failures, p.head.ScoreFailures = failures(job)
	p.transaction.Puts = append(p.transaction.Puts, rowstore.Row{RowID: headID(job.id), Value: encode(p.head)})
	return p
}

// failures returns the numbers of runs that ended in a server error and of failed scoring
// calls of unfinished items, by item index. The caller holds runner.mu.
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

// commitOutcome is the outcome of a commit.
type commitOutcome int

const (
	// commitNothing means that there was nothing to commit.
	commitNothing commitOutcome = iota
	// commitDone means that the content of the store is certain.
	commitDone
	// commitLost means that another node owns the job or the context is done.
	commitLost
)

// commit writes finished results until the outcome is certain. Each attempt includes the
// results that finished since the previous one. Results keep their order, so that a later
// attempt under the same condition extends an earlier one, and the head's count tells
// which of them took effect.
func (r *runner) commit(ctx context.Context, job *ownedJob) commitOutcome {
	retry := minCommitRetryPause
	started := time.Now()
	for attempt := 1; ; attempt++ {
		p := r.propose(job)
		if len(p.transaction.Puts) == 0 {
			return commitNothing
		}
		revision, err := r.manager.config.Store.Commit(r.manager.within(ctx, p.head), p.transaction)
		if err == nil {
			r.logSettled(job, attempt, started)
			r.recordCommit(job, p.head, revision, p.failures)
			return commitDone
		}
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			r.logSettled(job, attempt, started)
			return r.resolveConflict(job, conflict)
		}
		// If the job was closed in the meantime, all its results are committed or it has
		// another owner, and the failure needs no warning.
		if attempt == 1 && ctx.Err() == nil {
			r.manager.config.Log.Warn(eventlog.CommitUncertain, eventlog.Fields{
				eventlog.Job: job.id, eventlog.Epoch: p.head.Epoch, eventlog.Count: p.results,
				eventlog.Cause: err.Error(), "outcome": rowstore.Outcome(err),
			})
		}
		if !pause.For(ctx, retry) {
			return commitLost
		}
		retry = min(2*retry, maxCommitRetryPause)
	}
}

// logSettled logs the time until the outcome of a commit was certain, if that took more
// than one attempt.
func (r *runner) logSettled(job *ownedJob, attempts int, started time.Time) {
	if attempts > 1 {
		r.manager.config.Log.Info(eventlog.CommitSettled, eventlog.Fields{
			eventlog.Job: job.id, eventlog.Attempts: attempts, eventlog.TookMillis: time.Since(started).Milliseconds(),
		})
	}
}

// resolveConflict determines from the stored head whether an earlier attempt took effect.
// A newer head of the same epoch proves it, since only the owner writes heads in its
// epoch.
func (r *runner) resolveConflict(job *ownedJob, conflict *rowstore.ConflictError) commitOutcome {
	r.manager.applyRows(conflict.Rows)
	state, found := r.manager.snapshot(job.id)
	if found && state.head.Epoch == job.head.Epoch && state.headRevision > job.revision {
		// The stored head may lack the latest failures: keep failuresStored, so that the
		// next commit writes them.
		r.recordCommit(job, state.head, state.headRevision, job.failuresStored)
		return commitDone
	}
	r.manager.config.Log.Warn(eventlog.JobLost, eventlog.Fields{
		eventlog.Job: job.id, eventlog.Epoch: job.head.Epoch, "store_epoch": state.head.Epoch, eventlog.Owner: state.head.Owner,
	})
	r.close(job.id)
	return commitLost
}

// recordCommit records that the store holds a head and all results up to its count.
func (r *runner) recordCommit(job *ownedJob, head Head, revision int64, failuresStored int) {
	r.mu.Lock()
	added := head.Count - job.head.Count
	for i := range added {
		job.committed = append(job.committed, job.finished[i].result)
	}
	job.head, job.revision, job.failuresStored = head, revision, failuresStored
	job.finished = job.finished[added:]
	left := len(job.items) - head.Count
	r.mu.Unlock()
	r.manager.applyHead(job.id, head, revision)
	if left == 0 && added > 0 {
		r.manager.config.Log.Info(eventlog.JobComplete, eventlog.Fields{
			eventlog.Job: job.id, eventlog.Count: head.Count, eventlog.TookMillis: head.age(time.Now()).Milliseconds(),
		})
	}
}

// finishedItem is a result that is not committed yet.
type finishedItem struct {
	result Result
	// value is the encoding of result, nil until encoded is called.
	value []byte
	// at is when the item finished.
	at clock.Millis
}

// encoded returns the encoding of the result, which is computed only once.
func (f *finishedItem) encoded() []byte {
	if f.value == nil {
		f.value = encode(f.result)
	}
	return f.value
}

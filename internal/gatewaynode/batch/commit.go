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
	// groupCommit is how long results are gathered before they are committed.
	groupCommit = 30 * time.Millisecond
	// holdMost is how long results are held back for the rest of what their caller
	// waits for, and holdTail, while little of that is missing.
	holdMost clock.Millis = 400
	holdTail clock.Millis = 2000
	// holdSlack is added to the time at which the last item should end at the latest.
	holdSlack clock.Millis = 200
	// holdEnd is how long results wait for the end of all items at most: what was held
	// back for holdMost when that end came within holdTail, and some delay besides.
	holdEnd = holdTail + 2*holdMost + holdSlack
	// readEvery is within which time a caller that was answered reads again: half a
	// second, and what the read and a commit take.
	readEvery clock.Millis = 650
	// dueGrace is by how much a result may be late and still count as read in time by
	// its caller, as the users' rules have it.
	dueGrace clock.Millis = 700
	// holdBytes is how much text is held back at most: half of what one read brings.
	holdBytes = pageBytes / 2
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
		r.gather(job)
		for outcome := commitDone; outcome != commitNothing; {
			r.holdBack(job)
			if outcome = r.commitOnce(job.ctx, job); outcome == commitLost {
				return
			}
		}
	}
}

// holdBack waits while what is finished may be held back, see holdLeft.
func (r *runner) holdBack(job *ownedJob) {
	for {
		r.mu.Lock()
		left := job.holdLeft(r.route(job.spec), &r.lengths, time.Now())
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left.Duration())
		select {
		case <-job.ctx.Done():
		case <-job.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// holdLeft returns for how much longer the results that are not committed yet may
// be held back. A caller that waits for a number of whole groups reads about twice
// a second. A read that finds nothing new is held until there is, and brings the
// result that makes the step whole at once; one that is answered with results of no
// use sends the caller away for half a second. And each commit wakes every node.
// So results wait for the group that makes the step whole, for holdMost, or for
// holdTail while little is missing, but not beyond the time at which they are due.
// Once even the longest item will end within holdTail, they wait for that end, see
// holdToEnd.
func (j *ownedJob) holdLeft(route *routetable.Route, known *lengths, now time.Time) clock.Millis {
	if len(j.finished) == 0 || j.left == 0 || j.ctx.Err() != nil || j.groups.reached() {
		return 0
	}
	left := j.dueLeft(route, now)
	if end, sure := j.endWithin(known); sure && end <= holdTail {
		return min(left, j.holdToEnd(end, now))
	}
	if j.heldBytes() > holdBytes {
		return 0
	}
	most := holdMost
	if j.groups.near() {
		most = holdTail
	}
	return min(left, j.finished[0].at+most-clock.At(now))
}

// holdToEnd returns for how much longer results are held back that all items will
// have joined by end. A commit shortly before that would send the caller away just
// then; where one read could not bring all, what there is goes while the caller has
// the time to come back.
func (j *ownedJob) holdToEnd(end clock.Millis, now time.Time) clock.Millis {
	held := j.heldBytes()
	if held > pageBytes || end > readEvery && held+j.runningBytes() > pageBytes {
		return 0
	}
	return min(end+holdSlack, j.finished[0].at+holdEnd-clock.At(now))
}

// dueLeft returns how long it is until results are due. Once they are so late that
// no result earns more for being read early, they may be held back again.
func (j *ownedJob) dueLeft(route *routetable.Route, now time.Time) clock.Millis {
	if route == nil || route.ResultDue == 0 {
		return holdEnd
	}
	left := clock.Of(route.ResultDue - j.head.age(now))
	if left < -dueGrace {
		return holdEnd
	}
	return left
}

// runningBytes returns how much text the items that are not finished have so far.
func (j *ownedJob) runningBytes() int {
	size := 0
	for i := range j.items {
		for _, event := range j.items[i].text.events {
			size += len(event)
		}
	}
	return size
}

// endWithin returns within which time all items will have ended, and whether that is
// known: all run, and how long they can be at most has been seen. The runner's lock
// is held.
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

// heldBytes returns how much text is not committed yet.
func (j *ownedJob) heldBytes() int {
	size := 0
	for i := range j.finished {
		size += len(j.finished[i].result.Text)
	}
	return size
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

// gather waits a moment for further results, unless what the caller waits for is
// there.
func (r *runner) gather(job *ownedJob) {
	r.mu.Lock()
	reached := job.groups.wanted > 0 && job.groups.reached()
	r.mu.Unlock()
	if !reached {
		pause.For(job.ctx, groupCommit)
	}
}

// commitFinished commits all finished items, until ctx ends.
func (r *runner) commitFinished(ctx context.Context, job *ownedJob) {
	for r.commitOnce(ctx, job) == commitDone {
	}
}

// commitOnce makes one commit, once no other is under way.
func (r *runner) commitOnce(ctx context.Context, job *ownedJob) commitOutcome {
	select {
	case job.committing <- struct{}{}:
		defer func() { <-job.committing }()
	case <-ctx.Done():
		return commitLost
	}
	if ctx.Err() != nil {
		return commitLost
	}
	return r.commit(ctx, job)
}

// proposal is what a commit would write: the results that go into it, the head
// behind them, and the transaction.
type proposal struct {
	results     int
	head        Head
	failures    int
	transaction rowstore.Transaction
}

// propose returns the next commit, whose transaction is empty if there is nothing
// that the store does not hold.
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
		// One entry is the head's.
		full := size+len(value) > transactionMost || p.transaction.Entries()+len(rows)+1 > limits.TransactionRows
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

// commitOutcome is how a commit ended.
type commitOutcome int

const (
	// commitNothing: there was nothing to commit.
	commitNothing commitOutcome = iota
	// commitDone: it is certain what the store holds.
	commitDone
	// commitLost: the job is no longer this node's, or the time is up.
	commitLost
)

// commit writes what is finished until the outcome is certain. Each attempt holds
// all that is finished by then: results keep their order, so that a longer commit
// under the same condition holds all of a shorter one, and whichever took effect,
// the head's count tells how much is stored.
func (r *runner) commit(ctx context.Context, job *ownedJob) commitOutcome {
	retry := commitRetryFirst
	started := time.Now()
	for attempt := 1; ; attempt++ {
		p := r.propose(job)
		if len(p.transaction.Puts) == 0 {
			return commitNothing
		}
		revision, err := r.manager.config.Store.Commit(r.manager.within(ctx, p.head), p.transaction)
		if err == nil {
			r.noteSettled(job, attempt, started)
			r.committedAs(job, p.head, revision, p.failures)
			return commitDone
		}
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			r.noteSettled(job, attempt, started)
			return r.settleConflict(job, conflict)
		}
		// A job that is closed meanwhile has all its results listed, or another owner.
		if attempt == 1 && ctx.Err() == nil {
			r.manager.config.Log.Warn(eventlog.CommitUncertain, eventlog.Fields{
				eventlog.Job: job.id, eventlog.Epoch: p.head.Epoch, eventlog.Count: p.results,
				eventlog.Cause: err.Error(), "outcome": rowstore.Outcome(err),
			})
		}
		if !pause.For(ctx, retry) {
			return commitLost
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

// settleConflict tells from the head as it is whether an earlier attempt took
// effect: in its epoch the owner alone writes the head.
func (r *runner) settleConflict(job *ownedJob, conflict *rowstore.ConflictError) commitOutcome {
	r.manager.adoptRows(conflict.Rows)
	state, found := r.manager.snapshot(job.id)
	if found && state.head.Epoch == job.head.Epoch && state.headRevision > job.revision {
		// Failures may have been counted since: they are written once more.
		r.committedAs(job, state.head, state.headRevision, job.failuresStored)
		return commitDone
	}
	r.manager.config.Log.Warn(eventlog.JobLost, eventlog.Fields{
		eventlog.Job: job.id, eventlog.Epoch: job.head.Epoch, "store_epoch": state.head.Epoch, eventlog.Owner: state.head.Owner,
	})
	r.close(job.id)
	return commitLost
}

// committedAs takes note that the store holds a head, and the results up to its
// count.
func (r *runner) committedAs(job *ownedJob, head Head, revision int64, failuresStored int) {
	r.mu.Lock()
	added := head.Count - job.head.Count
	for i := range added {
		job.committed = append(job.committed, job.finished[i].result)
	}
	job.head, job.revision, job.failuresStored = head, revision, failuresStored
	job.finished = job.finished[added:]
	left := len(job.items) - head.Count
	r.mu.Unlock()
	r.manager.adopt(job.id, head, revision)
	if left == 0 && added > 0 {
		r.manager.config.Log.Info(eventlog.JobComplete, eventlog.Fields{
			eventlog.Job: job.id, eventlog.Count: head.Count, eventlog.TookMillis: head.age(time.Now()).Milliseconds(),
		})
	}
}

// finishedItem is a result that is not committed yet.
type finishedItem struct {
	result Result
	value  []byte
	at     clock.Millis
}

// encoded returns the result's encoding, made once.
func (f *finishedItem) encoded() []byte {
	if f.value == nil {
		f.value = encode(f.result)
	}
	return f.value
}

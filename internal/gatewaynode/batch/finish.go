package batch

import (
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

// finish records the final state of an item and wakes the commit loop. The caller holds r.mu.
func (r *runner) finish(job *ownedJob, index int, state State) {
	item := &job.items[index]
	if item.phase == phaseFinished {
		return
	}
	if item.phase == phaseScoring {
		job.scoring = slices.DeleteFunc(job.scoring, func(i int) bool { return i == index })
	}
	item.phase = phaseFinished
	job.unfinished--
	result := Result{ID: job.spec.Items[index].ID, State: state}
	if state == Completed {
		result.Text, result.Versions = item.text.join()
		result.Score = item.text.score
		r.keepText(job, result.ID, item.text)
	}
	item.text = text{}
	job.finished = append(job.finished, finishedItem{result: result, at: clock.Now()})
	job.groups.finish(job.spec.Items[index].Group)
	job.wakeCommit()
}

// keepText retains the output of an item for later jobs if the job is allowed in this node's
// region. The caller holds r.mu.
func (r *runner) keepText(job *ownedJob, item string, made text) {
	if r.manager.allowedHere(job.origin) {
		r.kept.put(item, made, job.origin.residency())
	}
}

// wakeCommit wakes the job's commit loop.
func (j *ownedJob) wakeCommit() {
	select {
	case j.commitWake <- struct{}{}:
	default:
	}
}

// close closes a job and cancels its runs. The output of unfinished items is kept for
// later jobs.
func (r *runner) close(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[id]
	if job == nil {
		return
	}
	delete(r.jobs, id)
	for i := range job.items {
		item := &job.items[i]
		if item.phase != phaseFinished && len(item.text.events) > 0 {
			r.keepText(job, job.spec.Items[i].ID, item.text)
		}
	}
	job.cancel()
}

// suspend cancels a job's runs, prevents new ones, and returns the unsaved output of
// unfinished items. It returns nil if the job is not open or not ready.
func (r *runner) suspend(id string) (*ownedJob, []segment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[id]
	if job == nil || !job.ready {
		return nil, nil
	}
	job.suspended = true
	for i := range job.items {
		if job.items[i].phase == phaseRunning {
			job.items[i].cancel(errStopping)
		}
		job.items[i].score.cancelCalls()
	}
	return job, r.unsavedSegments(job, 0)
}

// committed returns up to limit committed results from memory, starting at position
// after. It returns none if the job is not open on this node.
func (r *runner) committed(id string, after, limit int) []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := r.jobs[id]
	if job == nil || after >= len(job.committed) {
		return nil
	}
	end := min(len(job.committed), after+limit)
	return job.committed[after:end:end]
}

// expireMargin is added to the maximum queue time of a route before items expire, since
// the wall clocks of two nodes differ. Nor does an item expire before its job has been open on
// this node for that time.
const expireMargin = 4 * time.Second

// expire finishes all items as dead that exceeded the maximum queue time of their route.
func (r *runner) expire() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		if !job.ready || job.unfinished == 0 {
			continue
		}
		route := r.route(job.spec)
		if route == nil || route.MaxQueue == 0 || job.head.age(now) < route.MaxQueue+expireMargin || now.Sub(job.opened) < expireMargin {
			continue
		}
		for i := range job.items {
			if job.items[i].phase == phaseFinished {
				continue
			}
			if job.items[i].cancel != nil {
				job.items[i].cancel(errExpired)
			}
			job.items[i].score.cancelCalls()
			r.manager.config.Log.Warn(eventlog.ItemDead, eventlog.Fields{eventlog.Job: job.id, eventlog.Item: job.spec.Items[i].ID, eventlog.Cause: "exceeded the maximum queue time"})
			r.finish(job, i, Dead)
		}
	}
}

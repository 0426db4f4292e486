package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// commitLoop commits what changed and renews the lease, until the step is done,
// handed over or lost.
func (o *ownedStep) commitLoop() {
	defer o.end()
	for {
		proposal, ok := o.nextProposal()
		if !ok {
			return
		}
		err := o.commit(proposal)
		if errors.Is(err, errFenced) {
			o.lg.Warn("another node owns the step now")
			o.deleteObjects(proposal.Object)
			return
		}
		if err != nil {
			return
		}
		o.committed(proposal)
		if proposal.Progress.Done || o.record.Owner == "" {
			return
		}
	}
}

// nextProposal waits until a commit or a renewal is due.
func (o *ownedStep) nextProposal() (Proposal, bool) {
	for {
		o.mu.Lock()
		now := time.Now()
		due := o.renewAt
		if o.ledger.Pending() && o.commitAt.Before(due) {
			due = o.commitAt
		}
		if o.ledger.Done() || o.releasing {
			due = now
		}
		if !due.After(now) {
			proposal := o.ledger.Propose(now)
			o.mu.Unlock()
			return proposal, true
		}
		changed := o.changed
		o.mu.Unlock()
		if !o.waitChange(changed, due) {
			return Proposal{}, false
		}
	}
}

// commit writes the proposal's object and then the row.
func (o *ownedStep) commit(proposal Proposal) error {
	if proposal.Object != "" {
		if err := o.putSamples(proposal); err != nil {
			return err
		}
	}
	record := o.record.StepRecord
	record.Progress = proposal.Progress
	if o.mayRelease() {
		record.Owner, record.OwnerAddress = "", ""
	}
	return o.writeRow(record)
}

// mayRelease tells whether the commit that is under way may give the lease up:
// nothing runs and nothing is left to commit after it.
func (o *ownedStep) mayRelease() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.releasing && o.ledger.Running() == 0 && !o.ledger.Left()
}

// putSamples writes the object, and renews the lease as long as that takes.
func (o *ownedStep) putSamples(proposal Proposal) error {
	content, err := json.Marshal(proposal.Samples)
	if err != nil {
		panic(fmt.Sprintf("rollout: samples must encode: %v", err))
	}
	written := make(chan error, 1)
	o.tasks.Add(1)
	go func() {
		defer o.tasks.Done()
		written <- o.store.putObject(o.ctx, o.objectKey(proposal.Object), content)
	}()
	for {
		o.mu.Lock()
		renewAt := o.renewAt
		o.mu.Unlock()
		timer := time.NewTimer(time.Until(renewAt))
		select {
		case err := <-written:
			timer.Stop()
			return err
		case <-timer.C:
			if err := o.writeRow(o.record.StepRecord); err != nil {
				return err
			}
		}
	}
}

// writeRow writes the row and renews the lease by it.
func (o *ownedStep) writeRow(record StepRecord) error {
	sentAt := time.Now()
	written, err := o.store.write(o.ctx, rowKey(o.key.trainer, o.key.step), record, o.record.revision)
	if err != nil {
		return err
	}
	o.record = written
	o.mu.Lock()
	defer o.mu.Unlock()
	o.renewed(sentAt)
	o.signal()
	return nil
}

// committed tells the ledger and everyone who waits, and deletes what nothing
// needs any more.
func (o *ownedStep) committed(proposal Proposal) {
	o.mu.Lock()
	now := time.Now()
	o.commitAt = now.Add(o.config.CommitInterval)
	o.ledger.Commit(now)
	o.signal()
	o.mu.Unlock()
	obsolete := proposal.Obsolete
	if proposal.Progress.Done {
		obsolete = append(obsolete, o.record.Spec)
	}
	o.deleteObjects(obsolete...)
}

// deleteObjects deletes objects by name in the background.
func (o *ownedStep) deleteObjects(names ...string) {
	var keys []string
	for _, name := range names {
		if name != "" {
			keys = append(keys, o.objectKey(name))
		}
	}
	if len(keys) == 0 {
		return
	}
	o.tasks.Add(1)
	go func() {
		defer o.tasks.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), o.config.CallTimeout)
		defer cancel()
		o.store.deleteObjects(ctx, keys)
	}()
}

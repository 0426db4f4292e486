package batch

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

const (
	// submitRetryPause is the pause between attempts to write a part of a
	// specification, a head or an end row.
	submitRetryPause = 60 * time.Millisecond
	// maxSpecPartBytes is the maximum size of a part of a specification, in bytes.
	maxSpecPartBytes = 48 << 10
	// maxTransactionBytes is the maximum total size of the values of a transaction, in
	// bytes: two thirds of the store's limit, to leave room for their encoding.
	maxTransactionBytes = 600 << 10
)

// Submit stores a job. OK means that the job is durable, Unavailable that this call
// has not stored it and will not, and Uncertain that it may be stored now or later.
// Submit retries until ctx is done.
func (m *Manager) Submit(ctx context.Context, spec *Spec) Status {
	if state, found := m.snapshot(spec.ID); found && (state.known || state.ended) {
		return duplicateStatus(state, spec.Tenant)
	}
	head, status := m.newHead(spec)
	if status != OK {
		return status
	}
	ctx = m.within(ctx, head)
	content := encode(spec)
	parts := splitParts(content, min(maxSpecPartBytes, m.config.Limits.RowBytes))
	head.Parts = len(parts)
	remaining, status := m.writeLeadingParts(ctx, spec.ID, head.Nonce, parts)
	if status != OK {
		return status
	}
	transaction := rowstore.Transaction{
		Conditions: []rowstore.Condition{{RowID: headID(spec.ID)}, {RowID: endID(spec.ID)}},
		Puts:       append(remaining, rowstore.Row{RowID: headID(spec.ID), Value: encode(head)}),
	}
	status = m.create(ctx, spec.ID, head, transaction)
	if status == OK {
		if m.allowedHere(head) {
			m.specs.put(spec.ID, spec)
		}
		m.reconcileNow()
	}
	return status
}

// duplicateStatus returns the status of a submission whose ID is in use: OK for a repeated
// submission by the same tenant, IDInUse otherwise.
func duplicateStatus(state jobState, tenant string) Status {
	if state.known && state.head.Tenant != tenant {
		return IDInUse
	}
	return OK
}

// newHead returns the head of a new job. The status is OK if a node can own the job.
func (m *Manager) newHead(spec *Spec) (Head, Status) {
	head := Head{
		Route: spec.Route,
		Epoch: 1, Model: spec.Model, Tenant: spec.Tenant, OwnerKey: m.ownerKeyOf(spec), Total: len(spec.Items),
		Nonce: uuid.NewString()[:8], SubmittedMillis: time.Now().UnixMilli(),
	}
	for i := range spec.Items {
		head.ExpectedTokens += spec.Items[i].expectedTokens()
	}
	head.Width = width(spec.Items)
	regions := m.regionsOf(head)
	if regions.IsEmpty() {
		return head, NoRegion
	}
	head.Regions = regions.Names()
	owner, found := m.chooseOwner(head.OwnerKey, regions, time.Now())
	if !found {
		return head, NoNode
	}
	head.Owner, head.Incarnation = owner.Name, owner.Incarnation
	return head, OK
}

// ownerKeyOf returns the owner key of a job; see ownerKey.
func (m *Manager) ownerKeyOf(spec *Spec) string {
	service := m.runner.serviceOf(spec)
	slots, models := m.config.Fleet.Slots(service)
	return ownerKey(service, spec.Model, spec.ID, slots, models)
}

// chooseOwner returns the node that should own jobs with the given owner key in the
// given regions, and whether there is one. It prefers nodes that are proven alive: a
// job assigned to a node that is gone would wait until that is detected.
func (m *Manager) chooseOwner(key string, regions place.Regions, now time.Time) (presence.Node, bool) {
	keepers := presence.KeepersWithin(m.config.Presence.Proven(now), regions)
	if len(keepers) == 0 && regions.Has(m.self.Region) {
		return m.self, true
	}
	if len(keepers) == 0 {
		// Shortly after the start of this node, no other node may be proven alive yet.
		keepers = m.config.Presence.Members(now).KeepersWithin(regions)
	}
	if len(keepers) == 0 {
		return m.self, false
	}
	return presence.Rank(keepers, key)[0], true
}

// writeLeadingParts writes the leading parts of a specification that do not fit into
// the transaction of the head, and returns the rows of the remaining parts.
func (m *Manager) writeLeadingParts(ctx context.Context, job, nonce string, parts [][]byte) ([]rowstore.Row, Status) {
	var batch []rowstore.Row
	size := 0
	for i, part := range parts {
		if size+len(part) > maxTransactionBytes {
			if status := m.commitWithRetry(ctx, rowstore.Transaction{Puts: batch}); status != OK {
				// Parts without a head that refers to them have no effect.
				return nil, Unavailable
			}
			batch, size = nil, 0
		}
		batch = append(batch, rowstore.Row{RowID: specID(job, nonce, i), Value: part})
		size += len(part)
	}
	return batch, OK
}

// commitWithRetry commits an unconditional, idempotent transaction, retrying until ctx
// is done.
func (m *Manager) commitWithRetry(ctx context.Context, transaction rowstore.Transaction) Status {
	uncertain := false
	for {
		_, err := m.config.Store.Commit(ctx, transaction)
		if err == nil {
			return OK
		}
		uncertain = uncertain || errors.Is(err, rowstore.ErrUnknown)
		if !pause.For(ctx, submitRetryPause) {
			if uncertain {
				return Uncertain
			}
			return Unavailable
		}
	}
}

// create commits the transaction that creates a job, retrying until the outcome is
// certain or ctx is done.
func (m *Manager) create(ctx context.Context, job string, head Head, transaction rowstore.Transaction) Status {
	uncertain := false
	for {
		revision, err := m.config.Store.Commit(ctx, transaction)
		if err == nil {
			m.applyHead(job, head, revision)
			m.config.Log.Info(eventlog.JobAccepted, eventlog.Fields{
				eventlog.Job: job, eventlog.Owner: head.Owner, eventlog.Model: head.Model, eventlog.Count: head.Total,
			})
			return OK
		}
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			// The job exists, created by an earlier attempt or by another node, or it was
			// ended.
			m.applyRows(conflict.Rows)
			state, _ := m.snapshot(job)
			return duplicateStatus(state, head.Tenant)
		}
		first := !uncertain
		uncertain = uncertain || errors.Is(err, rowstore.ErrUnknown)
		if first && uncertain {
			m.config.Log.Warn(eventlog.CommitUncertain, eventlog.Fields{eventlog.Job: job, "row": "head", eventlog.Cause: err.Error()})
		}
		if errors.Is(err, rowstore.ErrInvalid) || !pause.For(ctx, submitRetryPause) {
			if uncertain {
				return Uncertain
			}
			return Unavailable
		}
	}
}

// Submission is a job with the time limits of the submitting request.
type Submission struct {
	Spec *Spec
	// Remaining is the time until the caller's deadline, Target the response time that it
	// aims at, and RouteLimit the route's limit on how long a request may be held.
	Remaining, Target, RouteLimit time.Duration
}

const (
	// submitShare is the share of the caller's remaining time for which a submission is
	// retried while the store is unavailable; the rest is left for trying another
	// node. A caller with less time than the route allows has tried before, and
	// resubmitShare applies.
	submitShare   = 0.4
	resubmitShare = 0.95
	// retryAfterTargets is the time after which a refused caller should retry, as a
	// multiple of Submission.Target.
	retryAfterTargets = 0.5
)

// Accept submits a job within the time limits of its request. Unless the status is
// OK, it also returns the time after which the caller should retry.
func (m *Manager) Accept(ctx context.Context, submission Submission) (Status, time.Duration) {
	started := time.Now()
	share := submitShare
	if submission.Remaining < submission.RouteLimit {
		share = resubmitShare
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(share*float64(submission.Remaining)))
	defer cancel()
	status := m.Submit(bounded, submission.Spec)
	if status == OK {
		return OK, 0
	}
	event := eventlog.JobRefused
	if status == Uncertain {
		event = eventlog.JobUncertain
	}
	m.config.Log.Warn(event, eventlog.Fields{
		eventlog.Job: submission.Spec.ID, eventlog.TookMillis: time.Since(started).Milliseconds(), "store": m.view.Status().Healthy,
		eventlog.Cause: status.String(), eventlog.Route: submission.Spec.Route, eventlog.Tenant: submission.Spec.Tenant,
	})
	return status, time.Duration(retryAfterTargets * float64(submission.Target))
}

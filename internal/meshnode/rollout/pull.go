package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/sliplift/sliplift/internal/api"
)

// PullQuery holds the query parameters of a pull.
type PullQuery struct {
	Cursor int64
	// Version is the trainer's version.
	Version int64
	// Limit is the largest number of samples; zero means Config.PullLimit.
	Limit int
	// Wait is how long to wait for the first sample.
	Wait time.Duration
}

// Pull answers with committed samples from the query's cursor on, or with none
// if there are none within the query's wait.
func (s *Service) Pull(ctx context.Context, trainer string, step int64, query PullQuery) (api.PullResponse, *api.Error) {
	deadline := time.Now().Add(query.Wait)
	found, err := s.locate(ctx, stepKey{trainer, step})
	if err != nil {
		return api.PullResponse{}, err
	}
	if found.owned == nil {
		record := found.done
		return api.PullResponse{Samples: []api.Sample{}, NextCursor: max(query.Cursor, record.Cursor), Done: true, Epoch: record.Epoch}, nil
	}
	if query.Limit <= 0 || query.Limit > s.config.PullLimit {
		query.Limit = s.config.PullLimit
	}
	return found.owned.pull(ctx, query, deadline)
}

// pull waits for samples until the deadline.
func (o *ownedStep) pull(ctx context.Context, query PullQuery, deadline time.Time) (api.PullResponse, *api.Error) {
	for {
		answer, ready, changed, err := o.tryPull(query)
		if err != nil || ready {
			return answer, err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return o.expired(answer)
		case <-timer.C:
			return o.expired(answer)
		}
	}
}

// expired is the answer to a pull whose wait has passed.
func (o *ownedStep) expired(answer api.PullResponse) (api.PullResponse, *api.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.mayHandOut(time.Now()) {
		return api.PullResponse{}, api.Refusal(http.StatusServiceUnavailable, api.CodeStoreUnavailable, retryStoreMS, "the step's lease has lapsed and is not renewed yet")
	}
	return answer, nil
}

// tryPull asks the ledger once; changed is closed when asking again helps.
func (o *ownedStep) tryPull(query PullQuery) (answer api.PullResponse, ready bool, changed <-chan struct{}, err *api.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	answer = api.PullResponse{Samples: []api.Sample{}, NextCursor: query.Cursor, Epoch: o.posted.Epoch}
	now := time.Now()
	if o.ledger.Done() {
		answer.Done = true
		acknowledged, _ := o.ledger.Cursor()
		answer.NextCursor = max(query.Cursor, acknowledged)
		return answer, true, nil, nil
	}
	if o.ended {
		return answer, true, nil, api.Refusal(http.StatusServiceUnavailable, api.CodeNotOwner, retrySoonMS, "the step has just left this node")
	}
	if !o.mayHandOut(now) {
		return answer, false, o.changed, nil
	}
	var handOut HandOut
	o.updateLocked(func(ledger *Ledger) { handOut, err = ledger.HandOut(query.Cursor, query.Version, query.Limit, now) })
	if err != nil {
		return answer, true, nil, err
	}
	answer.Samples = append(answer.Samples, handOut.Samples...)
	answer.NextCursor = handOut.NextCursor
	answer.Done = handOut.Done
	return answer, len(answer.Samples) > 0 || answer.Done, o.changed, nil
}

// Ack moves the trainer's cursor.
func (s *Service) Ack(ctx context.Context, trainer string, step int64, cursor int64) (api.AckResponse, *api.Error) {
	found, err := s.locate(ctx, stepKey{trainer, step})
	if err != nil {
		return api.AckResponse{}, err
	}
	if found.owned == nil {
		return api.AckResponse{Cursor: found.done.Cursor, Done: true}, nil
	}
	return found.owned.acknowledge(ctx, cursor)
}

// acknowledge answers at once, except for the step's last acknowledgement,
// which waits for its commit.
func (o *ownedStep) acknowledge(ctx context.Context, cursor int64) (api.AckResponse, *api.Error) {
	var err *api.Error
	o.mu.Lock()
	if o.ended && !o.ledger.Done() {
		o.mu.Unlock()
		return api.AckResponse{}, api.Refusal(http.StatusServiceUnavailable, api.CodeNotOwner, retrySoonMS, "the step has just left this node")
	}
	o.updateLocked(func(ledger *Ledger) { err = ledger.Acknowledge(cursor) })
	o.mu.Unlock()
	if err != nil {
		return api.AckResponse{}, err
	}
	deadline := time.Now().Add(o.config.AckWait)
	for {
		o.mu.Lock()
		moved, durable := o.ledger.Cursor()
		done := o.ledger.Done()
		changed := o.changed
		o.mu.Unlock()
		answer := api.AckResponse{Cursor: moved, Done: done}
		if !done || durable || ctx.Err() != nil || !time.Now().Before(deadline) {
			return answer, nil
		}
		if !o.waitChange(changed, deadline) {
			return answer, nil
		}
	}
}

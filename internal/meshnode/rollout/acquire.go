package rollout

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// acquireTimeout bounds a takeover.
const acquireTimeout = 30 * time.Second

// retrySoonMS is the Retry-After where another node can serve at once.
const retrySoonMS = 100

// retryStoreMS is the Retry-After while the platform's store is out of reach.
const retryStoreMS = 1000

// lookup reads a step's row within Config.CallTimeout. The error has code not_found, or says that
// the store is out of reach.
func (s *Service) lookup(ctx context.Context, key stepKey) (storedRecord, error) {
	call, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	return s.store.read(call, rowKey(key.trainer, key.step))
}

// located is where a step is: on this node, or done.
type located struct {
	owned *ownedStep
	// done is the row of a step whose samples the trainer all has.
	done storedRecord
}

// locate finds a step and takes it over if nobody owns it any more.
func (s *Service) locate(ctx context.Context, key stepKey) (located, *api.Error) {
	if owned := s.owned(key); owned != nil {
		return located{owned: owned}, nil
	}
	record, err := s.lookup(ctx, key)
	if storeclient.HasCode(err, api.CodeNotFound) {
		return located{}, api.Refusal(http.StatusNotFound, api.CodeUnknownStep, 0, "trainer %s has no step %d", key.trainer, key.step)
	}
	if err != nil {
		s.mu.Lock()
		s.watch.forget(key)
		s.mu.Unlock()
		return located{}, storeError(err)
	}
	if record.Done {
		return located{done: record}, nil
	}
	if s.isStopping() {
		return located{}, stoppingError()
	}
	if standing := s.standing(key, record); standing > 0 {
		return located{}, notOwnerError(key, record, standing)
	}
	owned, failure := s.takeOver(key, record)
	return located{owned: owned}, failure
}

// standing returns how long the row's lease still stands by this node's clock.
func (s *Service) standing(key stepKey, record storedRecord) time.Duration {
	if record.Owner == "" {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.observe(key, record.revision, api.Milliseconds(record.LeaseMS), time.Now())
}

// takeOver makes this node the owner of a step whose lease has lapsed. The
// objects are read first: the write of the row, which is conditional on the
// revision that named them, makes sure that they were all.
func (s *Service) takeOver(key stepKey, record storedRecord) (*ownedStep, *api.Error) {
	ctx, cancel := context.WithTimeout(s.ctx, acquireTimeout)
	defer cancel()
	next := record.StepRecord
	next.Owner, next.OwnerAddress = s.config.Node, s.config.Address
	next.Epoch++
	next.LeaseMS = s.config.Lease.Milliseconds()
	next.LastObject = 0
	var spec api.StepRequest
	if err := s.store.getObject(ctx, objectKey(key.trainer, key.step, record.Spec), &spec); err != nil {
		return nil, storeError(err)
	}
	objects := make(map[string][]api.Sample, len(record.Manifests))
	for _, manifest := range record.Manifests {
		var samples []api.Sample
		if err := s.store.getObject(ctx, objectKey(key.trainer, key.step, manifest.Object), &samples); err != nil {
			return nil, storeError(err)
		}
		objects[manifest.Object] = samples
	}
	ledger, err := RestoreLedger(s.ledgerConfig(spec, next.Epoch), record.Progress, objects)
	if err != nil {
		s.lg.WithError(err).Error("a step can't be restored")
		return nil, api.Refusal(http.StatusInternalServerError, api.CodeInvalid, 0, "step %d of trainer %s can't be restored: %v", key.step, key.trainer, err)
	}
	sentAt := time.Now()
	written, err := s.store.write(ctx, rowKey(key.trainer, key.step), next, record.revision)
	if errors.Is(err, errFenced) {
		return nil, api.Refusal(http.StatusServiceUnavailable, api.CodeNotOwner, retrySoonMS, "another node took step %d of trainer %s over", key.step, key.trainer)
	}
	if err != nil {
		return nil, storeError(err)
	}
	owned := s.newOwnedStep(key, spec, ledger, written, sentAt)
	if !s.adopt(owned) {
		owned.end()
		return nil, stoppingError()
	}
	owned.deleteObjects(objectName(record.Epoch, record.LastObject+1))
	owned.lg.WithField("former_owner", record.Owner).Info("took a step over")
	return owned, nil
}

func (s *Service) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func stoppingError() *api.Error {
	return api.Refusal(http.StatusServiceUnavailable, api.CodeStopping, retrySoonMS, "the node is stopping, ask another one")
}

func notOwnerError(key stepKey, record storedRecord, standing time.Duration) *api.Error {
	pause := min(standing, api.Milliseconds(record.LeaseMS)/renewalsPerLease)
	return api.Refusal(http.StatusServiceUnavailable, api.CodeNotOwner, max(pause.Milliseconds(), 1),
		"step %d of trainer %s is owned by node %s at %s (epoch %d)", key.step, key.trainer, record.Owner, record.OwnerAddress, record.Epoch)
}

func storeError(err error) *api.Error {
	return api.Refusal(http.StatusServiceUnavailable, api.CodeStoreUnavailable, retryStoreMS, "the platform's store: %v", err)
}

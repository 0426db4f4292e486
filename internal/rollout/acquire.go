package rollout

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
)

// acquireTimeout bounds a takeover.
const acquireTimeout = 30 * time.Second

// postTimeout bounds the writes of a Post; their fate is open after it.
const postTimeout = 10 * time.Second

// keptDoneSteps is how many steps a trainer may post before the row of a step
// that is done goes; until then a late request for it gets its true answer.
const keptDoneSteps = 64

// retrySoonMS is the Retry-After where another node can serve at once.
const retrySoonMS = 100

// retryStoreMS is the Retry-After while the platform's store is out of reach.
const retryStoreMS = 1000

// Post begins a step on this node. Posting an identical specification again
// gives the same answer; a different one for the same step is refused.
func (s *Service) Post(ctx context.Context, trainer string, step int64, spec api.StepRequest) (api.StepResponse, *api.Error) {
	if err := checkSpec(trainer, step, spec); err != nil {
		return api.StepResponse{}, err
	}
	if s.isStopping() {
		return api.StepResponse{}, stoppingError()
	}
	ctx, cancel := context.WithTimeout(ctx, postTimeout)
	defer cancel()
	key := stepKey{trainer, step}
	content, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("rollout: a specification must encode: %v", err))
	}
	sum := sha256.Sum256(content)
	record := StepRecord{
		Owner:        s.config.Node,
		OwnerAddress: s.config.Address,
		Epoch:        1,
		LeaseMS:      s.config.Lease.Milliseconds(),
		SpecHash:     hex.EncodeToString(sum[:]),
		Pool:         spec.Pool,
		Samples:      spec.SampleCount(),
	}
	record.Spec = "spec-" + record.SpecHash
	if owned := s.owned(key); owned != nil {
		return answerExisting(key, owned.posted, record)
	}
	existing, err := s.lookup(ctx, key)
	if err == nil {
		return answerExisting(key, existing.StepRecord, record)
	}
	if !hasCode(err, api.CodeNotFound) {
		return api.StepResponse{}, storeError(err)
	}
	if err := s.store.putObject(ctx, ObjectKey(trainer, step, record.Spec), content); err != nil {
		return api.StepResponse{}, storeError(err)
	}
	sentAt := time.Now()
	written, err := s.store.write(ctx, RowKey(trainer, step), record, 0)
	if errors.Is(err, errFenced) {
		return s.answerRace(ctx, key, record)
	}
	if err != nil {
		failure := storeError(err)
		failure.Outcome = api.OutcomeUnknown
		return api.StepResponse{}, failure
	}
	s.forgetOldStep(stepKey{trainer, step - keptDoneSteps})
	owned := s.newOwnedStep(key, spec, NewLedger(s.config.ledgerConfig(spec, record.Epoch)), written, sentAt)
	if !s.adopt(owned) {
		owned.end()
	}
	return stepResponse(key, written.StepRecord), nil
}

// forgetOldStep deletes, at best effort, the row of a step that was done long
// ago, so that a trainer that counts its steps up leaves few rows behind.
func (s *Service) forgetOldStep(key stepKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || key.step < 0 {
		return
	}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		record, err := s.lookup(s.ctx, key)
		if err != nil || !record.Done {
			return
		}
		row := RowKey(key.trainer, key.step)
		call, cancel := context.WithTimeout(s.ctx, s.config.CallTimeout)
		defer cancel()
		_, _ = s.config.Table.Commit(call, api.Transaction{
			ID:         uuid.NewString(),
			Conditions: []api.Condition{{Key: row, Revision: record.revision}},
			Deletes:    []string{row},
		})
	}()
}

// answerRace answers a Post that lost against another one.
func (s *Service) answerRace(ctx context.Context, key stepKey, record StepRecord) (api.StepResponse, *api.Error) {
	existing, err := s.store.read(ctx, RowKey(key.trainer, key.step))
	if err != nil {
		return api.StepResponse{}, storeError(err)
	}
	if existing.Spec != record.Spec {
		s.store.deleteObjects(ctx, []string{ObjectKey(key.trainer, key.step, record.Spec)})
	}
	return answerExisting(key, existing.StepRecord, record)
}

func answerExisting(key stepKey, existing, record StepRecord) (api.StepResponse, *api.Error) {
	if existing.SpecHash == record.SpecHash {
		return stepResponse(key, existing), nil
	}
	return api.StepResponse{}, api.Refusal(http.StatusConflict, api.CodeDuplicateStep, 0,
		"step %d of trainer %s exists with another specification: owner %q, epoch %d, %d samples, cursor %d of %d committed, done %t",
		key.step, key.trainer, existing.Owner, existing.Epoch, existing.Samples, existing.Cursor, existing.Committed, existing.Done)
}

func stepResponse(key stepKey, record StepRecord) api.StepResponse {
	return api.StepResponse{Trainer: key.trainer, Step: key.step, Samples: record.Samples, Epoch: record.Epoch, Owner: record.Owner}
}

func checkSpec(trainer string, step int64, spec api.StepRequest) *api.Error {
	switch {
	case trainer == "" || strings.Contains(trainer, "/"):
		return api.Invalid("trainer: must be set and hold no slash")
	case step < 0:
		return api.Invalid("step: must not be negative")
	case len(spec.Prompts) == 0:
		return api.Invalid("prompts: at least one is needed")
	case spec.SamplesPerPrompt <= 0:
		return api.Invalid("samples_per_prompt: must be positive")
	case spec.VersionBound < 0:
		return api.Invalid("version_bound: must not be negative")
	}
	return nil
}

// lookup reads a step's row within Config.CallTimeout. The error has code not_found, or says that
// the store is out of reach.
func (s *Service) lookup(ctx context.Context, key stepKey) (storedRecord, error) {
	call, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	return s.store.read(call, RowKey(key.trainer, key.step))
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
	if hasCode(err, api.CodeNotFound) {
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
	var spec api.StepRequest
	if err := s.store.getObject(ctx, ObjectKey(key.trainer, key.step, record.Spec), &spec); err != nil {
		return nil, storeError(err)
	}
	objects := make(map[string][]api.Sample, len(record.Manifests))
	for _, manifest := range record.Manifests {
		var samples []api.Sample
		if err := s.store.getObject(ctx, ObjectKey(key.trainer, key.step, manifest.Object), &samples); err != nil {
			return nil, storeError(err)
		}
		objects[manifest.Object] = samples
	}
	ledger, err := RestoreLedger(s.config.ledgerConfig(spec, next.Epoch), record.Progress, objects)
	if err != nil {
		s.lg.WithError(err).Error("a step can't be restored")
		return nil, api.Refusal(http.StatusInternalServerError, api.CodeInvalid, 0, "step %d of trainer %s can't be restored: %v", key.step, key.trainer, err)
	}
	sentAt := time.Now()
	written, err := s.store.write(ctx, RowKey(key.trainer, key.step), next, record.revision)
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

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
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// postTimeout bounds a Post, createTimeout the writes that it began.
const (
	postTimeout   = 10 * time.Second
	createTimeout = time.Minute
)

// keptDoneSteps is how many steps a trainer may post before the row of a step
// that is done goes; until then a late request for it gets its true answer.
const keptDoneSteps = 64

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
	posting := s.newPosting(stepKey{trainer, step}, spec)
	if owned := s.owned(posting.key); owned != nil {
		return posting.answer(owned.posted)
	}
	existing, err := s.lookup(ctx, posting.key)
	if err == nil {
		return posting.answer(existing.StepRecord)
	}
	if !storeclient.HasCode(err, api.CodeNotFound) {
		return api.StepResponse{}, storeError(err)
	}
	return s.begin(ctx, posting)
}

// posting is a step that is about to begin.
type posting struct {
	key     stepKey
	spec    api.StepRequest
	content []byte
	record  StepRecord
}

func (s *Service) newPosting(key stepKey, spec api.StepRequest) posting {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("rollout: a specification must encode: %v", err))
	}
	sum := sha256.Sum256(content)
	hash := hex.EncodeToString(sum[:])
	record := StepRecord{
		Owner:        s.config.Node,
		OwnerAddress: s.config.Address,
		Epoch:        1,
		LeaseMS:      s.config.Lease.Milliseconds(),
		Spec:         "spec-" + hash,
		SpecHash:     hash,
		Pool:         spec.Pool,
		Samples:      spec.SampleCount(),
	}
	return posting{key: key, spec: spec, content: content, record: record}
}

// answer answers a Post of a step that exists.
func (p posting) answer(existing StepRecord) (api.StepResponse, *api.Error) {
	if existing.SpecHash == p.record.SpecHash {
		return api.StepResponse{
			Trainer: p.key.trainer, Step: p.key.step, Samples: existing.Samples, Epoch: existing.Epoch, Owner: existing.Owner,
		}, nil
	}
	return api.StepResponse{}, api.Refusal(http.StatusConflict, api.CodeDuplicateStep, 0,
		"step %d of trainer %s exists with another specification: owner %q, epoch %d, %d samples, cursor %d of %d committed, done %t",
		p.key.step, p.key.trainer, existing.Owner, existing.Epoch, existing.Samples, existing.Cursor, existing.Committed, existing.Done)
}

// begin writes a step's specification and row in a task of its own, which goes
// on for createTimeout where the request ends first: a row whose answer was
// lost would otherwise name an owner that does not run the step.
func (s *Service) begin(ctx context.Context, p posting) (api.StepResponse, *api.Error) {
	if !s.beginPosting(p.key) {
		return api.StepResponse{}, openError(p.key)
	}
	type result struct {
		response api.StepResponse
		failure  *api.Error
	}
	results := make(chan result, 1)
	go func() {
		defer s.endPosting(p.key)
		ctx, cancel := context.WithTimeout(s.ctx, createTimeout)
		defer cancel()
		response, failure := s.create(ctx, p)
		results <- result{response, failure}
	}()
	select {
	case done := <-results:
		return done.response, done.failure
	case <-ctx.Done():
		return api.StepResponse{}, openError(p.key)
	}
}

// beginPosting registers a task that creates a step; at most one runs a step.
func (s *Service) beginPosting(key stepKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.posting[key] {
		return false
	}
	s.posting[key] = true
	s.tasks.Add(1)
	return true
}

func (s *Service) endPosting(key stepKey) {
	s.mu.Lock()
	delete(s.posting, key)
	s.mu.Unlock()
	s.tasks.Done()
}

// openError says that the step may yet begin.
func openError(key stepKey) *api.Error {
	failure := api.Refusal(http.StatusServiceUnavailable, api.CodeStoreUnavailable, retryStoreMS,
		"step %d of trainer %s is not known to have begun: post it again", key.step, key.trainer)
	failure.Outcome = api.OutcomeUnknown
	return failure
}

// create writes the specification, then the row, and begins to run the step.
func (s *Service) create(ctx context.Context, p posting) (api.StepResponse, *api.Error) {
	specKey := objectKey(p.key.trainer, p.key.step, p.record.Spec)
	if err := s.store.putObject(ctx, specKey, p.content); err != nil {
		return api.StepResponse{}, openError(p.key)
	}
	sentAt := time.Now()
	written, err := s.store.write(ctx, rowKey(p.key.trainer, p.key.step), p.record, 0)
	if errors.Is(err, errFenced) {
		return s.answerRace(ctx, p)
	}
	if err != nil {
		return api.StepResponse{}, openError(p.key)
	}
	s.forgetOldStep(stepKey{p.key.trainer, p.key.step - keptDoneSteps})
	ledger := NewLedger(s.ledgerConfig(p.spec, p.record.Epoch))
	owned := s.newOwnedStep(p.key, p.spec, ledger, written, sentAt)
	if !s.adopt(owned) {
		owned.end()
	}
	return p.answer(written.StepRecord)
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
		row := rowKey(key.trainer, key.step)
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
func (s *Service) answerRace(ctx context.Context, p posting) (api.StepResponse, *api.Error) {
	existing, err := s.store.read(ctx, rowKey(p.key.trainer, p.key.step))
	if err != nil {
		return api.StepResponse{}, openError(p.key)
	}
	if existing.Spec != p.record.Spec {
		s.store.deleteObjects(ctx, []string{objectKey(p.key.trainer, p.key.step, p.record.Spec)})
	}
	return p.answer(existing.StepRecord)
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

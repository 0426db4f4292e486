package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
	"github.com/sliplift/sliplift/internal/pause"
)

// store makes the platform's calls definite: it repeats what is uncertain or
// rate limited until an answer is definite or the context ends.
type store struct {
	table       storeclient.Table
	objects     storeclient.Objects
	timeout     time.Duration
	ignoreFence bool
}

// errFenced means that another transaction wrote the row in between.
var errFenced = errors.New("rollout: the row was written by another owner")

// storedRecord is a StepRecord with the revision of its row.
type storedRecord struct {
	StepRecord
	revision int64
}

// write replaces the row if its revision is still the given one (zero: if it
// does not exist). It sends the same transaction until its fate is known. The
// error is errFenced, or that of the context, where the fate is open.
func (s store) write(ctx context.Context, key string, record StepRecord, revision int64) (storedRecord, error) {
	record.Transaction = uuid.NewString()
	value, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("rollout: a step record must encode: %v", err))
	}
	for {
		written, err := s.writeOnce(ctx, key, record, value, revision)
		if !s.ignoreFence || !errors.Is(err, errFenced) {
			return written, err
		}
		revision = written.revision
	}
}

func (s store) writeOnce(ctx context.Context, key string, record StepRecord, value []byte, revision int64) (storedRecord, error) {
	transaction := api.Transaction{
		ID:         record.Transaction,
		Conditions: []api.Condition{{Key: key, Revision: revision}},
		Puts:       []api.Put{{Key: key, Value: value}},
	}
	var response api.TransactionResponse
	err := s.repeat(ctx, func(ctx context.Context) error {
		var err error
		response, err = s.table.Commit(ctx, transaction)
		return err
	})
	if err == nil {
		return storedRecord{StepRecord: record, revision: response.Revision}, nil
	}
	if !storeclient.HasCode(err, api.CodeConditionFailed) {
		return storedRecord{}, err
	}
	current, err := s.read(ctx, key)
	switch {
	case storeclient.HasCode(err, api.CodeNotFound):
		return storedRecord{}, errFenced
	case err != nil:
		return storedRecord{}, err
	case current.Transaction != record.Transaction:
		return current, errFenced
	}
	return current, nil
}

// read returns the row, repeating the call until the answer is definite.
func (s store) read(ctx context.Context, key string) (storedRecord, error) {
	var record storedRecord
	err := s.repeat(ctx, func(ctx context.Context) error {
		var err error
		record, err = s.readOnce(ctx, key)
		return err
	})
	return record, err
}

func (s store) readOnce(ctx context.Context, key string) (storedRecord, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return storedRecord{}, err
	}
	record := storedRecord{revision: row.Revision}
	if err := json.Unmarshal(row.Value, &record.StepRecord); err != nil {
		return storedRecord{}, fmt.Errorf("rollout: row %s: %w", key, err)
	}
	return record, nil
}

func (s store) putObject(ctx context.Context, key string, content []byte) error {
	return s.repeat(ctx, func(ctx context.Context) error { return s.objects.PutObject(ctx, key, content) })
}

func (s store) getObject(ctx context.Context, key string, value any) error {
	var content []byte
	err := s.repeat(ctx, func(ctx context.Context) error {
		var err error
		content, err = s.objects.GetObject(ctx, key)
		return err
	})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, value); err != nil {
		return fmt.Errorf("rollout: object %s: %w", key, err)
	}
	return nil
}

// deleteObjects deletes at best effort: each object is tried once.
func (s store) deleteObjects(ctx context.Context, keys []string) {
	for _, key := range keys {
		call, cancel := context.WithTimeout(ctx, s.timeout)
		_ = s.objects.DeleteObject(call, key)
		cancel()
	}
}

// repeat makes a call until its answer is definite.
func (s store) repeat(ctx context.Context, call func(context.Context) error) error {
	backoff := minRetryBackoff
	for {
		attempt, cancel := context.WithTimeout(ctx, s.timeout)
		err := call(attempt)
		cancel()
		if err == nil || definite(err) {
			return err
		}
		delay := max(backoff, retryAfter(err))
		backoff = min(2*backoff, maxRetryBackoff)
		if !pause.For(ctx, delay) {
			return fmt.Errorf("%w (last: %w)", ctx.Err(), err)
		}
	}
}

// definite tells whether an error is a definite answer that repeating does not
// change.
func definite(err error) bool {
	return storeclient.HasCode(err, api.CodeConditionFailed) || storeclient.HasCode(err, api.CodeNotFound)
}

func retryAfter(err error) time.Duration {
	var answer *api.Error
	if !errors.As(err, &answer) {
		return 0
	}
	return api.Milliseconds(answer.RetryAfterMS)
}

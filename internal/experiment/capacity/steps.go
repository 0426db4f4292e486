package capacity

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/pause"
	"github.com/sliplift/sliplift/internal/rollout"
	"github.com/sliplift/sliplift/internal/storeclient"
)

// StepSlope is what a step costs its owner.
type StepSlope struct {
	Samples   int `json:"samples"`
	BodyBytes int `json:"body_bytes"`
	// GenerateMicros is the processor time of a sample from its start until it is
	// committed, without its stream; DeliverMicros that of its pull, encoding and
	// acknowledgement.
	GenerateMicros float64 `json:"generate_us_per_sample"`
	DeliverMicros  float64 `json:"deliver_us_per_sample"`
	// MemoryBytes is a sample's part of the heap when all are committed and none
	// is acknowledged.
	MemoryBytes float64 `json:"memory_bytes_per_sample"`
	// ObjectBytes, RowBytes and PullBytes are written and sent, per sample.
	ObjectBytes float64 `json:"object_bytes_per_sample"`
	RowBytes    float64 `json:"row_bytes_per_sample"`
	PullBytes   float64 `json:"pull_bytes_per_sample"`
	// ObjectWrites and TableCalls are those of the whole step.
	ObjectWrites int64 `json:"object_writes"`
	TableCalls   int64 `json:"table_calls"`
}

// countedObjects is an object store that counts and keeps nothing.
type countedObjects struct{ writes, bytes atomic.Int64 }

// PutObject implements storeclient.Objects.
func (o *countedObjects) PutObject(_ context.Context, _ string, content []byte) error {
	o.writes.Add(1)
	o.bytes.Add(int64(len(content)))
	return nil
}

// GetObject implements storeclient.Objects.
func (o *countedObjects) GetObject(context.Context, string) ([]byte, error) {
	return nil, storeclient.ErrUncertain.Errorf("nothing is kept")
}

// DeleteObject implements storeclient.Objects.
func (o *countedObjects) DeleteObject(context.Context, string) error { return nil }

// countedRows counts the bytes of the rows written.
type countedRows struct {
	storeclient.Table
	calls, bytes atomic.Int64
}

// Commit implements storeclient.Table.
func (r *countedRows) Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error) {
	r.calls.Add(1)
	for _, put := range transaction.Puts {
		r.bytes.Add(int64(len(put.Value)))
	}
	return r.Table.Commit(ctx, transaction)
}

// instantRunner answers each sample at once with a text of its own.
type instantRunner struct{ bodyBytes int }

// Run implements rollout.Runner.
func (r instantRunner) Run(_ context.Context, request rollout.RunRequest) rollout.RunResult {
	tokens := r.bodyBytes / frameTokens
	return rollout.RunResult{
		Outcome: api.OutcomeCompleted, Text: strings.Repeat("x", r.bodyBytes), Tokens: tokens,
		Segments: []api.Segment{{Version: max(1, request.MinVersion), Tokens: tokens, Engine: "sampler-0001"}},
	}
}

func measureSteps(ctx context.Context, cfg Config) ([]StepSlope, error) {
	var slopes []StepSlope
	for _, samples := range cfg.StepSizes {
		slope, err := measureStep(ctx, cfg, samples)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

const (
	stepTrainer      = "trainer"
	samplesPerPrompt = 8
)

// measureStep runs a step in which everything is generated and committed before
// the trainer pulls, which is when its owner holds the most.
func measureStep(ctx context.Context, cfg Config, samples int) (StepSlope, error) {
	objects := &countedObjects{}
	rows := &countedRows{Table: newTable(table.Config{Name: "table"})}
	memoryBefore := memoryInUse()
	service := rollout.NewService(quietLogger(), rollout.Config{
		Node: "owner", Address: "127.0.0.1:7000", Table: rows, Objects: objects, Runner: instantRunner{cfg.BodyBytes},
	})
	defer service.Close()
	began := processTime()
	request := api.StepRequest{Pool: poolName, SamplesPerPrompt: samplesPerPrompt, MaxTokens: cfg.BodyBytes, VersionBound: 4}
	for range samples / samplesPerPrompt {
		request.Prompts = append(request.Prompts, "Draft a listing title for a shed in Cardiff.")
	}
	if _, failure := service.Post(ctx, stepTrainer, 1, request); failure != nil {
		return StepSlope{}, failure
	}
	for service.Steps()[0].Committed < samples {
		if !pause.For(ctx, pollPause) {
			return StepSlope{}, ctx.Err()
		}
	}
	generated := processTime() - began
	slope := StepSlope{Samples: samples, BodyBytes: cfg.BodyBytes, MemoryBytes: (memoryInUse() - memoryBefore) / float64(samples)}
	began = processTime()
	pulled, err := deliver(ctx, service)
	delivered := processTime() - began
	perSample := func(value float64) float64 { return value / float64(samples) }
	slope.GenerateMicros = perSample(microseconds(generated))
	slope.DeliverMicros = perSample(microseconds(delivered))
	slope.PullBytes = perSample(float64(pulled))
	slope.ObjectBytes = perSample(float64(objects.bytes.Load()))
	slope.RowBytes = perSample(float64(rows.bytes.Load()))
	slope.ObjectWrites = objects.writes.Load()
	slope.TableCalls = rows.calls.Load()
	return slope, err
}

// deliver pulls and acknowledges the whole step and returns the bytes of the
// encoded answers.
func deliver(ctx context.Context, service *rollout.Service) (int, error) {
	bytes := 0
	query := rollout.PullQuery{Version: 1, Wait: time.Second}
	for {
		answer, failure := service.Pull(ctx, stepTrainer, 1, query)
		if failure != nil {
			return bytes, failure
		}
		encoded, err := json.Marshal(answer)
		if err != nil {
			return bytes, ErrSetup.Wrap(err)
		}
		bytes += len(encoded)
		query.Cursor = answer.NextCursor
		if _, failure := service.Ack(ctx, stepTrainer, 1, query.Cursor); failure != nil {
			return bytes, failure
		}
		if answer.Done {
			return bytes, nil
		}
	}
}

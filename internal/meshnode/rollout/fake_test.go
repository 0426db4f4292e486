package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	emulated "github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
	"github.com/sliplift/sliplift/internal/pause"
)

// moment names a point of a call at which a fault may strike.
type moment string

const (
	beforeObject moment = "before the object write"
	afterObject  moment = "after the object write"
	beforeCommit moment = "before the commit"
	afterCommit  moment = "after the commit"
)

// fakePlatform is the emulated table, and an object store in memory.
type fakePlatform struct {
	table   *emulated.Service
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
	// limited is how many calls are still answered with rate_limited.
	limited int
	// epochs are those of the rows written, in order.
	epochs       []int64
	objectWrites int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{table: emulated.NewService(emulated.Config{Name: "table"}, fault.NewSet(1)), objects: make(map[string][]byte)}
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// writtenEpochs returns the epochs of the row's writes so far.
func (p *fakePlatform) writtenEpochs() []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.epochs)
}

func (p *fakePlatform) failure() error {
	if p.down {
		return fmt.Errorf("down: %w", storeclient.ErrUncertain)
	}
	if p.limited > 0 {
		p.limited--
		return api.Refusal(http.StatusTooManyRequests, api.CodeRateLimited, 100, "slow down")
	}
	return nil
}

func (p *fakePlatform) commit(transaction api.Transaction) (api.TransactionResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.failure(); err != nil {
		return api.TransactionResponse{}, err
	}
	response, err := p.table.Commit(context.Background(), transaction)
	for _, put := range transaction.Puts {
		var record StepRecord
		if err == nil && json.Unmarshal(put.Value, &record) == nil {
			p.epochs = append(p.epochs, record.Epoch)
		}
	}
	return response, err
}

func (p *fakePlatform) get(key string) (api.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.failure(); err != nil {
		return api.Row{}, err
	}
	return p.table.Get(context.Background(), key)
}

func (p *fakePlatform) object(change func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.failure(); err != nil {
		return err
	}
	return change()
}

// row returns the row of the tests' step, and record what it holds.
func (p *fakePlatform) row() []byte {
	row, _ := p.table.Get(context.Background(), rowKey(testTrainer, testStep))
	return row.Value
}

func (p *fakePlatform) record() (record StepRecord) {
	_ = json.Unmarshal(p.row(), &record)
	return record
}

// connection is one node's way to the platform.
type connection struct {
	*fakePlatform
	mu sync.Mutex
	// stalled, if not nil, holds every call until it is closed.
	stalled chan struct{}
	// strike is called at each moment of a commit or a write of samples; an
	// error is the call's answer. Calls at an "after" moment took effect.
	strike func(moment) error
}

func (c *connection) at(ctx context.Context, m moment, transaction *api.Transaction) error {
	c.mu.Lock()
	stalled, strike := c.stalled, c.strike
	c.mu.Unlock()
	if stalled != nil {
		// A process that is paused does not see its timeouts pass either.
		<-stalled
	}
	if ctx.Err() != nil {
		return errors.Join(storeclient.ErrUncertain, ctx.Err())
	}
	if strike == nil || transaction != nil && !strings.Contains(string(transaction.Puts[0].Value), `"manifests"`) {
		return nil
	}
	return strike(m)
}

func (c *connection) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *connection) Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error) {
	if err := c.at(ctx, beforeCommit, &transaction); err != nil {
		return api.TransactionResponse{}, err
	}
	response, err := c.commit(transaction)
	if err != nil {
		return response, err
	}
	return response, c.at(ctx, afterCommit, &transaction)
}

func (c *connection) Get(_ context.Context, key string) (api.Row, error) { return c.get(key) }

func (c *connection) Scan(context.Context, string, string, int) (api.ScanResponse, error) {
	return api.ScanResponse{}, errors.ErrUnsupported
}

func (c *connection) PutObject(ctx context.Context, key string, content []byte) error {
	if !strings.Contains(key, "spec-") {
		if err := c.at(ctx, beforeObject, nil); err != nil {
			return err
		}
	}
	err := c.object(func() error {
		c.objects[key] = content
		c.objectWrites++
		return nil
	})
	if err != nil || strings.Contains(key, "spec-") {
		return err
	}
	return c.at(ctx, afterObject, nil)
}

func (c *connection) GetObject(_ context.Context, key string) (content []byte, err error) {
	err = c.object(func() error {
		found, ok := c.objects[key]
		if !ok {
			return api.Refusal(http.StatusNotFound, api.CodeNotFound, 0, "no object")
		}
		content = found
		return nil
	})
	return content, err
}

func (c *connection) DeleteObject(_ context.Context, key string) error {
	return c.object(func() error { delete(c.objects, key); return nil })
}

// fakeRunner generates samples with the present version after a delay that
// depends on the prompt's index.
type fakeRunner struct {
	mu       sync.Mutex
	version  int64
	requests []string
	refuse   int
}

// started returns the ids of the requests so far.
func (r *fakeRunner) started() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

func (r *fakeRunner) Run(ctx context.Context, request RunRequest) RunResult {
	r.mu.Lock()
	r.requests = append(r.requests, request.RequestID)
	version := r.version
	refused := r.refuse > 0
	if refused {
		r.refuse--
	}
	length := len(r.requests)%7 + 1
	r.mu.Unlock()
	if refused {
		return RunResult{Outcome: api.OutcomeRefused, Err: api.Refusal(http.StatusServiceUnavailable, api.CodeNoBackend, 200, "none")}
	}
	request.OnSegment(version)
	if !pause.For(ctx, time.Duration(length)*300*time.Millisecond) {
		return RunResult{Outcome: api.OutcomeFailed, Err: api.Refusal(http.StatusServiceUnavailable, api.CodeBackendFailed, 0, "cancelled")}
	}
	return RunResult{Outcome: api.OutcomeCompleted, Text: request.Prompt, Tokens: 1, Segments: []api.Segment{{Version: version, Tokens: 1, Engine: "e1"}}}
}

func (r *fakeRunner) setVersion(version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

const fakeScore = 0.5

// fakeScorer fails every other call.
type fakeScorer struct{ calls atomic.Int64 }

func (s *fakeScorer) Score(context.Context, api.ScoreRequest) (api.ScoreResponse, error) {
	if s.calls.Add(1)%2 == 1 {
		return api.ScoreResponse{}, storeclient.ErrUncertain
	}
	return api.ScoreResponse{Score: fakeScore}, nil
}

package capacity

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/storeclient"
)

// countedTable is the stand-in of the table service, counted. Failed calls are
// refusals for the rate and lost conditions.
type countedTable struct {
	table  storeclient.Table
	calls  atomic.Int64
	failed atomic.Int64
}

func newTable(config table.Config) *countedTable {
	return &countedTable{table: table.NewService(config, fault.NewSet(1))}
}

func (t *countedTable) count(err error) {
	t.calls.Add(1)
	if err != nil {
		t.failed.Add(1)
	}
}

// Commit implements storeclient.Table.
func (t *countedTable) Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error) {
	response, err := t.table.Commit(ctx, transaction)
	t.count(err)
	return response, err
}

// Get implements storeclient.Table.
func (t *countedTable) Get(ctx context.Context, key string) (api.Row, error) {
	row, err := t.table.Get(ctx, key)
	t.count(err)
	return row, err
}

// Scan implements storeclient.Table.
func (t *countedTable) Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error) {
	response, err := t.table.Scan(ctx, prefix, after, limit)
	t.count(err)
	return response, err
}

// countedMachines is the list of machines, none of which is leaving.
type countedMachines struct {
	list  api.MachineList
	reads atomic.Int64
}

// Machines implements machinewatch.Lister.
func (m *countedMachines) Machines(context.Context) (api.MachineList, error) {
	m.reads.Add(1)
	list := m.list
	list.AsOfMS = time.Now().UnixMilli()
	return list, nil
}

// samplers are hollow engines: they answer reports and fenced orders from
// memory, and take LoadTime to load a version.
type samplers struct {
	loadTime  time.Duration
	failShare float64

	mu      sync.Mutex
	random  *rand.Rand
	engines map[string]*sampler
	orders  int
	failed  int
}

type sampler struct {
	report   api.LoadReport
	loadedAt time.Time
	loadEnds time.Time
	fails    bool
}

func newSamplers(config Config, addresses []string) *samplers {
	const seed = 1
	s := &samplers{
		loadTime:  config.LoadTime,
		failShare: config.FailShare,
		random:    rand.New(rand.NewPCG(seed, seed)),
		engines:   make(map[string]*sampler, len(addresses)),
	}
	for _, address := range addresses {
		s.engines[address] = &sampler{report: api.LoadReport{
			Backend: address, Capacity: 64, Version: 1, Role: api.RoleServing, CacheSize: 4096, CacheUsed: 1024,
		}}
	}
	return s
}

// Load implements backend.LoadClient and control.BackendClient.
func (s *samplers) Load(_ context.Context, address string) (api.LoadReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine, ok := s.engines[address]
	if !ok {
		return api.LoadReport{}, storeclient.ErrUncertain.Errorf("no sampler at %s", address)
	}
	now := time.Now()
	engine.advance(now)
	engine.report.AsOfMS = now.UnixMilli()
	return engine.report, nil
}

// Order implements control.BackendClient.
func (s *samplers) Order(_ context.Context, address string, order api.Order) (api.OrderResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine, ok := s.engines[address]
	if !ok {
		return api.OrderResponse{}, storeclient.ErrUncertain.Errorf("no sampler at %s", address)
	}
	now := time.Now()
	engine.advance(now)
	if order.Epoch < engine.report.OrderEpoch {
		return api.OrderResponse{}, api.Refusal(http.StatusConflict, api.CodeFenced, 0, "epoch %d", order.Epoch)
	}
	engine.report.OrderEpoch = order.Epoch
	s.take(engine, order, now)
	return api.OrderResponse{Accepted: true, Epoch: order.Epoch}, nil
}

// take lets an order take effect; it must be called with mu held.
func (s *samplers) take(engine *sampler, order api.Order, now time.Time) {
	s.orders++
	if order.Kind != api.OrderLoadVersion {
		engine.report.Role = order.Role
		return
	}
	engine.report.Loading = order.Version
	engine.report.LoadError = ""
	engine.loadEnds = now.Add(s.loadTime)
	engine.fails = s.random.Float64() < s.failShare
	if engine.fails {
		s.failed++
	}
}

// advance ends a load whose time has passed.
func (e *sampler) advance(now time.Time) {
	if e.report.Loading == 0 || now.Before(e.loadEnds) {
		return
	}
	if e.fails {
		e.report.LoadError = "set to fail"
	} else {
		e.report.Version = e.report.Loading
		e.loadedAt = e.loadEnds
	}
	e.report.Loading = 0
}

// loaded returns how many samplers have the version and when the last of them
// had it.
func (s *samplers) loaded(version int64) (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	count, last := 0, time.Time{}
	for _, engine := range s.engines {
		engine.advance(now)
		if engine.report.Version != version {
			continue
		}
		count++
		if engine.loadedAt.After(last) {
			last = engine.loadedAt
		}
	}
	return count, last
}

func (s *samplers) counts() (orders, failed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders, s.failed
}

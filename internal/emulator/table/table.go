// Package table is the stand-in of the platform's transactional table service.
//
// A Service holds the rows in memory and implements platform.Table directly,
// with the same rate limit and faults as over HTTP. A crash of its server
// breaks connections but loses no row: the real service is durable.
//
// Invariants: a transaction checks all its conditions and does all its writes
// in one step; each one that writes takes the next revision; a refused call has
// written nothing; a call that fails in any other way may have been done.
package table

import (
	"context"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/server"
	"github.com/sliplift/sliplift/internal/emulator/throttle"
)

// Config describes the service.
type Config struct {
	// Name is the target name of the service's faults.
	Name string
	// Address is host:port of its HTTP interface.
	Address string
	// PerSecond is the largest rate of calls; zero means no limit.
	PerSecond float64
	// Burst is the number of calls that may come at once.
	Burst int
}

// DefaultConfig returns a service of 500 calls a second.
func DefaultConfig() Config {
	return Config{Name: "table", Address: "127.0.0.1:0", PerSecond: 500, Burst: 100}
}

const (
	defaultScanLimit = 100
	maximumScanLimit = 1000
)

// Service is the table service. It is safe for concurrent use.
type Service struct {
	name    string
	faults  *fault.Set
	limiter *throttle.Limiter

	mu       sync.Mutex
	revision int64
	rows     map[string]api.Row
	// keys holds the keys of rows in order.
	keys []string
}

// NewService returns an empty table.
func NewService(config Config, faults *fault.Set) *Service {
	return &Service{
		name:    config.Name,
		faults:  faults,
		limiter: throttle.NewLimiter(config.Name, config.PerSecond, config.Burst),
		rows:    map[string]api.Row{},
	}
}

// Commit implements platform.Table.
func (s *Service) Commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error) {
	response, err := s.commit(ctx, transaction)
	return response, server.AsUncertain(err)
}

// Get implements platform.Table.
func (s *Service) Get(ctx context.Context, key string) (api.Row, error) {
	row, err := s.get(ctx, key)
	return row, server.AsUncertain(err)
}

// Scan implements platform.Table.
func (s *Service) Scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error) {
	response, err := s.scan(ctx, prefix, after, limit)
	return response, server.AsUncertain(err)
}

func (s *Service) commit(ctx context.Context, transaction api.Transaction) (api.TransactionResponse, error) {
	if err := s.begin(ctx); err != nil {
		return api.TransactionResponse{}, err
	}
	response, err := s.apply(transaction)
	if err != nil {
		return api.TransactionResponse{}, err
	}
	if err := s.faults.LoseAnswer(s.name); err != nil {
		return api.TransactionResponse{}, err
	}
	return response, nil
}

func (s *Service) begin(ctx context.Context) error {
	if err := s.faults.Before(ctx, s.name); err != nil {
		return err
	}
	return s.limiter.Take()
}

func (s *Service) apply(transaction api.Transaction) (api.TransactionResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range transaction.Conditions {
		if current := s.rows[condition.Key].Revision; current != condition.Revision {
			return api.TransactionResponse{}, api.Refusal(http.StatusConflict, api.CodeConditionFailed, 0,
				"%s: revision is %d and not %d", condition.Key, current, condition.Revision)
		}
	}
	if len(transaction.Puts)+len(transaction.Deletes) > 0 {
		s.revision++
	}
	for _, put := range transaction.Puts {
		s.put(put)
	}
	for _, key := range transaction.Deletes {
		s.remove(key)
	}
	return api.TransactionResponse{Revision: s.revision}, nil
}

func (s *Service) put(put api.Put) {
	if index, exists := slices.BinarySearch(s.keys, put.Key); !exists {
		s.keys = slices.Insert(s.keys, index, put.Key)
	}
	s.rows[put.Key] = api.Row{Key: put.Key, Value: slices.Clone(put.Value), Revision: s.revision}
}

func (s *Service) remove(key string) {
	if index, exists := slices.BinarySearch(s.keys, key); exists {
		s.keys = slices.Delete(s.keys, index, index+1)
		delete(s.rows, key)
	}
}

func (s *Service) get(ctx context.Context, key string) (api.Row, error) {
	if err := s.begin(ctx); err != nil {
		return api.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, exists := s.rows[key]
	if !exists {
		return api.Row{}, api.Refusal(http.StatusNotFound, api.CodeNotFound, 0, "%s: no such row", key)
	}
	row.Value = slices.Clone(row.Value)
	return row, nil
}

func (s *Service) scan(ctx context.Context, prefix, after string, limit int) (api.ScanResponse, error) {
	if err := s.begin(ctx); err != nil {
		return api.ScanResponse{}, err
	}
	if limit <= 0 {
		limit = defaultScanLimit
	}
	limit = min(limit, maximumScanLimit)
	s.mu.Lock()
	defer s.mu.Unlock()
	response := api.ScanResponse{Rows: []api.Row{}, Revision: s.revision}
	first := sort.Search(len(s.keys), func(i int) bool { return s.keys[i] >= prefix && s.keys[i] > after })
	for _, key := range s.keys[first:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(response.Rows) == limit {
			response.More = true
			break
		}
		row := s.rows[key]
		row.Value = slices.Clone(row.Value)
		response.Rows = append(response.Rows, row)
	}
	return response, nil
}

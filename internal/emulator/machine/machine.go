// Package machine is the stand-in of the platform's list of machines. Changes
// show in the list only after a lag. A Service implements platform.Machines
// directly, with the same faults as over HTTP.
package machine

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/emulator/server"
)

// Config describes the list.
type Config struct {
	// Name is the target name of the service's faults.
	Name string
	// Address is host:port of its HTTP interface.
	Address string
	// Lag is the time after which a change shows.
	Lag time.Duration
	// Machines are in the list from the start, without lag.
	Machines []api.Machine
}

// DefaultConfig returns an empty list that lags by 2 s.
func DefaultConfig() Config {
	return Config{Name: "machines", Address: "127.0.0.1:0", Lag: 2 * time.Second}
}

// change is one entry of the list from a moment on.
type change struct {
	visibleAt time.Time
	machine   api.Machine
	removed   bool
}

// Service is the list of machines. It is safe for concurrent use.
type Service struct {
	config Config
	faults *fault.Set

	mu      sync.Mutex
	truth   map[string]api.Machine
	visible map[string]api.Machine
	pending []change
}

// NewService returns a list that holds the configured machines.
func NewService(config Config, faults *fault.Set) *Service {
	s := &Service{config: config, faults: faults, truth: map[string]api.Machine{}, visible: map[string]api.Machine{}}
	for _, machine := range config.Machines {
		s.truth[machine.Name] = machine
		s.visible[machine.Name] = machine
	}
	return s
}

// Put adds or replaces a machine; the list shows it after the lag.
func (s *Service) Put(machine api.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(machine)
}

func (s *Service) put(machine api.Machine) {
	s.truth[machine.Name] = machine
	s.pending = append(s.pending, change{visibleAt: time.Now().Add(s.config.Lag), machine: machine})
}

// SetState changes the state of a machine; the list shows it after the lag. It
// tells whether there is such a machine.
func (s *Service) SetState(name string, state api.MachineState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	machine, exists := s.truth[name]
	if !exists {
		return false
	}
	machine.State = state
	s.put(machine)
	return true
}

// Remove takes a machine off; the list shows it after the lag.
func (s *Service) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := change{visibleAt: time.Now().Add(s.config.Lag), machine: s.truth[name], removed: true}
	delete(s.truth, name)
	s.pending = append(s.pending, removed)
}

// Machines implements platform.Machines.
func (s *Service) Machines(ctx context.Context) (api.MachineList, error) {
	list, err := s.list(ctx)
	return list, server.AsUncertain(err)
}

func (s *Service) list(ctx context.Context) (api.MachineList, error) {
	if err := s.faults.Before(ctx, s.config.Name); err != nil {
		return api.MachineList{}, err
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyPending(now)
	machines := slices.SortedFunc(maps.Values(s.visible), func(a, b api.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return api.MachineList{Machines: machines, AsOfMS: now.Add(-s.config.Lag).UnixMilli()}, nil
}

func (s *Service) applyPending(now time.Time) {
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		next := s.pending[0]
		s.pending = s.pending[1:]
		if next.removed {
			delete(s.visible, next.machine.Name)
		} else {
			s.visible[next.machine.Name] = next.machine
		}
	}
}

// Handler returns the HTTP interface of the list: GET /v1/machines.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, r *http.Request) {
		list, err := s.list(r.Context())
		server.Answer(w, list, err)
	})
	return mux
}

package batch

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// demandWindow is the time since a job was first seen during which it counts as demand.
const demandWindow = 30 * time.Second

// Demand returns the number of tokens that recent jobs request from each model.
func (m *Manager) Demand() map[string]float64 {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := make(map[string]float64)
	for _, state := range m.jobs {
		if state.known && now.Sub(state.firstSeen) < demandWindow {
			demand[state.head.Model] += float64(state.head.ExpectedTokens)
		}
	}
	return demand
}

// Widths returns, for each model, the largest width of a recent job, which is the number of its
// items to run concurrently.
func (m *Manager) Widths() map[string]int {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	widths := make(map[string]int)
	for _, state := range m.jobs {
		if state.known && now.Sub(state.firstSeen) < demandWindow {
			widths[state.head.Model] = max(widths[state.head.Model], state.head.width())
		}
	}
	return widths
}

// Confined returns, for each model, the union of the regions in which its recent jobs may
// run. It omits models with a job that may run in any region.
func (m *Manager) Confined() map[string]place.Regions {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	regions := make(map[string]place.Regions)
	for _, state := range m.jobs {
		if !state.known || now.Sub(state.firstSeen) >= demandWindow {
			continue
		}
		own := m.regionsOf(state.head)
		if before, found := regions[state.head.Model]; found {
			own = own.Union(before)
		}
		regions[state.head.Model] = own
	}
	for model := range regions {
		if regions[model].IsAll() {
			delete(regions, model)
		}
	}
	return regions
}

package batch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// HoldsBodies reports whether rows of a table contain request or response bodies, rather than
// job state alone.
func HoldsBodies(table string) bool {
	return table == TableSpecs || table == TableResults || table == TablePartials
}

// residency holds the properties of a job that, together with the configuration, determine the
// regions in which its data may be kept and its items may run.
type residency struct {
	route, tenant string
	// accepted holds the regions that were allowed when the job was accepted. They apply if
	// the configuration no longer contains the route.
	accepted place.Regions
}

func (h Head) residency() residency {
	return residency{route: h.Route, tenant: h.Tenant, accepted: place.NewRegions(h.Regions...)}
}

// regionsOf returns the regions in which a job is allowed by the current configuration. If
// there is no configuration yet, or it no longer contains the job's route, the job is
// restricted to the regions that were allowed when it was accepted.
func (m *Manager) regionsOf(head Head) place.Regions {
	accepted := place.NewRegions(head.Regions...)
	table := m.config.Routes()
	if table == nil {
		return accepted
	}
	route := table.ByName(head.Route)
	if route == nil {
		return accepted.Intersect(table.RegionsOf(nil, head.Tenant))
	}
	return table.RegionsOf(route, head.Tenant)
}

// allowedHere reports whether this node may keep data of a job with the given head.
func (m *Manager) allowedHere(head Head) bool { return m.regionsOf(head).Has(m.self.Region) }

// within returns a context that restricts calls to the store to the regions of a job.
func (m *Manager) within(ctx context.Context, head Head) context.Context {
	return rowstore.Within(ctx, m.regionsOf(head))
}

// JobRegions returns the regions in which a job is allowed, and whether the job is known.
func (m *Manager) JobRegions(job string) (place.Regions, bool) {
	state, found := m.snapshot(job)
	if !found || !state.known {
		return place.Regions{}, false
	}
	return m.regionsOf(state.head), true
}

// confinements caches the result of routetable.Table.Confinements for the latest table.
type confinements struct {
	last atomic.Pointer[confinementsOf]
}

// confinementsOf is the cached result for one table.
type confinementsOf struct {
	table *routetable.Table
	sets  []place.Regions
}

func (c *confinements) of(table *routetable.Table) []place.Regions {
	if table == nil {
		return nil
	}
	if held := c.last.Load(); held != nil && held.table == table {
		return held.sets
	}
	sets := table.Confinements()
	c.last.Store(&confinementsOf{table: table, sets: sets})
	return sets
}

// IsKeeper reports whether this node is one of those that take over jobs of nodes that are gone.
func (m *Manager) IsKeeper(now time.Time) bool {
	return m.config.Presence.SelfKeepsWithin(m.confinements.of(m.config.Routes()), now)
}

// JobsWaitingForRegion returns the number of unfinished jobs that no node can run at present,
// because there is none in a region in which they are allowed.
func (m *Manager) JobsWaitingForRegion() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, state := range m.jobs {
		if state.waiting && !state.finished() {
			count++
		}
	}
	return count
}

// noteWaiting records whether a job waits for a node in one of its regions. If logChange is set,
// it logs a change; only one node does so for each job. The caller holds m.mu.
func (m *Manager) noteWaiting(state *jobState, regions place.Regions, waiting, logChange bool) {
	if state.waiting == waiting {
		return
	}
	state.waiting = waiting
	if !logChange {
		return
	}
	event, write := eventlog.JobWaits, m.config.Log.Warn
	if !waiting {
		event, write = eventlog.JobWaited, m.config.Log.Info
	}
	write(event, eventlog.Fields{
		eventlog.Job: state.id, eventlog.Owner: state.head.Owner, eventlog.Regions: regions.String(),
		"listed": state.head.Count, "total": state.head.Total,
	})
}

// leaveTimeout is the timeout for handing over a job that is no longer allowed in this region.
// Text that is not stored by then is generated again.
const leaveTimeout = 2 * time.Second

// minLeaveInterval is the minimum time between two hand-overs of a job by this node. Without
// it, two nodes with different versions of the configuration would pass the job back and forth
// as fast as the store responds.
const minLeaveInterval = time.Second

// leaveRegion stops the runs of a job that is no longer allowed in this node's region, hands
// the job over to a node in an allowed region, if there is one, and drops its data from memory.
func (m *Manager) leaveRegion(ctx context.Context, id string) {
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	state, _ := m.snapshot(id)
	m.handOver(bounded, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.state(id)
	current.changingOwner, current.leftAt = false, time.Now()
	regions := m.regionsOf(state.head)
	waits := current.head.Owner == m.self.Name && len(presence.KeepersWithin(m.config.Presence.Proven(time.Now()), regions)) == 0
	m.noteWaiting(current, regions, waits, true)
}

// dropDisallowed drops the specifications and texts of jobs that are not allowed in this region
// from memory. It runs after each change of the configuration; data that is not allowed under
// the current one is never kept.
func (m *Manager) dropDisallowed() {
	m.specs.retain(func(job string) bool {
		state, found := m.snapshot(job)
		return found && (!state.known || m.allowedHere(state.head))
	})
	allowed := make(map[residency]bool)
	m.runner.retainTexts(func(of residency) bool {
		may, known := allowed[of]
		if !known {
			may = m.allowedHere(Head{Route: of.route, Tenant: of.tenant, Regions: of.accepted.Names()})
			allowed[of] = may
		}
		return may
	})
}

// retainTexts drops the kept texts of the residencies for which keep returns false.
func (r *runner) retainTexts(keep func(residency) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept.retain(keep)
}

// retain drops the texts of the residencies for which keep returns false.
func (k *keptTexts) retain(keep func(residency) bool) {
	k.order = slices.DeleteFunc(k.order, func(item string) bool {
		if keep(k.texts[item].residency) {
			return false
		}
		delete(k.texts, item)
		return true
	})
}

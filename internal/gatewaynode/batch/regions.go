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

// HoldsBodies tells whether rows of a table hold what callers sent, or what was made of
// it, and not only how far it is.
func HoldsBodies(table string) bool {
	return table == TableSpecs || table == TableResults || table == TablePartials
}

// kind is what decides in which regions a job may live, beside the configuration.
type kind struct {
	route, tenant string
	// accepted are the regions as of the acceptance: they bind once the route is gone.
	accepted place.Regions
}

func (h Head) kind() kind {
	return kind{route: h.Route, tenant: h.Tenant, accepted: place.NewRegions(h.Regions...)}
}

// regionsOf returns the regions in which a job may live, by the configuration in force.
// Where that no longer has the job's route, or there is none yet, the job stays where it
// could live when it was accepted.
func (m *Manager) regionsOf(head Head) place.Regions {
	accepted := place.NewRegions(head.Regions...)
	table := m.config.Routes()
	if table == nil {
		return accepted
	}
	route := table.ByName(head.Route)
	if route == nil {
		return accepted.And(table.RegionsOf(nil, head.Tenant))
	}
	return table.RegionsOf(route, head.Tenant)
}

// allowedHere tells whether this node may hold what belongs to jobs of a head.
func (m *Manager) allowedHere(head Head) bool { return m.regionsOf(head).Has(m.self.Region) }

// within returns a context for calls to the store about a job.
func (m *Manager) within(ctx context.Context, head Head) context.Context {
	return rowstore.Within(ctx, m.regionsOf(head))
}

// JobRegions returns the regions in which a job may live, and whether the job is known.
func (m *Manager) JobRegions(job string) (place.Regions, bool) {
	state, found := m.snapshot(job)
	if !found || !state.known {
		return place.Regions{}, false
	}
	return m.regionsOf(state.head), true
}

// confinements keeps what routetable.Table.Confinements returned last.
type confinements struct {
	last atomic.Pointer[confinementsOf]
}

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

// Keeps tells whether this node is among those that take jobs over.
func (m *Manager) Keeps(now time.Time) bool {
	return m.config.Presence.SelfKeepsWithin(m.confinements.of(m.config.Routes()), now)
}

// JobsWaiting returns the number of jobs that no node may run now: none stands in a
// region in which they may live.
func (m *Manager) JobsWaiting() int {
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

// noteWaiting records whether a job waits for a node in its regions; tell says whether
// it is this node that says so. The lock is held.
func (m *Manager) noteWaiting(state *jobState, regions place.Regions, waiting, tell bool) {
	if state.waiting == waiting {
		return
	}
	state.waiting = waiting
	if !tell {
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

// leaveMost bounds the handing over of a job that may no longer live here; what was not
// stored by then is made again.
const leaveMost = 2 * time.Second

// leaveRest is the least time between two hand-overs of a job by this node: two nodes that
// know different configurations would else hand it to and fro as fast as the store answers,
// until both know the same.
const leaveRest = time.Second

// leave ends the runs of a job that may no longer live in this node's region, hands the
// job to a node where it may, if there is one, and forgets what it holds of it.
func (m *Manager) leave(ctx context.Context, id string) {
	bounded, cancel := context.WithTimeout(ctx, leaveMost)
	defer cancel()
	state, _ := m.snapshot(id)
	m.handOver(bounded, id)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.state(id)
	now.taking, now.left = false, time.Now()
	regions := m.regionsOf(state.head)
	waits := now.head.Owner == m.self.Name && len(presence.KeepersWithin(m.config.Presence.Proven(time.Now()), regions)) == 0
	m.noteWaiting(now, regions, waits, true)
}

// forget drops what this node holds in memory of jobs that may not live here, once the
// configuration has changed; what may not live here is not put there.
func (m *Manager) forget() {
	m.specs.retain(func(job string) bool {
		state, found := m.snapshot(job)
		return found && (!state.known || m.allowedHere(state.head))
	})
	allowed := make(map[kind]bool)
	m.runner.retainTexts(func(of kind) bool {
		may, known := allowed[of]
		if !known {
			may = m.allowedHere(Head{Route: of.route, Tenant: of.tenant, Regions: of.accepted.Names()})
			allowed[of] = may
		}
		return may
	})
}

// retainTexts drops the kept texts of the kinds of jobs that keep does not want.
func (r *runner) retainTexts(keep func(kind) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept.retain(keep)
}

// retain drops the texts of the kinds of jobs that keep does not want.
func (k *keptTexts) retain(keep func(kind) bool) {
	k.order = slices.DeleteFunc(k.order, func(item string) bool {
		if keep(k.texts[item].of) {
			return false
		}
		delete(k.texts, item)
		return true
	})
}

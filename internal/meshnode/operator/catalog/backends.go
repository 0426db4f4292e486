package catalog

import (
	"slices"
	"strings"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

// sortedPools returns the pools by name.
func sortedPools(state *configlog.State) []configlog.Pool {
	pools := make([]configlog.Pool, 0, len(state.Pools))
	for _, pool := range state.Pools {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b configlog.Pool) int { return strings.Compare(a.Name, b.Name) })
	return pools
}

// loadCells are the cells that come from a load report, or all unknown.
type loadCells struct {
	role, running, waiting, capacity query.Value
	version, loading                 query.Value
	loadError                        query.Value
	age, node                        query.Value
}

func (v view) loadOf(backend string) loadCells {
	report, known := v.reports[backend]
	if !known {
		return loadCells{}
	}
	load := report.Load
	return loadCells{
		role:      query.Text(roleOf(load)),
		running:   query.Int(load.Running),
		waiting:   query.Int(load.Waiting),
		capacity:  query.Int(load.Capacity),
		version:   query.IntOrNone(load.Version),
		loading:   query.IntOrNone(load.Loading),
		loadError: query.TextOrNone(load.LoadError),
		age:       milliseconds(report.AgeMS),
		node:      query.Text(report.Node),
	}
}

// roleLeaving is shown for a back end that reports that it is about to go.
const roleLeaving = "leaving"

func roleOf(load api.LoadReport) string {
	if load.Leaving {
		return roleLeaving
	}
	return string(load.Role)
}

// buildBackends returns what fills the table of the back ends of pools of the
// kind. Only engines have versions.
func buildBackends(kind configlog.PoolKind) func(*query.Table, view) {
	return func(table *query.Table, v view) {
		for _, pool := range sortedPools(v.state) {
			if pool.Kind != kind {
				continue
			}
			for _, backend := range pool.Backends {
				v.appendBackend(table, pool, backend)
			}
		}
		v.noteSilent(table, kind)
	}
}

func (v view) appendBackend(table *query.Table, pool configlog.Pool, backend configlog.Backend) {
	load := v.loadOf(backend.Name)
	cells := []query.Value{
		query.Text(backend.Name), query.Text(pool.Name),
		query.TextOrNone(backend.Zone), query.TextOrNone(backend.Region), query.TextOrNone(backend.Site),
		load.role, load.running, load.waiting, load.capacity,
	}
	if pool.Kind == configlog.PoolEngines {
		cells = append(cells, load.version, load.loading)
	}
	table.Append(append(cells, load.age, query.Bool(v.state.Drained(backend)), load.node, query.Text(backend.Address))...)
}

// noteSilent counts the back ends without a report.
func (v view) noteSilent(table *query.Table, kind configlog.PoolKind) {
	silent := 0
	for _, pool := range v.state.Pools {
		for _, backend := range pool.Backends {
			if _, known := v.reports[backend.Name]; pool.Kind == kind && !known {
				silent++
			}
		}
	}
	if silent > 0 {
		table.Note("%d of the configured %s have no load report at any node that was heard", silent, kind)
	}
}

func buildPools(table *query.Table, v view) {
	for _, pool := range sortedPools(v.state) {
		version, pinned, bound, idle := query.None(), query.None(), query.None(), query.None()
		if pool.Kind == configlog.PoolEngines {
			version = query.IntOrNone(pool.Version)
			pinned = query.IntOrNone(pool.PinnedVersion)
			bound = query.Int(pool.VersionBound)
			idle = query.Number(pool.IdleWeight)
		}
		table.Append(
			query.Text(pool.Name), query.Text(string(pool.Kind)), query.TextOrNone(pool.Model),
			query.Int(len(pool.Backends)), v.serving(pool), version, pinned, bound,
			query.Int(pool.DefaultPriority), query.IntOrNone(pool.MaxInFlight), idle,
		)
	}
}

// serving counts the back ends of a pool that take new work; it is unknown as
// long as one that is not drained has no report.
func (v view) serving(pool configlog.Pool) query.Value {
	count := 0
	for _, backend := range pool.Backends {
		if v.state.Drained(backend) {
			continue
		}
		report, known := v.reports[backend.Name]
		if !known {
			return query.Unknown()
		}
		if report.Load.Role == api.RoleServing && !report.Load.Leaving {
			count++
		}
	}
	return query.Int(count)
}

// States of an engine's weights.
const (
	weightsCurrent = "current"
	weightsLoading = "loading"
	weightsBehind  = "behind"
	weightsFailed  = "failed"
	weightsAhead   = "ahead"
)

func buildVersions(table *query.Table, v view) {
	for _, pool := range sortedPools(v.state) {
		if pool.Kind != configlog.PoolEngines {
			continue
		}
		for _, backend := range pool.Backends {
			load := v.loadOf(backend.Name)
			table.Append(
				query.Text(pool.Name), query.Text(backend.Name), query.IntOrNone(pool.TargetVersion()),
				load.version, load.loading, v.weightsState(pool, backend), load.loadError, load.age, load.node,
			)
		}
	}
	v.noteSilent(table, configlog.PoolEngines)
}

func (v view) weightsState(pool configlog.Pool, backend configlog.Backend) query.Value {
	report, known := v.reports[backend.Name]
	target := pool.TargetVersion()
	switch load := report.Load; {
	case !known:
		return query.Unknown()
	case target == 0:
		return query.None()
	case load.Version == target:
		return query.Text(weightsCurrent)
	case load.Loading != 0:
		return query.Text(weightsLoading)
	case load.LoadError != "":
		return query.Text(weightsFailed)
	case load.Version > target:
		return query.Text(weightsAhead)
	}
	return query.Text(weightsBehind)
}

func buildDrains(table *query.Table, v view) {
	drains := make([]configlog.Drain, 0, len(v.state.Drains))
	for _, drain := range v.state.Drains {
		drains = append(drains, drain)
	}
	slices.SortFunc(drains, func(a, b configlog.Drain) int {
		return strings.Compare(configlog.DrainKey(a.Scope, a.Name), configlog.DrainKey(b.Scope, b.Name))
	})
	for _, drain := range drains {
		count, running := v.coveredBy(drain)
		table.Append(query.Text(string(drain.Scope)), query.Text(drain.Name), query.Int(drain.Revision), count, running)
	}
}

// coveredBy counts the back ends that a drain covers and what still runs there.
func (v view) coveredBy(drain configlog.Drain) (count, running query.Value) {
	if drain.Scope == configlog.DrainNode {
		return query.None(), query.None()
	}
	covered, sum, complete := 0, 0, true
	for _, pool := range v.state.Pools {
		for _, backend := range pool.Backends {
			if !covers(drain, backend) {
				continue
			}
			covered++
			report, known := v.reports[backend.Name]
			sum += report.Load.Running
			complete = complete && known
		}
	}
	if !complete {
		return query.Int(covered), query.Unknown()
	}
	return query.Int(covered), query.Int(sum)
}

func covers(drain configlog.Drain, backend configlog.Backend) bool {
	switch drain.Scope {
	case configlog.DrainEngine:
		return drain.Name == backend.Name
	case configlog.DrainZone:
		return drain.Name == backend.Zone
	case configlog.DrainSite:
		return drain.Name == backend.Site
	}
	return false
}

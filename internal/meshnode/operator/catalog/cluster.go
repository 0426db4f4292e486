package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/query"
)

func buildNodes(table *query.Table, v view) {
	members := slices.SortedFunc(slices.Values(v.members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	for _, member := range members {
		table.Append(
			query.Text(member.Name), query.Text(string(member.State)),
			query.TextOrNone(member.Zone), query.TextOrNone(member.Region), query.TextOrNone(member.Site),
			query.Text(member.Address), knownOrUnknown(member.Incarnation), knownOrUnknown(member.Revision),
			v.heardAgo(member), v.drainedCell(member), query.TextOrNone(member.Source),
		)
	}
	table.Note("states and revisions are as this node last heard them")
}

// knownOrUnknown takes zero for not known.
func knownOrUnknown(number int64) query.Value {
	if number == 0 {
		return query.Unknown()
	}
	return query.Int(number)
}

func (v view) heardAgo(member Member) query.Value {
	if member.LastHeard.IsZero() {
		return query.Unknown()
	}
	return query.Duration(v.now.Sub(member.LastHeard))
}

// drainedCell is unknown before the configuration was read.
func (v view) drainedCell(member Member) query.Value {
	if !v.ready {
		return query.Unknown()
	}
	return query.Bool(v.nodeDrained(member))
}

// nodeDrained tells whether the node takes no new work. Drains of a zone or site
// cover its back ends; the nodes there go on serving the callers beside them.
func (v view) nodeDrained(member Member) bool {
	return v.state.HasDrain(configlog.DrainNode, member.Name)
}

func buildSteps(table *query.Table, v view) {
	slices.SortFunc(v.known.Steps, func(a, b Step) int {
		return cmp.Or(strings.Compare(a.Trainer, b.Trainer), cmp.Compare(a.Step, b.Step))
	})
	for _, step := range v.known.Steps {
		table.Append(
			query.Text(step.Trainer), query.Int(step.Step), query.Text(step.Pool), query.Text(step.State),
			query.Text(step.Owner), query.Int(step.Epoch), query.Int(step.Samples), query.Int(step.Finished),
			query.Int(step.Delivered), query.Int(step.Acknowledged), milliseconds(step.AgeMS),
		)
	}
}

func buildLeases(table *query.Table, v view) {
	slices.SortFunc(v.known.Leases, func(a, b Lease) int { return strings.Compare(a.Shard, b.Shard) })
	for _, lease := range v.known.Leases {
		table.Append(query.Text(lease.Shard), query.Text(lease.Holder), query.Int(lease.Epoch), milliseconds(lease.ExpiresInMS))
	}
	table.Note("a lease is shown as its holder knows it; shards without a holder that was heard are not listed")
}

// buildChanges lists the recent changes, newest first, with the nodes that said
// that they applied them.
func buildChanges(table *query.Table, v view) {
	for _, entry := range slices.Backward(v.entries) {
		confirmed, missing := v.confirmations(entry.Revision)
		table.Append(
			query.Int(entry.Revision), query.Text(entry.Change.ID), query.TextOrNone(entry.Change.Author),
			query.Text(entry.Change.Operation.String()), query.Int(confirmed), query.Int(len(v.members)),
			query.TextOrNone(strings.Join(missing, ", ")),
		)
	}
	table.Note("confirmations are as this node last heard them; SHOW CHANGE 'id' asks every node")
}

func (v view) confirmations(revision int64) (confirmed int, missing []string) {
	for _, member := range v.members {
		if member.Revision >= revision {
			confirmed++
			continue
		}
		missing = append(missing, member.Name)
	}
	slices.Sort(missing)
	return confirmed, missing
}

// Where a setting's value comes from.
const (
	sourceConfiguration = "configuration"
	sourceDefault       = "default"
)

func buildSettings(table *query.Table, v view) {
	for _, key := range slices.Sorted(maps.Keys(v.state.Settings)) {
		table.Append(query.Text(key), query.Text(v.state.Settings[key]), query.Text(sourceConfiguration))
	}
	for _, spec := range v.settings {
		if _, set := v.state.Settings[spec.Key]; !set {
			table.Append(query.Text(spec.Key), query.Text(spec.Default), query.Text(sourceDefault))
		}
	}
}

// place is where nodes and back ends stand.
type place struct {
	region, site, zone string
}

// census counts what stands in a place.
type census struct {
	nodes, alive, engines, applications, drained int
}

func buildRegions(table *query.Table, v view) {
	counts := v.countPlaces()
	places := slices.SortedFunc(maps.Keys(counts), func(a, b place) int {
		return cmp.Or(strings.Compare(a.region, b.region), strings.Compare(a.site, b.site), strings.Compare(a.zone, b.zone))
	})
	for _, at := range places {
		count := counts[at]
		table.Append(
			query.TextOrNone(at.region), query.TextOrNone(at.site), query.TextOrNone(at.zone),
			query.Int(count.nodes), query.Int(count.alive), query.Int(count.engines),
			query.Int(count.applications), query.Int(count.drained),
		)
	}
	table.Note("alive is as this node sees it; drained counts nodes and back ends under a standing drain order")
}

func (v view) countPlaces() map[place]*census {
	counts := map[place]*census{}
	at := func(where place) *census {
		if counts[where] == nil {
			counts[where] = &census{}
		}
		return counts[where]
	}
	for _, member := range v.members {
		count := at(place{member.Region, member.Site, member.Zone})
		count.nodes++
		count.alive += one(member.State == MemberAlive)
		count.drained += one(v.nodeDrained(member))
	}
	for _, pool := range v.state.Pools {
		for _, backend := range pool.Backends {
			count := at(place{backend.Region, backend.Site, backend.Zone})
			count.engines += one(pool.Kind == configlog.PoolEngines)
			count.applications += one(pool.Kind == configlog.PoolApplications)
			count.drained += one(v.state.Drained(backend))
		}
	}
	return counts
}

func one(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

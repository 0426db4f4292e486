package storenode

import (
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
)

// applyOperator takes rows of the operator. Newer rows only: the view drops
// reads that are behind, and a configuration never goes back. Evacuations come first: a
// node that knows a configuration serves.
func (n *Node) applyOperator(rows []rowstore.Row, complete bool) {
	n.applyEvacuations(rows, complete)
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		read, err := n.config.Translator.Operator(row)
		if err != nil {
			n.config.Log.Warn(eventlog.ConfigApplied, eventlog.Fields{"row": row.Key, eventlog.Cause: err.Error(), "outcome": "rejected"})
			continue
		}
		if read.Table != nil && row.Revision > n.tableRevision {
			n.tableRevision = row.Revision
			n.table.Store(read.Table)
			n.config.Log.Info(eventlog.ConfigApplied, eventlog.Fields{
				eventlog.Config: read.Table.Version, "revision": row.Revision, "routes": len(read.Table.Routes),
			})
			n.jobs.Kick()
		}
		if read.Model != "" {
			n.controller.SetNamed(read.Model, read.Version)
		}
	}
}

// applyInstances takes rows that say what there is of back ends, as read reads them. A row
// that names none is no back end, whatever it was before.
func (n *Node) applyInstances(rows []rowstore.Row, complete bool, read func(rowstore.Row) (fleet.Instance, error)) {
	var instances []fleet.Instance
	var removed []string
	first := complete && !n.registryRead
	n.registryRead = n.registryRead || complete
	for _, row := range rows {
		if row.Deleted {
			removed = append(removed, row.Key)
			n.config.Log.Info(eventlog.BackendGone, eventlog.Fields{eventlog.Backend: row.Key, "revision": row.Revision})
			continue
		}
		instance, err := read(row)
		if err != nil {
			n.noteUnreadable(row, err)
			removed = append(removed, row.Key)
			continue
		}
		instance.ColdDuration = max(instance.ColdDuration, n.coldZones.left(instance.Zone, time.Now()))
		if !first {
			n.noteInstance(instance)
		}
		instances = append(instances, instance)
	}
	if first {
		n.noteRegistry(instances)
	}
	if complete {
		n.fleet.Replace(instances)
	} else {
		n.fleet.Update(instances, removed)
	}
	n.quarantine.RegistryChanged()
}

// noteRegistry says in one line what the first whole read of the registry
// brought: at scale a line for each would crowd out those of requests.
func (n *Node) noteRegistry(instances []fleet.Instance) {
	services := make(map[string]int)
	draining, newest := 0, int64(0)
	for _, instance := range instances {
		services[instance.Service]++
		newest = max(newest, instance.Revision)
		if instance.Draining {
			draining++
		}
	}
	n.config.Log.Info(eventlog.RegistryRead, eventlog.Fields{
		eventlog.Count: len(instances), "services": services, "draining": draining, eventlog.Revision: newest,
	})
}

func (n *Node) noteInstance(instance fleet.Instance) {
	now := time.Now()
	held, found := n.fleet.Get(instance.ID, now)
	if instance.ColdDuration > 0 && (!found || instance.Revision > held.Revision && !held.Cold(now)) {
		n.config.Log.Info(eventlog.BackendCold, eventlog.Fields{
			eventlog.Backend: instance.ID, eventlog.Service: instance.Service, "cold_ms": instance.ColdDuration.Milliseconds(), eventlog.Revision: instance.Revision,
		})
	}
	if found && held.Draining == instance.Draining {
		return
	}
	n.config.Log.Info(eventlog.BackendChanged, eventlog.Fields{
		eventlog.Backend: instance.ID, eventlog.Service: instance.Service, "address": instance.Address,
		"draining": instance.Draining, "revision": instance.Revision, "known": found,
	})
}

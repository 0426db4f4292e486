// Package drain decides which back ends take no new work, and which fenced role
// orders make the back ends themselves refuse it.
//
// A back end is leaving for any of three reasons: an operator's standing order,
// the platform's machine list, or the back end's own report. A node stops
// sending work as soon as it learns one of them. A node that has not heard would
// still send; so the holder of the shard's lease also orders the back end to
// role draining, after which the back end refuses new work from everybody while
// it finishes what runs. The order carries the lease's epoch, so a holder that
// lost its lease cannot undo what its successor ordered.
package drain

import (
	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Reason says why a back end takes no new work.
type Reason string

const (
	// ReasonNone means that the back end takes work.
	ReasonNone Reason = ""
	// ReasonOrder is an operator's standing order.
	ReasonOrder Reason = "drain order"
	// ReasonMachineList is the platform's word that the machine leaves.
	ReasonMachineList Reason = "machine list"
	// ReasonOwnReport is the back end's own word.
	ReasonOwnReport Reason = "own report"
)

// Report is what is known of one back end's role.
type Report struct {
	Backend configlog.Backend
	// Role and Leaving are as last reported; Reachable is false where no recent
	// report exists.
	Role      api.Role
	Leaving   bool
	Reachable bool
}

// Why returns the first reason for which the back end takes no new work.
// leaving holds the names that the machine list gives as leaving.
func Why(state *configlog.State, leaving map[string]bool, report Report) Reason {
	switch {
	case state.Drained(report.Backend):
		return ReasonOrder
	case leaving[report.Backend.Name]:
		return ReasonMachineList
	case report.Leaving:
		return ReasonOwnReport
	}
	return ReasonNone
}

// RoleOrder tells the holder of the shard's lease to order a role.
type RoleOrder struct {
	Backend configlog.Backend
	Role    api.Role
	Reason  Reason
}

// Orders returns the role orders that bring the back ends of a shard to the
// roles they should have. Back ends that are not heard from get a draining
// order too, since the order may arrive where the report did not; they are never
// ordered back to serving blindly.
func Orders(state *configlog.State, leaving map[string]bool, reports []Report) []RoleOrder {
	var orders []RoleOrder
	for _, report := range reports {
		reason := Why(state, leaving, report)
		want := wantedRole(reason)
		settled := report.Reachable && report.Role == want
		blind := !report.Reachable && want == api.RoleServing
		if settled || blind {
			continue
		}
		orders = append(orders, RoleOrder{Backend: report.Backend, Role: want, Reason: reason})
	}
	return orders
}

func wantedRole(reason Reason) api.Role {
	if reason == ReasonNone {
		return api.RoleServing
	}
	return api.RoleDraining
}

package roster

import (
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/claim"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// View returns the configuration's list in the form that package claim takes.
// confirmedAt is when the node last knew that no newer configuration was in
// force.
func View(state *configlog.State, confirmedAt time.Time) claim.View {
	view := claim.View{
		Revision:    state.Claims.Revision,
		Members:     claimMembers(state.Claims.Current),
		ConfirmedAt: confirmedAt,
	}
	for _, former := range state.Claims.Former {
		view.Previous = append(view.Previous, claimMembers(former))
	}
	return view
}

func claimMembers(list []configlog.ClaimMember) []claim.Member {
	members := make([]claim.Member, 0, len(list))
	for _, member := range list {
		members = append(members, claim.Member{Name: member.Name, Address: member.Address, Zone: member.Zone})
	}
	return members
}

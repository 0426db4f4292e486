package roster

import (
	"slices"
	"strings"

	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/membership"
)

// Status is what the roster takes from a member's state.
type Status int

const (
	// Alive members answer.
	Alive Status = iota + 1
	// Doubtful members are suspect or unreachable: they may be at work, so they
	// are neither added nor removed.
	Doubtful
	// Gone members are dead or left.
	Gone
)

// Member is a node as the membership sees it.
type Member struct {
	configlog.ClaimMember
	Status Status
}

// Sight is what a node sees of all others, itself included.
type Sight struct {
	// Members is sorted by name.
	Members []Member
	// Unheard counts nodes that are known by name and were never heard.
	Unheard int
	// Cut tells that some region is not reached from here.
	Cut bool
}

// NewSight returns what the snapshot shows.
func NewSight(snapshot *membership.Snapshot) Sight {
	sight := Sight{Unheard: len(snapshot.Unheard)}
	for _, member := range snapshot.Members {
		sight.Members = append(sight.Members, Member{
			ClaimMember: configlog.ClaimMember{Name: member.Name, Address: member.PeerAddress, Zone: member.Zone},
			Status:      statusOf(member.State),
		})
	}
	for _, region := range snapshot.Regions {
		sight.Cut = sight.Cut || region.Unreached
	}
	return sight
}

func statusOf(state membership.State) Status {
	switch state {
	case membership.StateAlive:
		return Alive
	case membership.StateDead, membership.StateLeft:
		return Gone
	default:
		return Doubtful
	}
}

func (s Sight) find(name string) (Member, bool) {
	i, found := slices.BinarySearchFunc(s.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
	if !found {
		return Member{}, false
	}
	return s.Members[i], true
}

package node

import (
	"context"
	"time"

	"github.com/sliplift/sliplift/internal/meshnode/claim"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/lease"
	"github.com/sliplift/sliplift/internal/meshnode/membership"
	"github.com/sliplift/sliplift/internal/meshnode/operator/catalog"
	"github.com/sliplift/sliplift/internal/meshnode/roster"
)

// configMembers gives the configuration log its view of the membership.
type configMembers struct{ membership *membership.Service }

// Alive implements configlog.Members.
func (m configMembers) Alive() []configlog.Member {
	var alive []configlog.Member
	for _, member := range m.membership.Alive() {
		alive = append(alive, configMember(member))
	}
	return alive
}

// Known implements configlog.Members. Members that left do not count, since
// nothing needs to reach them any more.
func (m configMembers) Known() []configlog.Member {
	var known []configlog.Member
	for _, member := range m.membership.Snapshot().Members {
		if member.State != membership.StateLeft {
			known = append(known, configMember(member))
		}
	}
	return known
}

func configMember(member membership.Member) configlog.Member {
	return configlog.Member{Name: member.Name, Address: member.PeerAddress, Region: member.Region}
}

// leaseMembers gives the leases the nodes that may hold them: those alive that
// no operator drains, whose machine does not leave and, for this node, that no
// stop has begun on.
type leaseMembers struct{ node *Node }

// Alive implements lease.Members.
func (m leaseMembers) Alive() []lease.Member {
	state := m.node.configuration.Current()
	var alive []lease.Member
	for _, member := range m.node.membership.Alive() {
		stopping := member.Name == m.node.cfg.Settings.Name && m.node.stop.begun()
		leaving := m.node.machines.Leaving()[member.Name]
		if stopping || leaving || state.HasDrain(configlog.DrainNode, member.Name) {
			continue
		}
		alive = append(alive, lease.Member{Name: member.Name, Zone: member.Zone})
	}
	return alive
}

// catalogMembers returns the nodes as SHOW NODES tells them. Of itself the node
// knows its revision; of others, what they attached to their last heartbeat.
func (n *Node) catalogMembers() []catalog.Member {
	var members []catalog.Member
	for _, member := range n.membership.Snapshot().Members {
		revision := member.Digest
		if member.Name == n.cfg.Settings.Name {
			revision = n.configuration.Current().Revision
		}
		members = append(members, catalog.Member{
			Name:        member.Name,
			Address:     member.PeerAddress,
			Zone:        member.Zone,
			Region:      member.Region,
			Site:        member.Site,
			State:       catalog.MemberState(member.State),
			Source:      member.Source,
			Incarnation: member.Incarnation,
			Revision:    revision,
			LastHeard:   member.HeardAt,
		})
	}
	return members
}

// claimView tells the claims which nodes may be replicas of a key.
type claimView struct{ configuration *configlog.Service }

// View implements claim.ViewSource.
func (v claimView) View() claim.View { return roster.View(v.configuration.Current(), time.Now()) }

// watchMembership stops the node if a later process of its name is heard of.
func (n *Node) watchMembership(ctx context.Context) {
	for {
		changed := n.membership.Changes()
		if later := n.membership.Snapshot().SupersededBy; later != 0 {
			n.fail(ErrSuperseded.Errorf("incarnation %d", later))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

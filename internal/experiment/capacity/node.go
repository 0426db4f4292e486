package capacity

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/backend"
	"github.com/sliplift/sliplift/internal/claim"
	"github.com/sliplift/sliplift/internal/configlog"
	"github.com/sliplift/sliplift/internal/control"
	"github.com/sliplift/sliplift/internal/lease"
	"github.com/sliplift/sliplift/internal/machinewatch"
	"github.com/sliplift/sliplift/internal/membership"
	"github.com/sliplift/sliplift/internal/peer"
	"github.com/sliplift/sliplift/internal/roster"
)

const (
	nodeIncarnation = 1
	claimRetention  = claim.DefaultValidity + claim.DefaultRoundTimeout
)

// hollowNode is the control part of a node.
type hollowNode struct {
	identity   membership.Identity
	transport  *peer.Transport
	membership *membership.Service
	config     *configlog.Service
	leases     *lease.Service
	claims     *claim.Service
	control    *control.Controller
	machines   *machinewatch.Watcher
	roster     *roster.Service
	backends   *backend.Set

	// watchPolls and holderPolls count reports of back ends, by who asked.
	watchPolls, holderPolls atomic.Int64

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// nodeWorld is what all hollow nodes of a cluster share.
type nodeWorld struct {
	lg       logrus.FieldLogger
	table    *countedTable
	samplers *samplers
	seeds    []membership.Seed
	limits   peer.Limits
	machines *countedMachines
	applied  *appliedTimes
}

// countedSamplers counts the reports that one part of a node reads.
type countedSamplers struct {
	*samplers
	polls *atomic.Int64
}

// Load implements backend.LoadClient and control.BackendClient.
func (c countedSamplers) Load(ctx context.Context, address string) (api.LoadReport, error) {
	c.polls.Add(1)
	return c.samplers.Load(ctx, address)
}

func newHollowNode(world nodeWorld, identity membership.Identity, listener net.Listener) *hollowNode {
	n := &hollowNode{identity: identity}
	lg := world.lg
	n.transport = peer.NewTransport(lg, peer.Config{Node: identity.Name, Incarnation: identity.Incarnation, Listener: listener, Limits: world.limits})
	n.membership = membership.NewService(lg, membership.ServiceConfig{
		Self:  identity,
		Seeds: world.seeds,
		OnDigest: func(from membership.Member, digest int64) {
			n.config.OnPeerRevision(from.Name, from.PeerAddress, digest)
		},
	}, n.transport)
	n.config = configlog.NewService(lg, configlog.Config{
		Node: identity.Name, Address: identity.PeerAddress,
		Table: world.table, Peers: n.transport, Registry: n.transport,
		Members: configMembers{n.membership}, SetDigest: n.membership.SetDigest,
		Sink: world.applied,
	})
	n.leases = lease.NewService(lg, lease.Config{Node: identity.Name, Table: world.table, Members: leaseMembers{n.membership}})
	n.claims = claim.NewService(lg, claim.Config{Self: identity.Name, Incarnation: identity.Incarnation},
		n.transport, n.transport, claimView{n.config}, claim.NewTableRegistrar(world.table))
	n.machines = machinewatch.NewWatcher(lg, machinewatch.Config{
		Node: identity.Name, Machines: world.machines,
		Peers: n.transport, Registry: n.transport, Members: configMembers{n.membership},
	}, func(leaving []string) { n.backends.SetLeaving(leaving) })
	n.roster = roster.NewService(lg, roster.Config{
		Node: identity.Name, Rules: roster.Rules{GroupSize: claim.DefaultGroupSize, Window: claimRetention},
	}, n.leases, n.config, n.membership)
	n.control = control.NewController(control.DefaultConfig(identity.Name), lg, n.leases, n.config,
		countedSamplers{world.samplers, &n.holderPolls}, n.machines)
	n.backends = backend.NewSet(lg, backend.DefaultConfig(identity.Name, identity.Zone, identity.Region),
		countedSamplers{world.samplers, &n.watchPolls})
	return n
}

func (n *hollowNode) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.transport.Start()
	n.membership.Start()
	n.running.Go(func() { n.config.Run(ctx) })
	n.running.Go(func() { n.leases.Run(ctx) })
	n.running.Go(func() { n.claims.Run(ctx) })
	n.running.Go(func() { n.machines.Run(ctx) })
	n.running.Go(func() { n.control.Run(ctx) })
	n.running.Go(func() { n.roster.Run(ctx) })
	n.running.Go(func() { n.follow(ctx) })
}

// follow brings the other services in line with each configuration.
func (n *hollowNode) follow(ctx context.Context) {
	changed, end := n.config.Subscribe()
	defer end()
	for {
		state := n.config.Current()
		n.leases.SetShards(leaseShards(state))
		n.backends.Apply(state)
		n.control.Wake()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// leaseShards are the shards of all pools, and the lease under which one node
// keeps the list of claim members.
func leaseShards(state *configlog.State) []lease.Shard {
	shards := []lease.Shard{{Name: roster.LeaseShard}}
	for _, shard := range control.Shards(state) {
		shards = append(shards, lease.Shard{Name: shard.Name, Zone: shard.Zone()})
	}
	return shards
}

// kill ends the node without a word to others.
func (n *hollowNode) kill() error {
	n.membership.Close()
	err := n.transport.Close()
	n.cancel()
	n.backends.Close()
	n.running.Wait()
	n.claims.Close()
	return errs.Wrap(err)
}

// holds counts the shards that this node may give orders to.
func (n *hollowNode) holds() []string {
	var held []string
	for _, status := range n.leases.Leases() {
		if status.Acting {
			held = append(held, status.Shard)
		}
	}
	return held
}

// configMembers adapts the membership for package configlog.
type configMembers struct{ service *membership.Service }

// Alive implements configlog.Members.
func (m configMembers) Alive() []configlog.Member {
	return m.where(func(s membership.State) bool { return s == membership.StateAlive })
}

// Known implements configlog.Members.
func (m configMembers) Known() []configlog.Member {
	return m.where(func(s membership.State) bool { return s != membership.StateLeft })
}

func (m configMembers) where(wanted func(membership.State) bool) []configlog.Member {
	var members []configlog.Member
	for _, member := range m.service.Snapshot().Members {
		if wanted(member.State) {
			members = append(members, configlog.Member{Name: member.Name, Address: member.PeerAddress, Region: member.Region})
		}
	}
	return members
}

// leaseMembers adapts the membership for package lease.
type leaseMembers struct{ service *membership.Service }

// Alive implements lease.Members.
func (m leaseMembers) Alive() []lease.Member {
	var members []lease.Member
	for _, member := range m.service.Alive() {
		members = append(members, lease.Member{Name: member.Name, Zone: member.Zone})
	}
	return members
}

// claimView takes the replicas of idempotency keys from the configuration.
type claimView struct{ service *configlog.Service }

// View implements claim.ViewSource.
func (v claimView) View() claim.View {
	claims := v.service.Current().Claims
	view := claim.View{Revision: claims.Revision, ConfirmedAt: time.Now()}
	for _, member := range claims.Current {
		view.Members = append(view.Members, claim.Member(member))
	}
	return view
}

package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/configlog"
	"github.com/sliplift/sliplift/internal/emulator/table"
	"github.com/sliplift/sliplift/internal/membership"
	"github.com/sliplift/sliplift/internal/pause"
	"github.com/sliplift/sliplift/internal/peer"
)

// Errors of a run.
const (
	ErrNotFormed = errs.Tag("capacity: the cluster did not form in time")
	ErrSetup     = errs.Tag("capacity: setup")
)

const (
	poolName  = "language"
	seedCount = 3
	// usableFiles is the share of the limit of open files that a run may need.
	usableFiles = 0.85
	pollPause   = 50 * time.Millisecond
	firstWeight = 1
	// quietChanges follow the large changes of the setup, so that pushes, which
	// carry the newest entries, no longer carry those.
	quietChanges = 4
)

// cluster is a set of hollow nodes on one table.
type cluster struct {
	cfg   Config
	world nodeWorld
	nodes []*hollowNode
	// shards counts the leases: those of the pool and that of the claim members.
	shards  int
	formed  time.Duration
	changes int
}

func quietLogger() logrus.FieldLogger {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	lg.SetLevel(logrus.PanicLevel)
	return lg
}

func nodeName(index int) string { return fmt.Sprintf("node-%03d", index) }

func zoneOf(index int) string { return fmt.Sprintf("z%d", index%targetZones) }

func regionOf(index int) string { return fmt.Sprintf("r%d", index%targetZones%targetRegions) }

// samplerBackends returns the back ends of the pool.
func samplerBackends(count int) []configlog.Backend {
	backends := make([]configlog.Backend, count)
	for i := range backends {
		backends[i] = configlog.Backend{
			Name:    fmt.Sprintf("sampler-%04d", i),
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, 1+i%250),
			Zone:    zoneOf(i), Region: regionOf(i), Site: "site-1",
		}
	}
	return backends
}

// newCluster starts size nodes and returns once they know one another, have the
// configuration, and hold all leases.
func newCluster(ctx context.Context, cfg Config, size int) (*cluster, error) {
	backends := samplerBackends(cfg.Samplers)
	var addresses []string
	for _, backend := range backends {
		addresses = append(addresses, backend.Address)
	}
	listeners, identities, err := listenAll(size)
	if err != nil {
		return nil, err
	}
	c := &cluster{cfg: cfg, world: nodeWorld{
		lg: quietLogger(), table: newTable(table.DefaultConfig()),
		samplers: newSamplers(cfg, addresses), applied: newAppliedTimes(),
		limits:   limitsFor(size),
		machines: &countedMachines{list: machineList(targetMachines)},
	}}
	for _, identity := range identities[:min(seedCount, size)] {
		c.world.seeds = append(c.world.seeds, membership.Seed{Name: identity.Name, Address: identity.PeerAddress})
	}
	state, err := c.configure(ctx, backends)
	if err != nil {
		return nil, err
	}
	c.shards = len(leaseShards(state))
	c.startAll(ctx, identities, listeners)
	began := time.Now()
	if !c.waitFor(ctx, c.isFormed) {
		return nil, errs.Combine(ErrNotFormed.Errorf("%d nodes, %s", size, cfg.PhaseTimeout), c.close())
	}
	c.formed = time.Since(began)
	return c, c.nameClaimMembers(ctx, identities)
}

// nameClaimMembers makes all nodes replicas of idempotency keys. It comes after
// the start because a node that starts asks all members for what was handed over
// to it, and this process has too few file descriptors for all to do so at once.
func (c *cluster) nameClaimMembers(ctx context.Context, identities []membership.Identity) error {
	operations := []configlog.Operation{{SetClaimMembers: &configlog.SetClaimMembers{Current: claimMembers(identities)}}}
	for i := range quietChanges {
		operations = append(operations, probeOperation(i))
	}
	for _, operation := range operations {
		result := c.nodes[0].config.Submit(ctx, configlog.NewChange("setup", operation))
		if result.Outcome != configlog.OutcomeAccepted {
			return errs.Combine(ErrSetup.Errorf("%s: %s", operation, result.Message), c.close())
		}
		pause.For(ctx, c.cfg.Settle/quietChanges/2)
	}
	return nil
}

// startAll starts the nodes a few at a time: all at once, their introductions to
// one another would need more connections than this process has files.
func (c *cluster) startAll(ctx context.Context, identities []membership.Identity, listeners []net.Listener) {
	const (
		atOnce    = 10
		startWait = 500 * time.Millisecond
	)
	for i, identity := range identities {
		if i > 0 && i%atOnce == 0 {
			pause.For(ctx, startWait)
		}
		node := newHollowNode(c.world, identity, listeners[i])
		node.start()
		c.nodes = append(c.nodes, node)
	}
}

// connectionsEstimate is how many connections a node has open at most while
// the news of a start spreads, with the transport's own idle timeout.
const connectionsEstimate = 140

// limitsFor shortens the idle timeout of connections where this process would
// run out of file descriptors. Where there are that many nodes, a connection is
// seldom used again, so this costs few more dials.
func limitsFor(nodes int) peer.Limits {
	limits := peer.DefaultLimits()
	needed := float64(nodes * connectionsEstimate)
	if usable := usableFiles * float64(fileLimit()); needed > usable {
		limits.IdleTimeout = time.Duration(float64(limits.IdleTimeout) * usable / needed / 2)
	}
	return limits
}

func listenAll(size int) ([]net.Listener, []membership.Identity, error) {
	var listeners []net.Listener
	var identities []membership.Identity
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, ErrSetup.Wrap(err)
		}
		listeners = append(listeners, listener)
		identities = append(identities, membership.Identity{
			Name: nodeName(i), Incarnation: nodeIncarnation, PeerAddress: listener.Addr().String(),
			Zone: zoneOf(i), Region: regionOf(i), Site: "site-1",
		})
	}
	return listeners, identities, nil
}

// configure writes the configuration before the first node starts.
func (c *cluster) configure(ctx context.Context, backends []configlog.Backend) (*configlog.State, error) {
	pool := configlog.Pool{Name: poolName, Kind: configlog.PoolEngines, VersionBound: 4, Backends: backends}
	operations := []configlog.Operation{
		{CreatePool: &configlog.CreatePool{Pool: pool}},
		{PublishVersion: &configlog.PublishVersion{Pool: poolName, Version: firstWeight}},
	}
	for i := range quietChanges {
		operations = append(operations, probeOperation(i))
	}
	store := configlog.NewStore(c.world.table, 1, configlog.Faults{})
	log := configlog.NewLog()
	for _, operation := range operations {
		var result configlog.Result
		result, log = store.Submit(ctx, log, configlog.NewChange("setup", operation))
		if result.Outcome != configlog.OutcomeAccepted {
			return nil, ErrSetup.Errorf("%s: %s", operation, result.Message)
		}
	}
	return log.State(), nil
}

func claimMembers(identities []membership.Identity) []configlog.ClaimMember {
	var members []configlog.ClaimMember
	for _, identity := range identities {
		members = append(members, configlog.ClaimMember{Name: identity.Name, Address: identity.PeerAddress, Zone: identity.Zone})
	}
	return members
}

// probeOperation returns a small change: one setting.
func probeOperation(number int) configlog.Operation {
	return configlog.Operation{SetSetting: &configlog.SetSetting{Name: "capacity.probe", Value: fmt.Sprintf("%06d", number)}}
}

func (c *cluster) isFormed() bool {
	held := 0
	for _, node := range c.nodes {
		if len(node.membership.Alive()) != len(c.nodes) || !node.config.Ready() {
			return false
		}
		held += len(node.holds())
	}
	return held == c.shards
}

// waitFor waits until done says so, at most PhaseTimeout.
func (c *cluster) waitFor(ctx context.Context, done func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.PhaseTimeout)
	defer cancel()
	for !done() {
		if !pause.For(ctx, pollPause) {
			return false
		}
	}
	return true
}

// close ends all nodes.
func (c *cluster) close() error {
	failures := make([]error, len(c.nodes))
	var group sync.WaitGroup
	for i, node := range c.nodes {
		group.Go(func() { failures[i] = node.kill() })
	}
	group.Wait()
	c.nodes = nil
	return errs.Combine(failures...)
}

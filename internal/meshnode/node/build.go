package node

import (
	"net/http"

	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/claim"
	claimdispatcher "github.com/sliplift/sliplift/internal/meshnode/claim/dispatcher"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/control"
	"github.com/sliplift/sliplift/internal/meshnode/dispatch"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/gateway"
	"github.com/sliplift/sliplift/internal/meshnode/lease"
	"github.com/sliplift/sliplift/internal/meshnode/machinewatch"
	"github.com/sliplift/sliplift/internal/meshnode/membership"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/operator/catalog"
	"github.com/sliplift/sliplift/internal/meshnode/peer"
	"github.com/sliplift/sliplift/internal/meshnode/query"
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
	"github.com/sliplift/sliplift/internal/meshnode/roster"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// buildCluster makes what nodes tell each other: transport, membership,
// configuration and claims.
func (n *Node) buildCluster() {
	cfg := n.cfg.Settings
	n.httpTransport = engine.NewTransport(n.cfg.Dial)
	n.platform = storeclient.NewClient(&http.Client{Transport: n.httpTransport}, n.cfg.platformAddresses())
	n.transport = peer.NewTransport(n.log, peer.Config{
		Node:        cfg.Name,
		Incarnation: n.cfg.Incarnation,
		Address:     cfg.PeerAdvertised(),
		Listener:    n.cfg.PeerListener,
		Dial:        peer.DialFunc(n.cfg.Dial),
		Limits:      peer.DefaultLimits(),
	})
	n.registry.MustRegister(n.transport)
	n.membership = membership.NewService(n.log, n.membershipConfig(), n.transport)
	n.configuration = configlog.NewService(n.log, configlog.Config{
		Node:         cfg.Name,
		Address:      cfg.PeerAdvertised(),
		Table:        n.platform,
		Peers:        n.transport,
		Registry:     n.transport,
		Members:      configMembers{n.membership},
		Sink:         n.cfg.Sink,
		SetDigest:    n.membership.SetDigest,
		PollInterval: cfg.ConfigPollInterval,
		Faults:       n.cfg.Faults.Configlog,
	})
	registrar := claim.NewTableRegistrar(n.platform)
	n.claims = claim.NewService(n.log, n.claimConfig(), n.transport, n.transport, claimView{n.configuration}, registrar)
}

func (n *Node) claimConfig() claim.Config {
	return claim.Config{
		Self:         n.cfg.Settings.Name,
		Incarnation:  n.cfg.Incarnation,
		Validity:     n.cfg.Settings.ClaimValidity,
		RoundTimeout: claim.DefaultRoundTimeout,
		GroupSize:    n.cfg.Settings.ClaimReplicas,
		Faults:       n.cfg.Faults.Claim,
	}
}

func (n *Node) membershipConfig() membership.ServiceConfig {
	cfg := n.cfg.Settings
	protocol := membership.DefaultConfig()
	protocol.Period = cfg.HeartbeatInterval
	var seeds []membership.Seed
	for _, seed := range cfg.Seeds {
		seeds = append(seeds, membership.Seed{Name: seed.Name, Address: seed.Address})
	}
	return membership.ServiceConfig{
		Self: membership.Identity{
			Name:            cfg.Name,
			Incarnation:     n.cfg.Incarnation,
			PeerAddress:     cfg.PeerAdvertised(),
			CallerAddress:   cfg.CallerAdvertised(),
			OperatorAddress: cfg.OperatorAdvertised(),
			Zone:            cfg.Zone,
			Region:          cfg.Region,
			Site:            cfg.Site,
		},
		Protocol: protocol,
		Seeds:    seeds,
		OnDigest: func(from membership.Member, digest int64) {
			n.configuration.OnPeerRevision(from.Name, from.PeerAddress, digest)
		},
	}
}

// buildControl makes what the holder of a lease does.
func (n *Node) buildControl() {
	cfg := n.cfg.Settings
	n.engines = engine.NewClient(&http.Client{Transport: n.httpTransport}).WithFaults(n.engineFaults())
	n.leases = lease.NewService(n.log, lease.Config{
		Node:     cfg.Name,
		Table:    n.platform,
		Members:  leaseMembers{n},
		Duration: cfg.LeaseDuration,
		Faults:   n.cfg.Faults.Lease,
	})
	n.machines = machinewatch.NewWatcher(n.log, machinewatch.Config{
		Node:     cfg.Name,
		Machines: n.platform,
		Interval: cfg.MachinesPollInterval,
		Peers:    n.transport,
		Registry: n.transport,
		Members:  configMembers{n.membership},
	}, n.onLeaving)
	claims := n.claimConfig()
	rules := roster.Rules{GroupSize: claims.GroupSize, Window: claims.Retention()}
	n.roster = roster.NewService(n.log, roster.Config{Node: cfg.Name, Rules: rules}, n.leases, n.configuration, n.membership)
	n.controller = control.NewController(control.DefaultConfig(cfg.Name), n.log, n.leases, visibleConfiguration{n}, n.engines, visibleMachines{n})
}

func (n *Node) engineFaults() engine.Faults {
	faults := n.cfg.Faults.Engine
	faults.HideLeaving = faults.HideLeaving || n.cfg.Faults.IgnoreDrains
	return faults
}

// onLeaving takes the names that the machine list shows as leaving.
func (n *Node) onLeaving(leaving []string) {
	if n.cfg.Faults.IgnoreDrains {
		return
	}
	n.backends.SetLeaving(leaving)
	n.controller.Wake()
}

// buildDataPath makes what serves requests and steps.
func (n *Node) buildDataPath() error {
	cfg := n.cfg.Settings
	backends := backend.DefaultConfig(cfg.Name, cfg.Zone, cfg.Region)
	backends.PollInterval = cfg.LoadPollInterval
	n.backends = backend.NewSet(n.log, backends, n.engines)
	dispatching := dispatch.DefaultConfig(cfg.Name, cfg.Zone)
	dispatching.Policy = routing.PolicyName(cfg.RoutingPolicy)
	dispatching.Seed = n.cfg.Incarnation
	dispatching.RetryRatio = cfg.RetryBudgetShare
	dispatching.HedgeDelay = cfg.HedgeDelay
	dispatching.CallerLimit = cfg.CallerLimit
	dispatching.Faults = n.cfg.Faults.Dispatch
	dispatcher, err := dispatch.NewDispatcher(n.log, dispatching, n.engines, n.backends, claimdispatcher.NewClaimer(n.claims))
	if err != nil {
		return err
	}
	n.dispatcher = dispatcher
	n.rollouts = rollout.NewService(n.log, rollout.Config{
		Node:    cfg.Name,
		Address: cfg.CallerAdvertised(),
		Table:   n.platform,
		Objects: n.platform,
		Runner:  n.sampleRunner(),
		Scorer:  n.platform,
		GroupOf: routing.PrefixHash,
		Lease:   cfg.LeaseDuration,
		Faults:  n.cfg.Faults.Rollout,
	})
	return nil
}

// buildPorts makes the servers of the caller and operator ports.
func (n *Node) buildPorts() {
	cfg := n.cfg.Settings
	n.gateway = gateway.NewServer(n.log, gateway.Config{
		BodyLimit:     cfg.RequestBodyLimit,
		MaxDeadline:   cfg.MaxDeadline,
		InFlightLimit: cfg.InFlightLimit,
	}, gateway.Services{
		Live:      n.dispatcher,
		Steps:     stepService{rollouts: n.rollouts, configuration: n.configuration},
		Pools:     n.backends,
		Readiness: n,
	}, n.registry)
	n.catalog = catalog.NewCatalog(n.log, catalog.Config{Node: cfg.Name, Settings: settingSpecs()}, n.sources(), n.transport)
	n.catalog.Register(n.transport)
	executor := query.NewExecutor(n.log, query.Config{Node: cfg.Name, Settings: settingSpecs()}, n.catalog, n.configuration)
	n.operator = operator.NewServer(n.log, operator.ServerConfig{
		Node:     cfg.Name,
		Executor: executor,
		Status:   n.status,
		Metrics:  n.metrics(),
	})
}

package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/backend"
	"github.com/sliplift/sliplift/internal/meshnode/claim"
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
	"github.com/sliplift/sliplift/internal/meshnode/rollout"
	"github.com/sliplift/sliplift/internal/meshnode/roster"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
	"github.com/sliplift/sliplift/internal/telemetry"
)

// ErrSuperseded is why a node stops that learns of a later process of its name.
const ErrSuperseded = errs.Tag("node: superseded by a later process of the same name")

// Node is one running node. New makes it, Start starts it, and exactly one of
// Stop and Kill ends it.
type Node struct {
	cfg      Config
	log      logrus.FieldLogger
	registry *prometheus.Registry

	httpTransport *http.Transport
	platform      *storeclient.Client
	transport     *peer.Transport
	membership    *membership.Service
	configuration *configlog.Service
	claims        *claim.Service
	engines       *engine.Client
	backends      *backend.Set
	dispatcher    *dispatch.Dispatcher
	rollouts      *rollout.Service
	leases        *lease.Service
	machines      *machinewatch.Watcher
	controller    *control.Controller
	roster        *roster.Service
	catalog       *catalog.Catalog
	gateway       *gateway.Server
	operator      *operator.Server

	// run ends the loops; running counts them.
	run       context.Context
	cancelRun context.CancelFunc
	running   sync.WaitGroup
	failed    chan error
	stop      stopFlag
}

// New wires a node's parts. It opens nothing and starts nothing but what the
// parts start by themselves.
func New(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	n := &Node{cfg: cfg, log: cfg.Log, registry: telemetry.NewRegistry(), failed: make(chan error, 1)}
	n.run, n.cancelRun = context.WithCancel(context.Background())
	n.buildCluster()
	n.buildControl()
	if err := n.buildDataPath(); err != nil {
		n.cancelRun()
		return nil, err
	}
	n.buildPorts()
	n.registerMetrics()
	return n, nil
}

// Start opens the ports and starts the loops.
func (n *Node) Start() {
	n.record(history.Event{Kind: history.KindNodeStarted})
	n.transport.Start()
	n.membership.Start()
	n.loop(n.configuration.Run)
	n.loop(n.claims.Run)
	n.loop(n.leases.Run)
	n.loop(n.machines.Run)
	n.loop(n.controller.Run)
	n.loop(n.roster.Run)
	n.loop(n.followConfiguration)
	n.loop(n.watchReadiness)
	n.loop(n.watchMembership)
	n.serve("caller", func() error { return n.gateway.Serve(n.cfg.CallerListener) })
	n.serve("operator", func() error { return n.operator.Serve(n.cfg.OperatorListener) })
	n.log.WithFields(logrus.Fields{
		"caller_address":   n.cfg.CallerListener.Addr().String(),
		"operator_address": n.cfg.OperatorListener.Addr().String(),
		"peer_address":     n.cfg.PeerListener.Addr().String(),
		"incarnation":      n.cfg.Incarnation,
	}).Info("node started")
}

// Failed delivers the reason why the node cannot go on, at most once. The
// process should then stop it.
func (n *Node) Failed() <-chan error { return n.failed }

func (n *Node) loop(run func(context.Context)) {
	n.running.Go(func() { run(n.run) })
}

func (n *Node) serve(port string, serve func() error) {
	n.running.Go(func() {
		if err := serve(); err != nil && n.run.Err() == nil {
			n.fail(errs.Errorf("%s port: %w", port, err))
		}
	})
}

func (n *Node) fail(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

func (n *Node) record(event history.Event) {
	event.Process = n.cfg.Settings.Name
	n.cfg.Sink.Record(event)
}

func (n *Node) metrics() http.Handler {
	return promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})
}

// Ready returns nil, or why the node does not take requests.
func (n *Node) Ready() error {
	switch {
	case n.stop.begun():
		return errNotReady.Errorf("the node is stopping")
	case !n.configuration.Ready():
		return errNotReady.Errorf("the newest configuration is not known yet")
	case n.configuration.Current().HasDrain(configlog.DrainNode, n.cfg.Settings.Name):
		return errNotReady.Errorf("the node is drained by an operator")
	}
	return nil
}

const errNotReady = errs.Tag("node: not ready")

// readinessPoll is the time between two looks at whether the node became ready.
const readinessPoll = 20 * time.Millisecond

// watchReadiness records the moment from which the node takes requests.
func (n *Node) watchReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessPoll)
	defer ticker.Stop()
	for n.Ready() != nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	revision := n.configuration.Current().Revision
	n.record(history.Event{Kind: history.KindNodeReady, Revision: revision})
	n.log.WithField("revision", revision).Info("node ready")
}

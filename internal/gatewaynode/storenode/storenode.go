// Package storenode is a node of sliplift whose lasting state is all in a row
// store: it passes live requests on, keeps batch jobs, moves back ends to named
// weights and tells callers where to connect. Every node is alike.
//
// The node composes the packages that do the work; it decides only what is of
// the node as a whole: whether it is ready, whether it may deny a route, and the
// order of a planned stop.
package storenode

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/batch"
	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/digest"
	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/evacuation"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/forward"
	"github.com/sliplift/sliplift/internal/gatewaynode/metering"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/quarantine"
	"github.com/sliplift/sliplift/internal/gatewaynode/reach"
	"github.com/sliplift/sliplift/internal/gatewaynode/relay"
	"github.com/sliplift/sliplift/internal/gatewaynode/reload"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
	"github.com/sliplift/sliplift/internal/pause"
)

// OperatorRow is what a row of the operator says: a configuration, or the
// newest version of a model, or that a zone is evacuated, or nothing known.
type OperatorRow struct {
	Table   *routetable.Table
	Model   string
	Version int64
	// Evacuated is the zone that is evacuated while the row is there.
	Evacuated string
}

// Translator reads rows that others write.
type Translator interface {
	// Operator reads a row of the operator's table; of a removed one, what its key says.
	Operator(row rowstore.Row) (OperatorRow, error)
	// Instance reads a row of the registry of back ends.
	Instance(row rowstore.Row) (fleet.Instance, error)
}

// Config configures a Node.
type Config struct {
	Store      rowstore.Store
	Limits     rowstore.Limits
	Translator Translator
	// NewCommander returns the commander of back ends over a client; it calls none that
	// admit keeps it from.
	NewCommander func(client *upstream.Client, admit func(backend string) error) reload.Commander
	Codec        upstream.Codec
	Log          *eventlog.Log
	// Self is this node; its incarnation is set by New.
	Self presence.Node
	// OperatorTable and InstanceTable are the tables that others write.
	OperatorTable, InstanceTable string
	VersionField                 string
	// SettleTime is how long back ends take to tell two lease holders apart.
	SettleTime time.Duration
	// KeepJobs is how long a batch job stays readable, see batch.Config.Retention.
	KeepJobs time.Duration
	// ResultSettle is the time after which every node has to know of a result that
	// was read.
	ResultSettle time.Duration
	// FreshMost is the age of the configuration up to which the node denies a
	// route or a key that it does not know.
	FreshMost time.Duration
	// KeysConfirmed is the age of the configuration up to which the node lets known
	// keys in; 0 sets no limit.
	KeysConfirmed time.Duration
	// Dialer may replace the network towards back ends, for tests.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)
	// ObserveRequest is told how each live request ended, ObserveOpening of each new
	// connection to a back end; both may be nil.
	ObserveRequest func(kind routetable.Kind, report forward.Report)
	ObserveOpening func(upstream.Opening)
	// Metering says what is reported of the tenants' use.
	Metering Metering
	// Tell tells all other nodes something that the store does not take just now, see
	// Node.Told; it may be nil.
	Tell func(ctx context.Context, message json.RawMessage)
	// AddressTTL is how long callers may keep the addresses they are told.
	AddressTTL time.Duration
	// Eligibility says which back ends may get what.
	Eligibility Eligibility
}

// Node is a running node. It is safe for concurrent use.
type Node struct {
	config   Config
	pacing   rowstore.Pacing
	presence *presence.Registry
	fleet    *fleet.Fleet
	// evacuations and gate say which back ends may get a request, shares what cold ones
	// may.
	evacuations *evacuation.Book
	gate        *eligibility.Gate
	shares      *coldShares
	coldZones   coldZones
	away        awayWatch
	// quarantine holds the requests under which back ends ended.
	quarantine *quarantine.Tracker
	client     *upstream.Client
	distances  *place.Distances
	reach      *reach.Book
	peerClient *upstream.Client
	forwarder  *forward.Forwarder
	relay      *relay.Relay
	jobs       *batch.Manager
	leases     *rowlease.Leases
	controller *reload.Controller
	// counter and reporter are nil where no use is reported.
	counter  *metering.Counter
	reporter *metering.Reporter
	operator *rowstore.View
	evidence *rowstore.View
	// instances reads the registry of back ends itself; registry chooses between it and the
	// digest, which publisher may keep.
	instances *rowstore.View
	digest    *digest.Follower
	registry  *digest.Mirror
	publisher *digest.Publisher

	// startedAmong is how many nodes the process before this one knew last, 0 if there was
	// none: where they are few, a start makes no call for a digest.
	startedAmong int

	table         atomic.Pointer[routetable.Table]
	tableRevision int64
	// registryRead tells that the registry was read whole once.
	registryRead bool
	stopping     atomic.Bool
}

// New returns a node. Its incarnation is read from the store, so that it is
// above those of all earlier processes of its name; New waits until the store
// answers or ctx ends.
func New(ctx context.Context, config Config) (*Node, error) {
	last, began, err := lastSelf(ctx, config)
	if err != nil {
		return nil, err
	}
	config.Self = presence.Succeed(config.Self, last, time.Now())
	node := &Node{config: config, startedAmong: last.Nodes}
	pacing := rowstore.Pacing{Limits: config.Limits, Fresh: config.FreshMost, Nodes: func() int { return node.presence.Size() }}
	node.pacing = pacing
	node.presence = presence.New(config.Log, config.Store, config.Self, began, pacing)
	node.fleet = fleet.New(node.kick)
	node.quarantine = quarantine.New(quarantine.Config{
		Node: config.Self.Name, Log: config.Log, Dial: probeDialer(config.Dialer), Backend: node.registered,
		Store: config.Store, OnHeld: node.kick,
	})
	node.evidence = rowstore.NewView(config.Log, config.Store, rowstore.ViewConfig{
		Name: "evidence", Table: quarantine.Table, Partitions: []string{""}, Wait: pacing.IdleWait, Rest: node.evidenceRest,
		Pace: pacing.EvidencePace, Apply: node.quarantine.Apply,
	})
	node.decideBy()
	node.client = upstream.NewClient(upstream.Config{
		Codec: config.Codec, Dialer: config.Dialer, OnOpen: node.observeOpening, MustAdmit: true, Observer: node.quarantine,
	})
	node.distances = place.NewDistances(config.Eligibility.Zones.Of(config.Self.Zone), config.Eligibility.Zones)
	node.reach = reach.New(config.Self.Name, node.distances, node.client)
	node.forwarder = forward.New(forward.Config{
		Client: node.client, Fleet: node.fleet, Gate: node.gate, Log: config.Log, Reach: node.reach, VersionField: config.VersionField,
		Observe: node.observe, Regions: node.servedIn, WorkOf: node.quarantine.Of,
		Trials: node.quarantine,
	})
	node.jobs = batch.NewManager(batch.Config{
		Store: config.Store, Limits: config.Limits, Presence: node.presence, Fleet: node.fleet, Client: node.client, Gate: node.gate,
		Log: config.Log, Reach: node.reach, Routes: node.table.Load, VersionField: config.VersionField,
		Pacing: pacing, Retention: config.KeepJobs, VisibilityDelay: config.ResultSettle, WorkOf: node.quarantine.Of, Backoff: node.quarantine.Backoff,
		OnActive: func() { node.controller.Wanted() }, OrdersLoads: func() bool { return node.controller.Near() },
	})
	node.peerClient = upstream.NewClient(upstream.Config{Codec: config.Codec, Dialer: config.Dialer, DialTimeout: relayDial})
	node.relay = relay.New(relay.Config{
		Client: node.peerClient, Peers: node.Peers, InTouch: node.inTouch, Log: config.Log, Own: config.Self.Place(),
	})
	node.leases = rowlease.NewLeases(config.Log, config.Store, pacing)
	timing := rowlease.Timing{Settle: config.SettleTime}
	node.controller = reload.NewController(reload.Config{
		Store: config.Store, Presence: node.presence, Fleet: node.fleet, World: node.gate.Snapshot,
		Commander: config.NewCommander(node.client, func(backend string) error { return node.gate.Admit(backend, reload.Wants) }),
		Log:       config.Log, Timing: timing, Leases: node.leases, Pacing: pacing, Mode: reload.ModeRetain,
		Demand: node.jobs.Demand, Widths: node.jobs.Widths, Confined: node.jobs.Confined,
		JobsKnown: node.jobs.Loaded, Interested: node.jobs.OwnsJobs,
	})
	node.meter(timing)
	node.operator = rowstore.NewView(config.Log, config.Store, rowstore.ViewConfig{
		Name: "operator", Table: config.OperatorTable, Partitions: []string{""},
		Wait: config.Eligibility.paced(pacing).FreshWait, Apply: node.applyOperator,
	})
	node.followRegistry()
	return node, nil
}

// relayDial bounds a connection to another node.
const relayDial = 300 * time.Millisecond

// Peers returns the other nodes that are certain to have been there of late.
func (n *Node) Peers() []presence.Node {
	return slices.DeleteFunc(n.presence.Proven(time.Now()), func(p presence.Node) bool { return p.Name == n.config.Self.Name })
}

// touchSlack is added to the time that a watch may stay open.
const touchSlack = 500 * time.Millisecond

// inTouch tells whether the node follows what becomes of the batch jobs.
func (n *Node) inTouch() bool {
	return inTouch(n.operator.Status(), n.jobs.View().Status(), n.pacing, time.Now())
}

// inTouch judges by the view of the configuration, which shows soonest whether the store
// answers, and by that of the jobs, once the node makes use of it: the store may be
// silent for some tables alone. Neither is younger than its watches and pauses allow. It
// is pure.
func inTouch(operator, jobs rowstore.Status, pacing rowstore.Pacing, now time.Time) bool {
	if !operator.Healthy || operator.Age(now) > pacing.FreshWait()+touchSlack {
		return false
	}
	return !jobs.Loaded || jobs.Healthy && jobs.Age(now) <= pacing.IdleWait()+pacing.InterestPace(false)+touchSlack
}

// Relay returns what passes calls about batch jobs on while the node is out of touch
// with the store.
func (n *Node) Relay() *relay.Relay { return n.relay }

// startRetry is the pause between attempts to read the store at the start.
const startRetry = 100 * time.Millisecond

// lastSelf reads what an earlier process of this node left, and the store's
// revision.
func lastSelf(ctx context.Context, config Config) (presence.Node, int64, error) {
	for {
		last, revision, err := presence.Last(ctx, config.Store, config.Self.Name)
		if err == nil {
			return last, revision, nil
		}
		if !pause.For(ctx, startRetry) {
			return presence.Node{}, 0, ctx.Err()
		}
	}
}

func (n *Node) kick() {
	if n.jobs != nil {
		n.jobs.Kick()
	}
	if n.controller != nil {
		n.controller.Kick()
	}
}

// sweepEvery is how often idle connections are looked through.
const sweepEvery = 500 * time.Millisecond

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.operator.Run(ctx) })
	group.Go(func() { n.registry.Run(ctx) })
	group.Go(func() { n.runDigest(ctx) })
	group.Go(func() { n.evidence.Run(ctx) })
	group.Go(func() {
		n.quarantine.Run(ctx, quarantine.Writer{Rest: n.pacing.EvidenceInterval, Tell: n.tellEvidence})
	})
	group.Go(func() { pause.Every(ctx, sweepEvery, nil, n.sweep) })
	n.away.mark = clock.NewMark()
	group.Go(func() { pause.Every(ctx, awayEvery, nil, n.lookAway) })
	// Tables are read in the order in which they are needed: where hundreds of nodes
	// start at once, the store takes seconds for all of them, and what a node serves
	// with goes first.
	if loaded(ctx, n.operator, n.registry, n.evidence) {
		group.Go(func() { n.presence.Run(ctx) })
		group.Go(func() { n.presence.View().Run(ctx) })
	}
	if loaded(ctx, n.presence.View()) {
		group.Go(func() { n.jobs.Run(ctx) })
		group.Go(func() { n.leases.Run(ctx) })
		group.Go(func() { n.controller.Run(ctx) })
		if n.counter != nil {
			group.Go(func() { n.counter.Run(ctx) })
			group.Go(func() { n.reporter.Run(ctx) })
		}
	}
	group.Wait()
}

// loading is a view that is being read.
type loading interface {
	// Loaded is closed once it has been read whole.
	Loaded() <-chan struct{}
}

// loaded waits until views have been read, and tells whether they were before ctx ended.
func loaded(ctx context.Context, views ...loading) bool {
	for _, view := range views {
		select {
		case <-view.Loaded():
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}

// sweep closes connections that are no longer of use.
func (n *Node) sweep() {
	n.peerClient.Sweep(func(string, string) bool { return true })
	now := time.Now()
	n.client.Sweep(func(_, instance string) bool {
		backend, found := n.fleet.Get(instance, now)
		return found && !backend.Draining
	})
}

// Ready tells whether the node should get requests.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.table.Load() != nil && n.registry.Way() != digest.Unread && n.knowsEvidence()
}

// Stopping tells whether a planned stop has begun.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Suspended returns the number of back ends that the node leaves alone.
func (n *Node) Suspended() int {
	now := time.Now()
	count := 0
	for _, backend := range n.fleet.All(now) {
		if backend.Suspended(now) {
			count++
		}
	}
	return count
}

// Forwarder returns what passes live requests on.
func (n *Node) Forwarder() *forward.Forwarder { return n.forwarder }

// Jobs returns the batch jobs.
func (n *Node) Jobs() *batch.Manager { return n.jobs }

// Holder returns who gives orders to back ends, as far as this node knows, and
// whether it is this node.
func (n *Node) Holder() (name string, held bool) { return n.controller.Holder() }

// Log returns the node's log.
func (n *Node) Log() *eventlog.Log { return n.config.Log }

// handOverMost bounds the handing over of jobs.
const handOverMost = 2 * time.Second

// Stop begins a planned stop: the node is no longer announced, and hands its
// jobs over. Requests are still served until the listeners close.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.presence.SetState(presence.Stopping)
	var group sync.WaitGroup
	if n.reporter != nil {
		n.reporter.Withdraw()
		group.Go(n.reporter.Release)
	}
	group.Go(func() { n.controller.Stop(ctx) })
	group.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, handOverMost)
		defer cancel()
		n.jobs.Stop(bounded)
	})
	group.Wait()
}

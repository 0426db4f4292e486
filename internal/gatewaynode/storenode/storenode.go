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
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/batch"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/forward"
	"github.com/sliplift/sliplift/internal/gatewaynode/metering"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/relay"
	"github.com/sliplift/sliplift/internal/gatewaynode/reload"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/tenant"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
	"github.com/sliplift/sliplift/internal/pause"
)

// OperatorRow is what a row of the operator says: a configuration, or the
// newest version of a model, or nothing known.
type OperatorRow struct {
	Table   *routetable.Table
	Model   string
	Version int64
}

// Translator reads rows that others write.
type Translator interface {
	// Operator reads a row of the operator's table.
	Operator(row rowstore.Row) (OperatorRow, error)
	// Instance reads a row of the registry of back ends.
	Instance(row rowstore.Row) (fleet.Instance, error)
}

// Config configures a Node.
type Config struct {
	Store      rowstore.Store
	Limits     rowstore.Limits
	Translator Translator
	// NewCommander returns the commander of back ends over a client.
	NewCommander func(client *upstream.Client) reload.Commander
	Codec        upstream.Codec
	Log          *eventlog.Log
	// Self is this node; its incarnation is set by New.
	Self presence.Node
	// OperatorTable and InstanceTable are the tables that others write.
	OperatorTable, InstanceTable string
	VersionField                 string
	// SettleTime is how long back ends take to tell two lease holders apart.
	SettleTime time.Duration
	// KeepJobs is how long a batch job stays readable.
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
	// ObserveRequest is told how each live request ended, ObserveDial of each new
	// connection to a back end; both may be nil.
	ObserveRequest func(kind routetable.Kind, report forward.Report)
	ObserveDial    func()
	// Metering says what is reported of the tenants' use.
	Metering Metering
	// AddressTTL is how long callers may keep the addresses they are told.
	AddressTTL time.Duration
}

// Metering configures the reports of the tenants' use.
type Metering struct {
	// Sink takes the reports; nil if none are wanted.
	Sink metering.Sink
	// Window is the length of a window, Due, within which time after its end it has to
	// be reported.
	Window, Due time.Duration
	// CallsPerSecond bounds the calls of all nodes together.
	CallsPerSecond float64
}

// Node is a running node. It is safe for concurrent use.
type Node struct {
	config     Config
	pacing     rowstore.Pacing
	presence   *presence.Registry
	fleet      *fleet.Fleet
	client     *upstream.Client
	peerClient *upstream.Client
	forwarder  *forward.Forwarder
	relay      *relay.Relay
	jobs       *batch.Manager
	leases     *rowlease.Leases
	controller *reload.Controller
	// counter and reporter are nil where no use is reported.
	counter   *metering.Counter
	reporter  *metering.Reporter
	operator  *rowstore.View
	instances *rowstore.View

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
	node := &Node{config: config}
	pacing := rowstore.Pacing{Limits: config.Limits, Fresh: config.FreshMost, Nodes: func() int { return node.presence.Size() }}
	node.pacing = pacing
	node.presence = presence.New(config.Log, config.Store, config.Self, began, pacing)
	node.fleet = fleet.New(node.kick)
	node.client = upstream.NewClient(upstream.Config{Codec: config.Codec, Dialer: config.Dialer, OnDial: config.ObserveDial})
	node.forwarder = forward.New(forward.Config{
		Client: node.client, Fleet: node.fleet, Log: config.Log, Zone: config.Self.Zone, VersionField: config.VersionField,
		Observe: node.observe,
	})
	node.jobs = batch.NewManager(batch.Config{
		Store: config.Store, Limits: config.Limits, Presence: node.presence, Fleet: node.fleet, Client: node.client,
		Log: config.Log, Zone: config.Self.Zone, Routes: node.table.Load, VersionField: config.VersionField,
		Pacing: pacing, Keep: config.KeepJobs, Settle: config.ResultSettle,
		OnWork: func() { node.controller.Wanted() },
	})
	node.peerClient = upstream.NewClient(upstream.Config{Codec: config.Codec, Dialer: config.Dialer, DialTimeout: relayDial})
	node.relay = relay.New(relay.Config{
		Client: node.peerClient, Peers: node.Peers, InTouch: node.inTouch, Log: config.Log, Zone: config.Self.Zone,
	})
	node.leases = rowlease.NewLeases(config.Log, config.Store, pacing)
	timing := rowlease.Timing{Settle: config.SettleTime}
	node.controller = reload.NewController(reload.Config{
		Store: config.Store, Presence: node.presence, Fleet: node.fleet, Commander: config.NewCommander(node.client),
		Log: config.Log, Timing: timing, Leases: node.leases, Pacing: pacing, Mode: reload.ModeRetain,
		Demand: node.jobs.Demand, Widths: node.jobs.Widths, Interested: node.jobs.OwnsJobs,
	})
	node.meter(timing)
	node.operator = rowstore.NewView(config.Log, config.Store, rowstore.ViewConfig{
		Name: "operator", Table: config.OperatorTable, Partitions: []string{""}, Wait: pacing.FreshWait, Apply: node.applyOperator,
	})
	node.instances = rowstore.NewView(config.Log, config.Store, rowstore.ViewConfig{
		Name: "back ends", Table: config.InstanceTable, Partitions: []string{""}, Wait: pacing.FreshWait,
		Pace: pacing.RegistryPace, Apply: node.applyInstances,
	})
	return node, nil
}

// meter sets up the counting and reporting of the tenants' use.
func (n *Node) meter(timing rowlease.Timing) {
	config := n.config
	if config.Metering.Sink == nil {
		return
	}
	n.counter = metering.NewCounter(metering.CounterConfig{
		Store: config.Store, Log: config.Log, Node: config.Self.Name, Incarnation: config.Self.Incarnation,
		Window: config.Metering.Window, Interval: n.pacing.UsageInterval,
	})
	n.reporter = metering.NewReporter(metering.Config{
		Store: config.Store, Presence: n.presence, Leases: n.leases, Timing: timing, Log: config.Log,
		Sink: config.Metering.Sink, Now: time.Now, Window: config.Metering.Window, Due: config.Metering.Due,
		RowBytes: config.Limits.RowBytes, CallsPerSecond: config.Metering.CallsPerSecond,
	})
}

// observe takes note of how a live request ended.
func (n *Node) observe(kind routetable.Kind, report forward.Report) {
	if n.counter != nil && report.Tenant != "" && !report.Began.IsZero() {
		n.counter.Count(report.Tenant, report.Began)
	}
	if n.config.ObserveRequest != nil {
		n.config.ObserveRequest(kind, report)
	}
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
	status := n.jobs.View().Status()
	return status.Healthy && status.Age(time.Now()) < n.pacing.IdleWait()+n.pacing.BusyPace()+touchSlack
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
	group.Go(func() { n.instances.Run(ctx) })
	group.Go(func() { pause.Every(ctx, sweepEvery, nil, n.sweep) })
	// Tables are read in the order in which they are needed: where hundreds of nodes
	// start at once, the store takes seconds for all of them, and what a node serves
	// with goes first.
	if loaded(ctx, n.operator, n.instances) {
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

// loaded waits until views have been read, and tells whether they were before ctx ended.
func loaded(ctx context.Context, views ...*rowstore.View) bool {
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

// applyOperator takes rows of the operator. Newer rows only: the view drops
// reads that are behind, and a configuration never goes back.
func (n *Node) applyOperator(rows []rowstore.Row, _ bool) {
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

func (n *Node) applyInstances(rows []rowstore.Row, complete bool) {
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
		instance, err := n.config.Translator.Instance(row)
		if err != nil {
			continue
		}
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
		return
	}
	n.fleet.Update(instances, removed)
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
	held, found := n.fleet.Get(instance.ID, time.Now())
	if found && held.Draining == instance.Draining {
		return
	}
	n.config.Log.Info(eventlog.BackendChanged, eventlog.Fields{
		eventlog.Backend: instance.ID, eventlog.Service: instance.Service, "address": instance.Address,
		"draining": instance.Draining, "revision": instance.Revision, "known": found,
	})
}

// Ready tells whether the node should get requests.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.table.Load() != nil && n.instances.Status().Loaded
}

// Stopping tells whether a planned stop has begun.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Match is the outcome of looking a route up.
type Match struct {
	Route  *routetable.Route
	Config *routetable.Table
	// Denied tells that there certainly is no such route; without it and without a
	// route the node cannot tell.
	Denied bool
}

// Match looks the route of a request up.
func (n *Node) Match(host, path string) Match {
	table := n.table.Load()
	if table == nil {
		return Match{}
	}
	if route := table.Match(host, path); route != nil {
		return Match{Route: route, Config: table}
	}
	status := n.operator.Status()
	fresh := status.Healthy && status.Age(time.Now()) <= n.config.FreshMost
	return Match{Config: table, Denied: fresh}
}

// Tenant returns on whose behalf a request with a key is made. A request about a
// route that is not known yet counts as one that is not public.
func (n *Node) Tenant(key string, route *routetable.Route) (tenant.Tenant, tenant.Verdict) {
	table := n.table.Load()
	if table == nil {
		return tenant.Tenant{}, tenant.Unsure
	}
	status := n.operator.Status()
	age := status.Age(time.Now())
	known := tenant.Knowledge{
		MayDeny:  status.Healthy && age <= n.config.FreshMost,
		MayGrant: n.config.KeysConfirmed <= 0 || age <= n.config.KeysConfirmed,
	}
	return table.Tenants.Decide(key, route != nil && route.Public, known)
}

// KnowsTenants tells whether the configuration tells callers apart.
func (n *Node) KnowsTenants() bool {
	table := n.table.Load()
	return table != nil && table.Tenants != nil
}

// ConfigKnown tells whether the node has read a configuration.
func (n *Node) ConfigKnown() bool { return n.table.Load() != nil }

// ConfigVersion returns the version of the configuration in force, 0 if there is
// none.
func (n *Node) ConfigVersion() int64 {
	if table := n.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// ConfigAge returns when the configuration was last confirmed.
func (n *Node) ConfigAge() time.Duration { return n.operator.Status().Age(time.Now()) }

// RegistryAge returns when the registry of back ends was last confirmed.
func (n *Node) RegistryAge() time.Duration { return n.instances.Status().Age(time.Now()) }

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

// Addresses returns where callers should connect and for how long that holds.
func (n *Node) Addresses(zone, region string) ([]string, time.Duration) {
	return n.presence.Addresses(zone, region, time.Now()), n.config.AddressTTL
}

// Finish writes what a planned stop leaves to be written once the last request has
// ended.
func (n *Node) Finish(ctx context.Context) {
	for n.counter != nil && !n.counter.Flush(ctx) && pause.For(ctx, startRetry) {
	}
}

// MeteringHolder returns who reports the tenants' use, as far as this node knows, and
// whether it is this node.
func (n *Node) MeteringHolder() (name string, held bool) {
	if n.reporter == nil {
		return "", false
	}
	return n.reporter.Holder()
}

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

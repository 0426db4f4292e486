// Command sliplift-gateway is a node of sliplift that keeps all lasting state in
// the platform's row store; see its --help.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/batch"
	"github.com/sliplift/sliplift/internal/gatewaynode/callerconn"
	"github.com/sliplift/sliplift/internal/gatewaynode/clock"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/gatewaymetrics"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/quarantine"
	"github.com/sliplift/sliplift/internal/gatewaynode/reload"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/gatewaynode/storenode"
	"github.com/sliplift/sliplift/internal/gatewaynode/storerelay"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
	"github.com/sliplift/sliplift/internal/settings"
	"github.com/sliplift/sliplift/internal/signals"
	"github.com/sliplift/sliplift/internal/telemetry"
	"github.com/sliplift/sliplift/platform"
)

// Exit codes.
const (
	exitOrder  = 0
	exitFailed = 1
)

func main() {
	// First, since a signal that comes before ends the process.
	handler := signals.Handle()
	cfg := &settings.Gateway{}
	code, proceed := settings.Start(settings.GatewayProgram, telemetry.Version(), os.Args[1:], cfg, os.Stdout, os.Stderr)
	if !proceed {
		os.Exit(code)
	}
	logger, err := telemetry.NewLogger(cfg.LogLevel, telemetry.Format(cfg.LogFormat), os.Stdout)
	if err != nil {
		panic("settings let through: " + err.Error())
	}
	log := eventlog.New(logger, os.Stdout)
	log.SetNode(cfg.Name)
	metrics := gatewaymetrics.New()
	log.SetCounter(metrics.Event)
	handler.OnHangup(func() { noteHangup(log) })
	code = run(handler.Stop(), cfg, log, metrics)
	log.Close()
	os.Exit(code)
}

// run serves until ctx is done, and then stops in order.
func run(ctx context.Context, cfg *settings.Gateway, log *eventlog.Log, metrics *gatewaymetrics.Metrics) int {
	log.Info(eventlog.Started, eventlog.Fields{
		eventlog.Node: cfg.Name, "zone": cfg.Zone, "caller_address": cfg.CallerAddress, "program_version": telemetry.Version(), "counts_time_away": clock.Tells,
	})
	go log.ReportDropped(ctx.Done())
	servers := &servers{failed: make(chan error, 1)}
	defer servers.close()
	addresses := []string{cfg.CallerAddress, cfg.ReadyAddress, cfg.DirectoryAddress}
	if cfg.MetricsAddress != "" {
		addresses = append(addresses, cfg.MetricsAddress)
	}
	for i, address := range addresses {
		share := otherShare
		if i == 0 {
			share = callerShare
		}
		if err := servers.listen(address, share); err != nil {
			log.Warn(eventlog.Stopped, eventlog.Fields{eventlog.Cause: err.Error()})
			return exitFailed
		}
	}
	detour := storerelay.New(storerelay.Config{
		Store: newStore(cfg, metrics), Dial: (&net.Dialer{KeepAlive: -1}).DialContext, Zone: cfg.Zone, Region: cfg.Region,
		HoldsBodies: batch.HoldsBodies, Log: log, ReadsPerSecond: cfg.StoreReads,
	})
	node, err := storenode.New(ctx, nodeConfig(cfg, detour, log, metrics))
	if err != nil {
		return exitOrder
	}
	if cfg.PeerAddress != "" {
		if err := servers.servePeers(cfg.PeerAddress, detour); err != nil {
			log.Warn(eventlog.Stopped, eventlog.Fields{eventlog.Cause: err.Error()})
			return exitFailed
		}
	}
	detour.SetPeers(node.Peers)
	detour.OnTold(node.Told)
	working, endWork := context.WithCancel(context.Background())
	defer endWork()
	go node.Run(working)
	metrics.Watch(node)
	servers.serve(
		callerconn.Handler(platform.NewFront(node), metrics.CallerLeft), callerconn.Handler(platform.NewReadiness(node), nil),
		callerconn.Handler(platform.NewDirectory(node), nil), callerconn.Handler(forOperators(metrics, node), nil),
	)
	select {
	case <-ctx.Done():
	case err := <-servers.failed:
		log.Warn(eventlog.Stopped, eventlog.Fields{eventlog.Cause: err.Error()})
		return exitFailed
	}
	stop(cfg, log, node, servers)
	return exitOrder
}

// forOperators answers at the address of the metrics.
func forOperators(metrics *gatewaymetrics.Metrics, node *storenode.Node) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(quarantine.HandlerPath, quarantine.Handler(node.Quarantine()))
	mux.Handle("/", metrics.Handler())
	return mux
}

// noteHangup logs that the settings file has changed. All settings are read at the start alone, so
// that a change takes effect with the next one.
func noteHangup(log *eventlog.Log) {
	log.Info(eventlog.SettingsChanged, eventlog.Fields{"outcome": "in force from the next start on"})
}

// Limits of calls to the store.
const (
	storeCallLimit  = 1500 * time.Millisecond
	storeWatchSlack = 700 * time.Millisecond
	storeDialLimit  = 500 * time.Millisecond
	storeIdleLimit  = 30 * time.Second
	storeIdleMost   = 16
	transactionRows = 100
)

// newStore returns this node's own way to the store.
func newStore(cfg *settings.Gateway, metrics *gatewaymetrics.Metrics) rowstore.Store {
	dialer := &net.Dialer{Timeout: storeDialLimit, KeepAlive: -1}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: storeIdleMost, IdleConnTimeout: storeIdleLimit, DisableCompression: true,
	}}
	store := platform.NewStore(client, cfg.StoreAddress, platform.StoreLimits{Call: storeCallLimit, WatchSlack: storeWatchSlack})
	return rowstore.NewMeter(store, metrics.StoreCall, metrics.StoreRead, metrics.StoreCut)
}

// Limits of calls of duties.
const (
	dutyDialLimit = 500 * time.Millisecond
	dutyIdleLimit = 10 * time.Second
)

// newMetering returns what this node reports of the tenants' use.
func newMetering(cfg *settings.Gateway) storenode.Metering {
	if cfg.DutyAddress == "" || !slices.Contains(cfg.Duties, platform.DutyMetering) {
		return storenode.Metering{}
	}
	client := upstream.NewClient(upstream.Config{
		Codec: platform.Codec{}, DialTimeout: dutyDialLimit, IdleTimeout: dutyIdleLimit, MustAdmit: true, RepeatIDs: true,
	})
	return storenode.Metering{
		Sink: platform.NewDuties(client, cfg.DutyAddress), Window: cfg.UsageWindow, Due: cfg.UsageWithin,
		CallsPerSecond: cfg.DutyCalls,
	}
}

func nodeConfig(cfg *settings.Gateway, store *storerelay.Detour, log *eventlog.Log, metrics *gatewaymetrics.Metrics) storenode.Config {
	return storenode.Config{
		Store: rowstore.NewGuard(rowstore.NewRecall(store)),
		Limits: rowstore.Limits{
			RowBytes: cfg.StoreRowBytes, TransactionRows: transactionRows,
			WritesPerSecond: cfg.StoreWrites, ReadsPerSecond: cfg.StoreReads,
		},
		Translator: platform.Translator{},
		NewCommander: func(client *upstream.Client, admit func(string) error) reload.Commander {
			return platform.NewCommander(client, admit)
		},
		Codec: platform.Codec{},
		Log:   log,
		Self: presence.Node{
			Name: cfg.Name, Address: cfg.CallerAddress, PeerAddress: cfg.PeerAddress, Zone: cfg.Zone, Region: cfg.Region, Cores: cfg.CPUShare * cfg.Cores,
		},
		OperatorTable: platform.TableOperator,
		InstanceTable: platform.TableInstances,
		VersionField:  platform.VersionField,
		SettleTime:    cfg.LeaseSettle,
		KeepJobs:      cfg.KeepJobs,
		ResultSettle:  cfg.ResultSettle,
		FreshMost:     cfg.ConfigApply,
		Tell:          store.Tell,
		AddressTTL:    cfg.AddressTTL,
		Metering:      newMetering(cfg),
		KeysConfirmed: keysConfirmed(cfg),
		Eligibility: storenode.Eligibility{
			Zones: place.NewMap(cfg.Regions()), EvacuateWithin: cfg.EvacuateWithin,
			ColdOverage: cfg.ColdOverage, ColdSlack: cfg.ColdSlack, ObserveWithheld: metrics.Withheld, ObserveColdTurn: metrics.ColdTurn,
		},

		ObserveRequest: metrics.Request,
		ObserveOpening: metrics.Opening,
	}
}

// keysConfirmed returns the age of the configuration up to which keys are taken, 0
// for any.
func keysConfirmed(cfg *settings.Gateway) time.Duration {
	if !cfg.StrictRevoke {
		return 0
	}
	return cfg.RevokeWithin
}

// servers are the node's listeners and what answers on them.
type servers struct {
	listeners []net.Listener
	peers     net.Listener
	running   []*http.Server
	failed    chan error
}

// Shares of the process's descriptors that connections to a listener may take: back ends,
// other nodes and the store need the rest.
const (
	callerShare = 0.5
	otherShare  = 0.05
)

func (s *servers) listen(address string, share float64) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, callerconn.Listen(listener, callerconn.Descriptors(share)))
	return nil
}

// Limits of the servers. The idle limit is above what callers are granted.
const (
	headerLimit = 10 * time.Second
	idleLimit   = 75 * time.Second
	headerBytes = 64 << 10
)

func (s *servers) serve(handlers ...http.Handler) {
	for i, listener := range s.listeners {
		handler := handlers[i]
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: headerBytes,
			ConnContext: callerconn.Context, ConnState: callerconn.State,
		}
		s.running = append(s.running, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				s.failed <- err
			}
		}()
	}
}

// servePeers answers other nodes at an address.
func (s *servers) servePeers(address string, detour *storerelay.Detour) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.peers = listener
	go func() {
		if err := detour.Serve(listener); err != nil {
			s.failed <- err
		}
	}()
	return nil
}

func (s *servers) close() {
	if s.peers != nil {
		_ = s.peers.Close()
	}
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
}

// stop carries out a planned stop.
func stop(cfg *settings.Gateway, log *eventlog.Log, node *storenode.Node, servers *servers) {
	started := time.Now()
	log.Info(eventlog.Stopping, eventlog.Fields{eventlog.Node: cfg.Name, "grace_ms": cfg.StopGrace.Milliseconds()})
	node.Shutdown(storenode.NewStopPlan(cfg.StopGrace, cfg.AddressTTL), servers.running)
	log.Info(eventlog.Stopped, eventlog.Fields{eventlog.Node: cfg.Name, eventlog.TookMillis: time.Since(started).Milliseconds()})
}

package faulttest

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/cluster"
	"github.com/sliplift/sliplift/internal/emulator"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/load"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/node"
	"github.com/sliplift/sliplift/internal/settings"
)

// Config says what a World is made of.
type Config struct {
	Nodes, Engines, Previews, Bookings int
	// MedianTokens is the median length of an engine's answer; Spread is the
	// standard deviation of its logarithm.
	MedianTokens float64
	Spread       float64
	// ServiceTime is that of the applications.
	ServiceTime time.Duration
	// Capacity and QueueLimit are those of an application instance.
	Capacity, QueueLimit int
	// ClaimValidity is how long an idempotency key is remembered.
	ClaimValidity time.Duration
	// Hedge is the wait before a second attempt of a repeatable request.
	Hedge  time.Duration
	Faults node.Faults
	// Log takes the nodes' logs; nil drops them.
	Log io.Writer
}

// DefaultConfig returns three nodes in three zones, three engines and two
// instances each of two applications.
func DefaultConfig() Config {
	return Config{
		Nodes: 3, Engines: 3, Previews: 2, Bookings: 2,
		MedianTokens: 60, ServiceTime: 20 * time.Millisecond, Capacity: 32, QueueLimit: 64,
		ClaimValidity: 2 * time.Minute,
	}
}

// World is a running cluster with its users. Its methods are called by one
// goroutine, save where they say otherwise.
type World struct {
	config  Config
	log     *logrus.Logger
	network *Network
	sink    *eventSink
	cluster *cluster.Cluster
	// background counts everything that was begun and must end before the end.
	background sync.WaitGroup
	// traffic ends the open loops of the applications.
	traffic    context.Context
	endTraffic context.CancelFunc
	trainers   map[string]*load.Trainer
	operators  *operators

	mu    sync.Mutex
	notes []string
	users sync.WaitGroup
}

// NewWorld starts a cluster, creates its pools and waits until every node knows
// them and the list of claim members.
func NewWorld(ctx context.Context, config Config) (*World, error) {
	w := &World{config: config, log: logrus.New(), network: NewNetwork(), trainers: map[string]*load.Trainer{}}
	w.log.SetOutput(io.Discard)
	if config.Log != nil {
		w.log.SetOutput(config.Log)
		w.log.SetLevel(logrus.DebugLevel)
	}
	w.sink = &eventSink{network: w.network}
	w.traffic, w.endTraffic = context.WithCancel(context.Background())
	running, err := cluster.Start(w.clusterConfig())
	if err != nil {
		return nil, err
	}
	w.cluster = running
	for _, machine := range w.machines() {
		running.Emulator().Machines().Put(machine)
	}
	w.operators = newOperators(w)
	if err := w.operators.createPools(ctx); err != nil {
		return w, err
	}
	return w, w.settle(ctx)
}

// settlePoll is the time between two looks at whether the start is over.
const settlePoll = 100 * time.Millisecond

// settle waits until every node has applied the pools' revisions and that of the
// claim members.
func (w *World) settle(ctx context.Context) error {
	for !w.settled() {
		select {
		case <-ctx.Done():
			return errs.Errorf("the nodes did not all get the configuration: %w", ctx.Err())
		case <-time.After(settlePoll):
		}
	}
	return nil
}

func (w *World) settled() bool {
	applied := map[string]int64{}
	for _, event := range w.sink.Events() {
		if event.Kind == history.KindConfigApplied {
			applied[event.Process] = max(applied[event.Process], event.Revision)
		}
	}
	for i := range w.config.Nodes {
		if applied[cluster.NodeName(i+1)] <= poolCount {
			return false
		}
	}
	return true
}

func (w *World) clusterConfig() cluster.Config {
	config := cluster.DefaultConfig(w.log, w.sink)
	config.Nodes, config.Engines = w.config.Nodes, w.config.Engines
	config.Previews, config.Bookings = w.config.Previews, w.config.Bookings
	config.Network = w.network
	config.Faults = w.config.Faults
	config.Tune = func(settings *settings.Node) {
		settings.ClaimValidity = w.config.ClaimValidity
		settings.HedgeDelay = w.config.Hedge
	}
	config.TuneEmulator = w.tune
	return config
}

func (w *World) tune(config *emulator.Config) {
	for i := range config.Engines {
		config.Engines[i].Batch.Lengths.MedianTokens = w.config.MedianTokens
		config.Engines[i].Batch.Lengths.Sigma = w.config.Spread
	}
	for i := range config.Applications {
		config.Applications[i].ServiceTime = w.config.ServiceTime
		config.Applications[i].Capacity = w.config.Capacity
		config.Applications[i].QueueLimit = w.config.QueueLimit
	}
}

func (w *World) machines() []api.Machine {
	var machines []api.Machine
	engines, previews, bookings := w.cluster.Backends()
	for _, group := range [][]api.Machine{machinesOf(engines), machinesOf(previews), machinesOf(bookings)} {
		machines = append(machines, group...)
	}
	return machines
}

// httpClient returns a client of the user of that name.
func (w *World) httpClient(user string) *http.Client { return w.cluster.HTTPClient(user) }

// callerNodes lists all nodes of the cluster, those that run or not, with the
// first one as the preferred one.
func (w *World) callerNodes(first int) []load.Node {
	var nodes []load.Node
	for i := range w.config.Nodes {
		name := cluster.NodeName((first-1+i)%w.config.Nodes + 1)
		nodes = append(nodes, load.Node{Name: name, Address: name + ":7000"})
	}
	return nodes
}

// KillNode ends a node as SIGKILL does, at once towards all others. It does not
// block and may be called by any goroutine.
func (w *World) KillNode(name string) {
	w.network.Kill(name)
	w.background.Go(func() {
		if err := w.cluster.KillNode(name); err != nil {
			w.note("kill %s: %v", name, err)
		}
	})
}

// RestartNode starts a node that has ended, as a new incarnation.
func (w *World) RestartNode(name string) error {
	number, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil {
		return errs.Errorf("node %q", name)
	}
	w.background.Wait()
	return w.cluster.StartNode(number)
}

// StopNode begins a planned stop and returns when the node has ended.
func (w *World) StopNode(ctx context.Context, name string) error {
	return w.cluster.StopNode(ctx, name)
}

// FreezeNode pauses a node, and IsolateNode cuts it off from all others. Both
// tell the history that the node cannot hear of revisions.
func (w *World) FreezeNode(name string) {
	w.record(history.KindNodeUnreachable, name)
	w.network.Freeze(name)
}

// ThawNode lets a paused node go on.
func (w *World) ThawNode(name string) {
	w.network.Thaw(name)
	w.record(history.KindNodeReachable, name)
}

// IsolateNode cuts a node off from all others but the named hosts.
func (w *World) IsolateNode(name string, but ...string) {
	w.record(history.KindNodeUnreachable, name)
	w.network.Isolate(name, but...)
}

// RejoinNode ends the isolation of a node.
func (w *World) RejoinNode(name string) {
	w.network.Rejoin(name)
	w.record(history.KindNodeReachable, name)
}

func (w *World) record(kind history.Kind, node string) {
	w.sink.Record(history.Event{Kind: kind, Process: node})
}

// note keeps what went wrong for the end of the story.
func (w *World) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, errs.Errorf(format, args...).Error())
}

// Notes returns what went wrong beside the promises.
func (w *World) Notes() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.notes...)
}

// Finish ends the open loops of the applications and waits until every user has
// its answers.
func (w *World) Finish() {
	w.endTraffic()
	w.users.Wait()
	w.background.Wait()
}

// Judge returns the verdicts on what happened so far.
func (w *World) Judge() history.Report {
	checker := history.NewChecker()
	for i, event := range w.sink.Events() {
		checker.Observe(event, history.Position{File: "story", Line: i + 1})
	}
	return checker.Report()
}

// Revision returns the highest revision that a node has applied.
func (w *World) Revision() int64 {
	highest := int64(0)
	for _, event := range w.sink.Events() {
		if event.Kind == history.KindConfigApplied {
			highest = max(highest, event.Revision)
		}
	}
	return highest
}

// EngineVersions returns the weight versions of the engines, as they report
// them, in the order of their names; zero where an engine does not answer.
func (w *World) EngineVersions(ctx context.Context) []int64 {
	client := engine.NewClient(w.httpClient(observerName))
	engines, _, _ := w.cluster.Backends()
	var versions []int64
	for _, backend := range engines {
		report, err := client.Load(ctx, backend.Address)
		if err != nil {
			report.Version = 0
		}
		versions = append(versions, report.Version)
	}
	return versions
}

// observerName is the host that looks at engines from outside.
const observerName = "observer"

// Close ends everything at once.
func (w *World) Close() {
	for _, running := range w.cluster.Nodes() {
		w.network.Thaw(running.Name)
		w.network.Rejoin(running.Name)
	}
	w.Finish()
	w.cluster.Close()
}

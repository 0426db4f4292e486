// Package demo drives a running system as its users do, so that its history has
// something to judge every promise by: an operator creates pools, drains an
// engine and stops a node; a trainer publishes versions and takes the samples
// of its steps; an application sends page views and another one bookings.
//
// The package knows a system by the addresses of its nodes alone. It records
// what the users saw; what back ends and nodes saw is recorded by themselves.
package demo

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/load"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// Names of the pools that the demo creates.
const (
	TitlesPool  = "titles"
	PreviewPool = "preview"
	BookingPool = "booking"
)

// Names of the processes that the demo plays.
const (
	trainerName  = "titles-trainer"
	previewName  = "listings"
	bookingName  = "visits"
	operatorName = "operator"
)

// Node is where a node is reached.
type Node struct {
	Name            string
	CallerAddress   string
	OperatorAddress string
}

// System is what the demo drives.
type System interface {
	// Nodes lists the running nodes. There is at least one.
	Nodes() []Node
	// StopNode stops a node as SIGTERM does and returns when it has ended.
	StopNode(ctx context.Context, name string) error
}

// Config says what the demo does.
type Config struct {
	// Engines, Previews and Bookings are the back ends of the three pools.
	Engines, Previews, Bookings []configlog.Backend
	// Model names the weights of the engines.
	Model string
	// Steps is the number of steps, at least 1. An engine is drained during the
	// second, and resumed and a node stopped during the last one, if there are
	// as many.
	Steps            int
	Prompts          int
	SamplesPerPrompt int
	MaxTokens        int
	VersionBound     int64
	// PreviewRate and BookingRate are requests a second.
	PreviewRate, BookingRate float64
	// ConfigLimit is the time for a change to be in force everywhere, DrainLimit
	// that for a drained back end to get no more work.
	ConfigLimit, DrainLimit time.Duration
	// Progress is told what goes on; it may be called from any goroutine.
	Progress func(text string)
}

// DefaultConfig returns a demo of about ten seconds, without back ends.
func DefaultConfig() Config {
	return Config{
		Model:            "language",
		Steps:            3,
		Prompts:          16,
		SamplesPerPrompt: 4,
		MaxTokens:        96,
		VersionBound:     2,
		PreviewRate:      40,
		BookingRate:      10,
		ConfigLimit:      5 * time.Second,
		DrainLimit:       3 * time.Second,
		Progress:         func(string) {},
	}
}

// Result is what the users saw.
type Result struct {
	Batches  []load.Batch
	Previews load.Report
	Bookings load.Report
}

// Demo is one run.
type Demo struct {
	lg         logrus.FieldLogger
	cfg        Config
	system     System
	httpClient *http.Client
	weights    storeclient.Weights
	sink       history.Sink
	operator   *operatorUser
}

// NewDemo returns a demo of the system, which is reached through httpClient.
func NewDemo(lg logrus.FieldLogger, cfg Config, system System, httpClient *http.Client, weights storeclient.Weights, sink history.Sink) *Demo {
	return &Demo{
		lg:         lg,
		cfg:        cfg,
		system:     system,
		httpClient: httpClient,
		weights:    weights,
		sink:       sink,
		operator:   newOperatorUser(lg, httpClient, system.Nodes(), sink, cfg.ConfigLimit),
	}
}

// Run creates the pools, serves the trainer's steps under live traffic, and
// returns when everything that was sent has its answer.
func (d *Demo) Run(ctx context.Context) (Result, error) {
	d.cfg.Progress("creating pools")
	if err := d.operator.createPools(ctx, d.cfg); err != nil {
		return Result{}, err
	}
	var result Result
	trafficContext, stopTraffic := context.WithCancel(ctx)
	var traffic sync.WaitGroup
	traffic.Go(func() { result.Previews = d.previews(trafficContext) })
	traffic.Go(func() { result.Bookings = d.bookings(trafficContext) })
	batches, err := d.train(ctx)
	d.cfg.Progress("waiting for the last answers")
	stopTraffic()
	traffic.Wait()
	result.Batches = batches
	return result, err
}

func (d *Demo) previews(ctx context.Context) load.Report {
	cfg := load.CallerConfig{Name: previewName, Nodes: d.callerNodes(), Pool: PreviewPool, Repeatable: true, Attempts: 3}
	return d.traffic(ctx, cfg, d.cfg.PreviewRate)
}

func (d *Demo) bookings(ctx context.Context) load.Report {
	cfg := load.CallerConfig{Name: bookingName, Nodes: d.callerNodes(), Pool: BookingPool, Attempts: 3}
	return d.traffic(ctx, cfg, d.cfg.BookingRate)
}

const (
	// trafficInFlight bounds the requests in flight of one application.
	trafficInFlight = 256
	// trafficLimit bounds the time of a run that nothing else ends.
	trafficLimit = time.Hour
)

func (d *Demo) traffic(ctx context.Context, cfg load.CallerConfig, rate float64) load.Report {
	caller := load.NewCaller(cfg, d.httpClient, d.sink)
	run := load.RunConfig{Concurrency: trafficInFlight, Rate: rate, Duration: trafficLimit}
	return load.NewRunner(run, load.ThroughNode(caller, promptOf(cfg.Name))).Run(ctx).Report(cfg.Name)
}

// callerNodes returns the nodes with the first one as the preferred one.
func (d *Demo) callerNodes() []load.Node {
	var nodes []load.Node
	for _, node := range d.system.Nodes() {
		nodes = append(nodes, load.Node{Name: node.Name, Address: node.CallerAddress})
	}
	return nodes
}

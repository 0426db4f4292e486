package main

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/cli"
	"github.com/sliplift/sliplift/internal/cluster"
	"github.com/sliplift/sliplift/internal/demo"
	"github.com/sliplift/sliplift/internal/history"
)

// clusterDemo runs the demo on a cluster in this process.
type clusterDemo struct{}

// demoHost is the host that the demo's users call from.
const demoHost = "users"

// RunDemo implements cli.DemoRunner.
func (clusterDemo) RunDemo(ctx context.Context, options cli.DemoOptions) (cli.DemoSummary, error) {
	started := time.Now()
	sink, closeSink, err := openSink(options.HistoryFile)
	if err != nil {
		return cli.DemoSummary{}, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := cluster.DefaultConfig(log, sink)
	config.Nodes, config.Engines = options.Nodes, options.Engines
	options.Progress("starting nodes and stand-ins")
	running, err := cluster.Start(config)
	if err != nil {
		return cli.DemoSummary{}, err
	}
	result, err := drive(ctx, running, log, sink, options)
	running.Close()
	if closeErr := closeSink(); err == nil {
		err = closeErr
	}
	if err != nil {
		return cli.DemoSummary{}, err
	}
	summary := summarize(result)
	summary.Nodes, summary.Engines, summary.Steps = options.Nodes, options.Engines, options.Steps
	summary.History = history.CheckEvents("demo", sink.Events())
	summary.Seconds = time.Since(started).Seconds()
	return summary, nil
}

func drive(ctx context.Context, running *cluster.Cluster, log logrus.FieldLogger, sink history.Sink, options cli.DemoOptions) (demo.Result, error) {
	config := demo.DefaultConfig()
	config.Engines, config.Previews, config.Bookings = running.Backends()
	config.Model = cluster.Model
	config.Steps = options.Steps
	config.Progress = options.Progress
	client := running.HTTPClient(demoHost)
	return demo.NewDemo(log, config, demoSystem{running}, client, running.Platform(demoHost), sink).Run(ctx)
}

// demoSystem shows a cluster to the demo.
type demoSystem struct{ *cluster.Cluster }

// Nodes implements demo.System.
func (s demoSystem) Nodes() []demo.Node {
	var nodes []demo.Node
	for _, running := range s.Cluster.Nodes() {
		nodes = append(nodes, demo.Node{Name: running.Name, CallerAddress: running.Caller, OperatorAddress: running.Operator})
	}
	return nodes
}

// openSink returns a sink whose events can be judged, and which keeps them in
// a file too where one is named.
func openSink(path string) (*demoSink, func() error, error) {
	sink := &demoSink{}
	if path == "" {
		return sink, func() error { return nil }, nil
	}
	file, err := history.NewFileSink(path)
	if err != nil {
		return nil, nil, err
	}
	sink.file = file
	return sink, file.Close, nil
}

// demoSink keeps events in memory and, optionally, in a file.
type demoSink struct {
	history.MemorySink
	file history.Sink
}

// Record implements history.Sink.
func (s *demoSink) Record(event history.Event) {
	if event.AtMicros == 0 {
		event.AtMicros = time.Now().UnixMicro()
	}
	s.MemorySink.Record(event)
	if s.file != nil {
		s.file.Record(event)
	}
}

func summarize(result demo.Result) cli.DemoSummary {
	summary := cli.DemoSummary{
		Live:      result.Previews.Completed,
		LiveP99MS: result.Previews.P99MS,
		Bookings:  result.Bookings.Completed,
		Refused:   result.Previews.Refused + result.Bookings.Refused,
	}
	var total time.Duration
	for _, batch := range result.Batches {
		summary.Samples += len(batch.Samples)
		summary.OldestLag = max(summary.OldestLag, batch.OldestLag)
		total += batch.Last
	}
	if len(result.Batches) > 0 {
		summary.StepSeconds = total.Seconds() / float64(len(result.Batches))
	}
	return summary
}

package storenode

import (
	"context"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/forward"
	"github.com/sliplift/sliplift/internal/gatewaynode/metering"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/pause"
)

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

// Command slipliftd is the node of sliplift, the process beside each caller;
// see its --help.
package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/daemon"
	"github.com/sliplift/sliplift/internal/meshnode/node"
	"github.com/sliplift/sliplift/internal/settings"
)

func main() {
	cfg := &settings.Node{}
	os.Exit(daemon.Main(daemon.Program{
		Name:      settings.NodeProgram,
		Settings:  cfg,
		Telemetry: &cfg.Telemetry,
		Run: func(ctx context.Context, lg *logrus.Logger, sink history.Sink) error {
			defer raiseHeapFloor()()
			return run(ctx, cfg, lg, sink)
		},
	}))
}

// run serves until ctx ends, and then stops in order.
func run(ctx context.Context, cfg *settings.Node, lg *logrus.Logger, sink history.Sink) error {
	config := node.Config{Settings: *cfg, Incarnation: time.Now().UnixMicro(), Log: lg, Sink: sink}
	if err := listen(&config); err != nil {
		return err
	}
	running, err := node.New(config)
	if err != nil {
		return err
	}
	running.Start()
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-running.Failed():
	}
	stopping, cancelStop := context.WithTimeout(context.Background(), cfg.StopTimeout)
	defer cancelStop()
	running.Stop(stopping)
	return failure
}

// listen opens the node's ports.
func listen(config *node.Config) error {
	ports := []struct {
		key      string
		address  string
		listener *net.Listener
	}{
		{"caller-address", config.Settings.CallerAddress, &config.CallerListener},
		{"operator-address", config.Settings.OperatorAddress, &config.OperatorListener},
		{"peer-address", config.Settings.PeerAddress, &config.PeerListener},
	}
	for _, port := range ports {
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			return errs.Errorf("%s: %w", port.key, err)
		}
		*port.listener = listener
	}
	return nil
}

// Command slipliftd is the node of sliplift, the process beside each caller;
// see its --help.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/node"
	"github.com/sliplift/sliplift/internal/settings"
	"github.com/sliplift/sliplift/internal/telemetry"
)

// exitFailed is the exit code of a process that could not start or go on.
const exitFailed = 1

func main() {
	cfg := &settings.Node{}
	code, proceed := settings.Start(settings.NodeProgram, telemetry.Version(), os.Args[1:], cfg, os.Stdout, os.Stderr)
	if !proceed {
		os.Exit(code)
	}
	lg, err := telemetry.NewLogger(cfg.LogLevel, telemetry.Format(cfg.LogFormat), os.Stderr)
	if err != nil {
		panic("settings let through: " + err.Error())
	}
	if err := run(cfg, lg); err != nil {
		lg.WithError(err).Error("stopped")
		os.Exit(exitFailed)
	}
}

// run serves until the process is told to stop, and then stops in order.
func run(cfg *settings.Node, lg *logrus.Logger) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	sink, closeSink, err := telemetry.OpenHistory(lg, cfg.HistoryFile)
	if err != nil {
		return errs.Errorf("history-file: %w", err)
	}
	defer closeSink()
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

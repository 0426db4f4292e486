// Command sliplift-emulator runs stand-ins of engines, applications and the
// platform's services, as its settings file lists them; see its --help.
package main

import (
	"context"
	"net"
	"net/http"
	"os"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/emulator"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/daemon"
	"github.com/sliplift/sliplift/internal/settings"
)

func main() {
	cfg := &settings.Emulator{}
	os.Exit(daemon.Main(daemon.Program{
		Name:      settings.EmulatorProgram,
		Settings:  cfg,
		Telemetry: &cfg.Telemetry,
		Run: func(ctx context.Context, lg *logrus.Logger, sink history.Sink) error {
			return run(ctx, cfg, lg, sink)
		},
	}))
}

// run serves until ctx ends.
func run(ctx context.Context, cfg *settings.Emulator, lg *logrus.Logger, sink history.Sink) error {
	listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	running, err := emulator.Start(emulatorConfig(cfg), listen, &http.Client{}, sink, lg)
	if err != nil {
		return err
	}
	lg.WithFields(logrus.Fields{
		"control":      running.ControlAddress(),
		"engines":      len(running.Engines()),
		"applications": len(running.Applications()),
	}).Info("serving")
	<-ctx.Done()
	lg.Info("stopping")
	return running.Close()
}

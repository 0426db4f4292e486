// Command sliplift-emulator runs stand-ins of engines, applications and the
// platform's services, as its settings file lists them; see its --help.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/emulator"
	"github.com/sliplift/sliplift/internal/settings"
	"github.com/sliplift/sliplift/internal/telemetry"
)

// exitFailed is the exit code of a process that could not start or stop.
const exitFailed = 1

func main() {
	cfg := &settings.Emulator{}
	code, proceed := settings.Start(settings.EmulatorProgram, telemetry.Version(), os.Args[1:], cfg, os.Stdout, os.Stderr)
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

// run serves until the process is told to stop.
func run(cfg *settings.Emulator, lg *logrus.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	sink, closeSink, err := telemetry.OpenHistory(lg, cfg.HistoryFile)
	if err != nil {
		return errs.Errorf("history-file: %w", err)
	}
	defer closeSink()
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

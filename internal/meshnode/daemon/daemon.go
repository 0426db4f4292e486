// Package daemon is the frame that the main functions of long-running programs
// share: settings, log, history, and the signals that end a process.
//
// A program may rely on this: its Run is called once at most, with settings
// within their bounds and a history that is open; the history is closed only
// after Run has returned, with every event that was recorded until then.
package daemon

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/settings"
	"github.com/sliplift/sliplift/internal/signals"
	"github.com/sliplift/sliplift/internal/telemetry"
)

// exitFailed is the exit code of a process that could not start, go on or stop.
const exitFailed = 1

// Program is what differs between the programs.
type Program struct {
	// Name is the program's name in messages.
	Name string
	// Settings are filled from the command line, and Telemetry is the part of
	// them that says where the log and the history go.
	Settings  settings.Settings
	Telemetry *settings.Telemetry
	// Run serves until ctx ends, which a SIGINT or SIGTERM causes, and then stops
	// in order. A SIGHUP is logged and changes nothing, since all settings are read
	// at the start.
	Run func(ctx context.Context, lg *logrus.Logger, sink history.Sink) error
}

// Main runs the program with the arguments of the process and returns the exit
// code: 0 when it ended in order, 1 when it failed, 2 when its settings were
// refused.
func Main(program Program) int {
	// First, since a signal that comes before ends the process.
	handler := signals.Handle()
	code, proceed := settings.Start(program.Name, telemetry.Version(), os.Args[1:], program.Settings, os.Stdout, os.Stderr)
	if !proceed {
		return code
	}
	lg, err := telemetry.NewLogger(program.Telemetry.LogLevel, telemetry.Format(program.Telemetry.LogFormat), os.Stderr)
	if err != nil {
		panic("settings let through: " + err.Error())
	}
	handler.OnHangup(func() { lg.Info("SIGHUP ignored: settings are read at the start") })
	if err := run(handler.Stop(), program, lg); err != nil {
		lg.WithError(err).Error("stopped")
		return exitFailed
	}
	return 0
}

func run(ctx context.Context, program Program, lg *logrus.Logger) error {
	sink, closeSink, err := telemetry.OpenHistory(lg, program.Telemetry.HistoryFile)
	if err != nil {
		return errs.Errorf("history-file: %w", err)
	}
	defer closeSink()
	return program.Run(ctx, lg, sink)
}

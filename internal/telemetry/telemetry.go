// Package telemetry builds what every process of the project writes about
// itself: the log, the metrics registry and its version.
package telemetry

import (
	"io"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs/v2"
)

// Format is the format of log entries.
type Format string

const (
	// FormatText writes one entry a line for people.
	FormatText Format = "text"
	// FormatJSON writes one JSON object a line for log collectors.
	FormatJSON Format = "json"
)

// timestampFormat is RFC 3339 with milliseconds.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes entries of at least level (error,
// warning, info, debug) to writer.
func NewLogger(level string, format Format, writer io.Writer) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errs.Errorf("log level %q: must be error, warning, info or debug", level)
	}
	lg := logrus.New()
	lg.SetOutput(writer)
	lg.SetLevel(parsed)
	switch format {
	case FormatText:
		lg.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, TimestampFormat: timestampFormat, DisableColors: true})
	case FormatJSON:
		lg.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	default:
		return nil, errs.Errorf("log format %q: must be text or json", format)
	}
	return lg, nil
}

// NewRegistry returns a metrics registry that holds the collectors of the Go
// runtime and of the process. Each process, and each node of a test, has its
// own.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// Version returns the module's version, and the revision it was built from
// where the build recorded one.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	return version + " " + info.GoVersion
}

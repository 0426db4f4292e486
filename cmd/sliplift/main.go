// Command sliplift is the operator's and engineer's tool; see sliplift --help.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/sliplift/sliplift/internal/cli"
	"github.com/sliplift/sliplift/internal/telemetry"
)

// idleConnections is how many connections to one address are kept for reuse;
// a load test must not measure how long connecting takes.
const idleConnections = 1024

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	transport := &http.Transport{MaxIdleConns: idleConnections, MaxIdleConnsPerHost: idleConnections}
	env := &cli.Environment{
		Stdin:      os.Stdin,
		Stdout:     os.Stdout,
		Stderr:     os.Stderr,
		HTTPClient: &http.Client{Transport: transport},
		Version:    telemetry.Version(),
		Demo:       clusterDemo{},
	}
	os.Exit(cli.Run(ctx, env, os.Args[1:]))
}

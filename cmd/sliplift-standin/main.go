// Command sliplift-standin runs the stand-in of the users' platform on this
// machine, for trying sliplift-gateway out. It is no part of a deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/sliplift/sliplift/platform/standin"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Address  string `long:"store-address" default:"127.0.0.1:7400" description:"IP:port of the metadata store; samplers take free ports"`
	Samplers int    `long:"samplers" default:"4" description:"number of model samplers"`
	Apps     int    `long:"applications" default:"2" description:"number of application instances"`
}

func main() {
	var chosen options
	if _, err := flags.Parse(&chosen); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	local, err := standin.NewLocal(chosen.Address, chosen.Samplers, chosen.Apps)
	if err == nil {
		fmt.Println("store at", chosen.Address)
		select {
		case <-ctx.Done():
		case err = <-local.Failed():
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sliplift-standin:", err)
		os.Exit(exitFailed)
	}
}

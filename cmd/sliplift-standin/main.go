// Command sliplift-standin runs the stand-in of the users' platform on this
// machine: the metadata store, samplers, application instances, and a
// configuration, for trying sliplift-gateway out. It is no part of a deployment.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/sliplift/sliplift/internal/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/platform/standin"
)

type options struct {
	Address  string `long:"store-address" default:"127.0.0.1:7400" description:"IP:port of the metadata store; samplers take the ports above"`
	Samplers int    `long:"samplers" default:"4" description:"number of model samplers"`
	Apps     int    `long:"applications" default:"2" description:"number of application instances"`
}

func main() {
	var chosen options
	if _, err := flags.Parse(&chosen); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := run(ctx, chosen); err != nil {
		fmt.Fprintln(os.Stderr, "sliplift-standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, chosen options) error {
	rows := rowstoretest.New()
	host, _, err := net.SplitHostPort(chosen.Address)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	if _, err := serve(chosen.Address, standin.NewStore(rows), failed); err != nil {
		return err
	}
	for i := range chosen.Samplers {
		if err := addSampler(rows, host, fmt.Sprintf("engine-%d", i), "pool", map[string]int64{"model": 1}, failed); err != nil {
			return err
		}
	}
	for i := range chosen.Apps {
		if err := addSampler(rows, host, fmt.Sprintf("app-%d", i), "app", nil, failed); err != nil {
			return err
		}
	}
	config, err := json.Marshal(configuration())
	if err != nil {
		return err
	}
	rows.Put("op", "", "config", config)
	fmt.Println("store at", chosen.Address, "with routes /app/ and /jobs/ of host h.example")
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// serve answers on an address (port 0 takes a free one) and returns it.
func serve(address string, handler http.Handler, failed chan<- error) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return listener.Addr().String(), nil
}

// lateHandler lets a sampler know its address before it is made.
type lateHandler struct{ handler http.Handler }

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

func addSampler(rows *rowstoretest.Store, host, id, service string, versions map[string]int64, failed chan<- error) error {
	late := &lateHandler{handler: http.NotFoundHandler()}
	address, err := serve(net.JoinHostPort(host, "0"), late, failed)
	if err != nil {
		return err
	}
	late.handler = standin.NewSampler(rows, id, service, address, "local", versions)
	return nil
}

func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "app", "host": "h.example", "pathPrefix": "/app/", "kind": "safe", "service": "app", "timeoutMs": 2000, "targetLatencyMs": 200, "maxAttempts": 2},
			{"name": "jobs", "host": "h.example", "pathPrefix": "/jobs/", "kind": "rollout", "service": "pool", "timeoutMs": 10000, "targetLatencyMs": 400, "maxAttempts": 3, "maxQueueS": 60.0},
		},
		"services": []map[string]any{{"name": "app"}, {"name": "pool"}},
		"limits":   map[string]any{"maxBodyBytes": 1 << 20},
	}
}

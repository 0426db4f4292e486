package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/control"
	"github.com/sliplift/sliplift/internal/engine"
)

// ReportSlope is the cost of reading one load report over HTTP.
type ReportSlope struct {
	Cost     UnitCost `json:"cost"`
	BytesOut float64  `json:"bytes_out"`
	BytesIn  float64  `json:"bytes_in"`
}

// HolderSlope is the cost of one round of a lease holder over a shard, without
// the reading of its reports.
type HolderSlope struct {
	Backends int     `json:"backends"`
	Micros   float64 `json:"round_us"`
	Rounds   float64 `json:"rounds"`
}

// countedBytes counts what goes over connections.
type countedBytes struct{ in, out atomic.Int64 }

func (c *countedBytes) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counted: c}, nil
}

type countedConn struct {
	net.Conn
	counted *countedBytes
}

// Read implements net.Conn.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counted.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counted.out.Add(int64(n))
	return n, err
}

// reportWorkers read reports at one time, about as many as a shard has.
const reportWorkers = 8

func measureReport(ctx context.Context, cfg Config) (ReportSlope, error) {
	stand, err := newCannedEngine()
	if err != nil {
		return ReportSlope{}, err
	}
	var counted countedBytes
	transport := engine.NewTransport(counted.dial)
	client := engine.NewClient(&http.Client{Transport: transport})
	whole, err := medianWork(slopeRuns, func() (workCost, error) {
		return runWork(ctx, reportWorkers, cfg.SlopeTime/slopeRuns, func(int) error {
			_, err := client.Load(context.WithoutCancel(ctx), stand.address())
			return err
		})
	})
	transport.CloseIdleConnections()
	if err != nil {
		return ReportSlope{}, errs.Combine(err, stand.close())
	}
	bare, err := bareCost(ctx, cfg, stand.address(), reportWorkers, bareRequest(http.MethodGet, "/v1/load", ""))
	slope := ReportSlope{
		Cost:     unitCost(whole, bare),
		BytesOut: float64(counted.out.Load()) / float64(max(1, whole.count)),
		BytesIn:  float64(counted.in.Load()) / float64(max(1, whole.count)),
	}
	return slope, errs.Combine(err, stand.close())
}

// bareCost returns the cost of the exchange between a bare client and a canned
// engine, workers at a time.
func bareCost(ctx context.Context, cfg Config, address string, workers int, request []byte) (workCost, error) {
	clients := make([]*bareClient, workers)
	for i := range clients {
		client, err := newBareClient(ctx, address)
		if err != nil {
			return workCost{}, err
		}
		defer client.conn.Close()
		clients[i] = client
	}
	return medianWork(slopeRuns, func() (workCost, error) {
		return runWork(ctx, workers, cfg.SlopeTime/slopeRuns, func(worker int) error { return clients[worker].exchange(request) })
	})
}

// everyLease holds all leases.
type everyLease struct{}

// Held implements control.Lessor.
func (everyLease) Held(string) (int64, bool) { return 1, true }

// countedRounds counts rounds by their first question for the machine list.
type countedRounds struct{ rounds atomic.Int64 }

// Leaving implements control.MachineWatch.
func (c *countedRounds) Leaving() map[string]bool {
	c.rounds.Add(1)
	return nil
}

// measureHolder has one holder go round a shard of 50 samplers without pause.
func measureHolder(ctx context.Context, cfg Config) HolderSlope {
	const backends = 50
	pool := stateOf(backends)
	rounds := &countedRounds{}
	var addresses []string
	for _, b := range pool.Current().Pools[poolName].Backends {
		addresses = append(addresses, b.Address)
	}
	settings := control.DefaultConfig("holder")
	settings.Interval = time.Millisecond
	settings.SettledReports = 0 // every round reads the shard
	controller := control.NewController(settings, quietLogger(), everyLease{}, pool, newSamplers(cfg, addresses), rounds)
	ctx, cancel := context.WithTimeout(ctx, cfg.SlopeTime)
	defer cancel()
	began := processTime()
	controller.Run(ctx)
	used := processTime() - began
	count := float64(max(1, rounds.rounds.Load()))
	return HolderSlope{Backends: backends, Micros: microseconds(used) / count, Rounds: count}
}

package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/backend"
	"github.com/sliplift/sliplift/internal/configlog"
	"github.com/sliplift/sliplift/internal/dispatch"
	"github.com/sliplift/sliplift/internal/engine"
	"github.com/sliplift/sliplift/internal/gateway"
	"github.com/sliplift/sliplift/internal/pause"
)

// GatewaySlope is the cost of live requests through a gateway, whose callers
// and engine are bare.
type GatewaySlope struct {
	// Request is one request whose answer is one frame.
	Request UnitCost `json:"request"`
	// FrameTokens is the number of tokens of a frame. Frame is each further
	// frame where they come without pause, PacedFrame where they come one by one,
	// PacedStreams streams at a time.
	FrameTokens  int      `json:"frame_tokens"`
	Frame        UnitCost `json:"frame"`
	PacedFrame   UnitCost `json:"paced_frame"`
	PacedStreams int      `json:"paced_streams"`
	// StreamBytes is the memory of one live stream: heap and stacks.
	StreamBytes float64 `json:"stream_bytes"`
}

const (
	gatewayWorkers = 8
	manyFrames     = 100
	pacedStreams   = 120
	pacedFrames    = 25
	pacedInterval  = 80 * time.Millisecond
)

// gatewayBench is a gateway with its dispatcher between bare callers and a
// canned engine.
type gatewayBench struct {
	cfg        Config
	stand      *cannedEngine
	transport  *http.Transport
	set        *backend.Set
	dispatcher *dispatch.Dispatcher
	server     *gateway.Server
	address    string
	served     chan error
	generate   []byte
	live       []byte
}

func newGatewayBench(ctx context.Context, cfg Config) (*gatewayBench, error) {
	stand, err := newCannedEngine()
	if err != nil {
		return nil, err
	}
	b := &gatewayBench{cfg: cfg, stand: stand, transport: engine.NewTransport(nil), served: make(chan error, 1)}
	lg := quietLogger()
	client := engine.NewClient(&http.Client{Transport: b.transport})
	b.set = backend.NewSet(lg, backend.DefaultConfig("node", zoneOf(0), regionOf(0)), client)
	pool := configlog.Pool{Name: poolName, Kind: configlog.PoolEngines, Backends: []configlog.Backend{
		{Name: "engine", Address: stand.address(), Zone: zoneOf(0), Region: regionOf(0)},
	}}
	b.set.Apply(&configlog.State{Revision: 1, Pools: map[string]configlog.Pool{poolName: pool}})
	b.dispatcher, err = dispatch.NewDispatcher(lg, dispatch.DefaultConfig("node", zoneOf(0)), client, b.set, nil)
	if err != nil {
		return nil, ErrSetup.Wrap(err)
	}
	b.server = gateway.NewServer(lg, gateway.Config{}, gateway.Services{Live: b.dispatcher, Pools: b.set}, prometheus.NewRegistry())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, ErrSetup.Wrap(err)
	}
	b.address = listener.Addr().String()
	go func() { b.served <- b.server.Serve(listener) }()
	b.live = bareRequest(http.MethodPost, "/v1/requests", fmt.Sprintf(`{"pool":%q,"deadline_ms":20000,"repeatable":true,"prompt":"Draft a listing title.","max_tokens":4096}`, poolName))
	b.generate = bareRequest(http.MethodPost, "/v1/generate", `{"request_id":"0192d3a0-0000-7000-8000-000000000000","attempt":1,"node":"node","pool":"language","priority":0,"prompt":"Draft a listing title.","max_tokens":4096}`)
	pause.For(ctx, time.Second) // until the engine's first report is in
	return b, nil
}

func (b *gatewayBench) close() error {
	err := b.server.Close()
	<-b.served
	b.dispatcher.Close()
	b.set.Close()
	b.transport.CloseIdleConnections()
	return errs.Combine(err, b.stand.close())
}

func measureGateway(ctx context.Context, cfg Config) (GatewaySlope, error) {
	b, err := newGatewayBench(ctx, cfg)
	if err != nil {
		return GatewaySlope{}, err
	}
	slope, err := b.measure(ctx)
	return slope, errs.Combine(err, b.close())
}

func (b *gatewayBench) measure(ctx context.Context) (GatewaySlope, error) {
	slope := GatewaySlope{FrameTokens: frameTokens, PacedStreams: pacedStreams}
	b.stand.setStream(1, 0)
	one, oneBare, err := b.costs(ctx, gatewayWorkers)
	if err != nil {
		return slope, err
	}
	slope.Request = unitCost(one, oneBare)
	b.stand.setStream(manyFrames, 0)
	many, manyBare, err := b.costs(ctx, gatewayWorkers)
	if err != nil {
		return slope, err
	}
	slope.Frame = perFrame(many, manyBare, one, oneBare, manyFrames)
	b.stand.setStream(pacedFrames, pacedInterval)
	before := memoryInUse()
	memory := make(chan float64, 1)
	go func() {
		time.Sleep(pacedInterval * pacedFrames / 2)
		memory <- memoryInUse()
	}()
	if _, err := bareRun(ctx, b.address, pacedStreams, 1, b.live); err != nil {
		return slope, err
	}
	slope.StreamBytes = (<-memory - before) / pacedStreams
	paced, pacedBare, err := b.pacedCosts(ctx)
	slope.PacedFrame = perFrame(paced, pacedBare, one, oneBare, pacedFrames)
	return slope, err
}

// costs returns the cost of a request through the gateway, and of two bare
// exchanges: that of the caller and that with the engine.
func (b *gatewayBench) costs(ctx context.Context, workers int) (whole, bare workCost, err error) {
	if whole, err = bareCost(ctx, b.cfg, b.address, workers, b.live); err != nil {
		return whole, bare, err
	}
	engineSide, err := bareCost(ctx, b.cfg, b.stand.address(), workers, b.generate)
	if err != nil {
		return whole, bare, err
	}
	callerSide, err := bareCost(ctx, b.cfg, b.stand.address(), workers, bareRequest(http.MethodGet, "/v1/load", ""))
	return whole, workCost{micros: engineSide.micros + callerSide.micros}, err
}

// pacedCosts runs each stream twice, through the gateway and bare.
func (b *gatewayBench) pacedCosts(ctx context.Context) (whole, bare workCost, err error) {
	const rounds = 2
	if whole, err = bareRun(ctx, b.address, pacedStreams, rounds, b.live); err != nil {
		return whole, bare, err
	}
	bare, err = bareRun(ctx, b.stand.address(), pacedStreams, rounds, b.generate)
	return whole, bare, err
}

// bareRun has each worker do the exchange a number of times.
func bareRun(ctx context.Context, address string, workers, rounds int, request []byte) (workCost, error) {
	clients := make([]*bareClient, workers)
	for i := range clients {
		client, err := newBareClient(ctx, address)
		if err != nil {
			return workCost{}, err
		}
		defer client.conn.Close()
		clients[i] = client
	}
	began := processTime()
	failures := make([]error, workers)
	runAll(workers, func(worker int) {
		for range rounds {
			failures[worker] = errs.Combine(failures[worker], clients[worker].exchange(request))
		}
	})
	used := processTime() - began
	count := int64(workers * rounds)
	return workCost{micros: microseconds(used) / float64(count), count: count}, errs.Combine(failures...)
}

// perFrame returns the cost of each frame beyond the first.
func perFrame(many, manyBare, one, oneBare workCost, frames int) UnitCost {
	further := float64(frames - 1)
	whole := workCost{micros: (many.micros - one.micros) / further, count: many.count * int64(frames)}
	bare := workCost{micros: (manyBare.micros - oneBare.micros) / further}
	return unitCost(whole, bare)
}

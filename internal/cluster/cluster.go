package cluster

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/emulator"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/node"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
	"github.com/sliplift/sliplift/internal/settings"
)

// ErrUnknownNode says that no node of that name runs.
const ErrUnknownNode = errs.Tag("cluster: unknown node")

// emulatorHost is the host that the engines' own calls come from.
const emulatorHost = "emulator"

// Cluster is a running system. Its methods are safe for concurrent use.
type Cluster struct {
	config    Config
	emulator  *emulator.Emulator
	addresses storeclient.Addresses
	transport []*http.Transport

	mu          sync.Mutex
	nodes       map[string]*member
	incarnation int64
}

// member is a node that runs, with where it is reached.
type member struct {
	node     *node.Node
	settings settings.Node
}

// NodeAddresses is where a running node is reached.
type NodeAddresses struct {
	Name     string
	Caller   string
	Operator string
	Peer     string
}

// Start starts the stand-ins and the nodes.
func Start(config Config) (*Cluster, error) {
	c := &Cluster{config: config, nodes: map[string]*member{}}
	emulatorConfig := config.emulatorConfig()
	listen := func(address string) (net.Listener, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		return config.Network.Listen(host, portService)
	}
	running, err := emulator.Start(emulatorConfig, listen, c.HTTPClient(emulatorHost), config.Sink, config.Log)
	if err != nil {
		return nil, err
	}
	c.emulator = running
	c.addresses = running.ServiceAddresses(emulatorConfig)
	if err := c.startNodes(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// startNodes opens all peer ports before the first node starts, so that each
// knows the others' addresses.
func (c *Cluster) startNodes() error {
	peers := map[string]net.Listener{}
	for i := 1; i <= c.config.Nodes; i++ {
		listener, err := c.config.Network.Listen(NodeName(i), portPeer)
		if err != nil {
			return err
		}
		peers[NodeName(i)] = listener
	}
	var seeds []settings.Seed
	for _, name := range slices.Sorted(maps.Keys(peers)) {
		seeds = append(seeds, settings.Seed{Name: name, Address: peers[name].Addr().String()})
	}
	for i := 1; i <= c.config.Nodes; i++ {
		if err := c.startNode(i, peers[NodeName(i)], seeds); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts the i-th node again, or a new one, as a new incarnation.
func (c *Cluster) StartNode(i int) error {
	listener, err := c.config.Network.Listen(NodeName(i), portPeer)
	if err != nil {
		return err
	}
	var seeds []settings.Seed
	for _, other := range c.Nodes() {
		seeds = append(seeds, settings.Seed{Name: other.Name, Address: other.Peer})
	}
	return c.startNode(i, listener, seeds)
}

func (c *Cluster) startNode(i int, peerListener net.Listener, seeds []settings.Seed) error {
	cfg, err := c.config.nodeSettings(i)
	if err != nil {
		return err
	}
	caller, err := c.config.Network.Listen(cfg.Name, portCaller)
	if err != nil {
		return err
	}
	operator, err := c.config.Network.Listen(cfg.Name, portOperator)
	if err != nil {
		return err
	}
	cfg.CallerAddress = caller.Addr().String()
	cfg.OperatorAddress = operator.Addr().String()
	cfg.PeerAddress = peerListener.Addr().String()
	cfg.TableAddress = c.addresses.Table
	cfg.ObjectsAddress = c.addresses.Objects
	cfg.WeightsAddress = c.addresses.Weights
	cfg.MachinesAddress = c.addresses.Machines
	cfg.ScoringAddress = c.addresses.Scoring
	cfg.Seeds = slices.DeleteFunc(slices.Clone(seeds), func(s settings.Seed) bool { return s.Name == cfg.Name })
	c.mu.Lock()
	c.incarnation++
	incarnation := c.incarnation
	c.mu.Unlock()
	started, err := node.New(node.Config{
		Settings:         cfg,
		Incarnation:      incarnation,
		CallerListener:   caller,
		OperatorListener: operator,
		PeerListener:     peerListener,
		Dial:             c.config.Network.Dialer(cfg.Name),
		Log:              c.config.Log,
		Sink:             c.config.Sink,
		Faults:           c.config.Faults,
	})
	if err != nil {
		return err
	}
	started.Start()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[cfg.Name] = &member{node: started, settings: cfg}
	return nil
}

// Nodes lists the running nodes by name.
func (c *Cluster) Nodes() []NodeAddresses {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []NodeAddresses
	for _, name := range slices.Sorted(maps.Keys(c.nodes)) {
		cfg := c.nodes[name].settings
		all = append(all, NodeAddresses{Name: name, Caller: cfg.CallerAddress, Operator: cfg.OperatorAddress, Peer: cfg.PeerAddress})
	}
	return all
}

// Node returns a running node.
func (c *Cluster) Node(name string) (*node.Node, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.nodes[name]
	if !ok {
		return nil, ErrUnknownNode.Errorf("%s", name)
	}
	return found.node, nil
}

// StopNode stops a node as SIGTERM does, and returns when it has ended.
func (c *Cluster) StopNode(ctx context.Context, name string) error {
	stopped, err := c.Node(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	stopped.Stop(ctx)
	c.forget(name)
	return nil
}

// KillNode ends a node as SIGKILL does.
func (c *Cluster) KillNode(name string) error {
	killed, err := c.Node(name)
	if err != nil {
		return err
	}
	c.config.Network.Kill(name)
	killed.Kill()
	c.forget(name)
	return nil
}

func (c *Cluster) forget(name string) {
	c.mu.Lock()
	delete(c.nodes, name)
	c.mu.Unlock()
	c.config.Sink.Record(history.Event{Kind: history.KindNodeEnded, Process: name})
}

// Emulator returns the stand-ins, for their faults.
func (c *Cluster) Emulator() *emulator.Emulator { return c.emulator }

// Platform returns a client of the platform's services from a host.
func (c *Cluster) Platform(host string) *storeclient.Client {
	return storeclient.NewClient(c.HTTPClient(host), c.addresses)
}

// HTTPClient returns a client whose connections come from a host.
func (c *Cluster) HTTPClient(host string) *http.Client {
	transport := engine.NewTransport(c.config.Network.Dialer(host))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transport = append(c.transport, transport)
	return &http.Client{Transport: transport}
}

// Backends returns the back ends of the three pools, for the configuration.
func (c *Cluster) Backends() (engines, previews, bookings []configlog.Backend) {
	for i, name := range c.emulator.Engines() {
		engines = append(engines, c.config.backend(name, c.emulator.Address(name), i))
	}
	for i := range c.config.Previews {
		name := applicationName(PreviewPool, i+1)
		previews = append(previews, c.config.backend(name, c.emulator.Address(name), i))
	}
	for i := range c.config.Bookings {
		name := applicationName(BookingPool, i+1)
		bookings = append(bookings, c.config.backend(name, c.emulator.Address(name), i))
	}
	return engines, previews, bookings
}

// Close ends everything at once.
func (c *Cluster) Close() {
	for _, running := range c.Nodes() {
		if found, err := c.Node(running.Name); err == nil {
			found.Kill()
			c.forget(running.Name)
		}
	}
	if err := c.emulator.Close(); err != nil {
		c.config.Log.WithError(err).Warn("the stand-ins did not close cleanly")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, transport := range c.transport {
		transport.CloseIdleConnections()
	}
}

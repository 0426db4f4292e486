package faulttest

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/cluster"
	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
)

// errDead is what a killed host gets for every call.
const errDead = errs.Tag("faulttest: the process is dead")

// Network is an in-memory network that sees the requests of its hosts. It can
// freeze a host: nothing that the host sends leaves and nothing that is sent to
// it arrives until it is thawed, while its connections stay open and its clock
// goes on. That is what a paused process looks like to all others. It is safe
// for concurrent use.
type Network struct {
	memory *memnet.Network

	mu     sync.Mutex
	dead   map[string]bool
	frozen map[string]chan struct{}
	// hosts are all that ever listened or called.
	hosts    map[string]bool
	triggers []*trigger
	// committed is the highest position that a step's row was seen to give out.
	committed map[string]int64
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{
		memory:    memnet.NewNetwork(),
		dead:      map[string]bool{},
		frozen:    map[string]chan struct{}{},
		hosts:     map[string]bool{},
		committed: map[string]int64{},
	}
}

// Listen implements cluster.Network. A host that was killed lives again.
func (n *Network) Listen(host string, port cluster.Port) (net.Listener, error) {
	n.mu.Lock()
	n.hosts[host] = true
	delete(n.dead, host)
	n.mu.Unlock()
	inner, err := cluster.Memory{Network: n.memory}.Listen(host, port)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, network: n, host: host}, nil
}

// Dialer implements cluster.Network.
func (n *Network) Dialer(host string) engine.DialFunc {
	n.mu.Lock()
	n.hosts[host] = true
	n.mu.Unlock()
	dial := n.memory.Dialer(host)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := n.pass(ctx.Done(), host); err != nil {
			return nil, err
		}
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConnection(n, inner, host), nil
	}
}

// Kill implements cluster.Network. What the host does from now on reaches
// nobody, also before its goroutines have ended.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	n.dead[host] = true
	n.mu.Unlock()
	n.memory.Kill(host)
	n.Thaw(host)
}

// Cut drops the link between two hosts.
func (n *Network) Cut(a, b string) { n.memory.Cut(a, b) }

// Heal restores the link between two hosts.
func (n *Network) Heal(a, b string) { n.memory.Heal(a, b) }

// Isolate cuts a host off from all others but the named ones, and Rejoin ends
// that.
func (n *Network) Isolate(host string, but ...string) {
	n.forOthers(host, func(host, other string) {
		if !slices.Contains(but, other) {
			n.memory.Cut(host, other)
		}
	})
}

// Rejoin restores the links of a host.
func (n *Network) Rejoin(host string) { n.forOthers(host, n.memory.Heal) }

func (n *Network) forOthers(host string, change func(a, b string)) {
	n.mu.Lock()
	var others []string
	for other := range n.hosts {
		if other != host {
			others = append(others, other)
		}
	}
	n.mu.Unlock()
	for _, other := range others {
		change(host, other)
	}
}

// Freeze holds everything that the host sends and receives until Thaw.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Frozen lists the frozen hosts.
func (n *Network) Frozen() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.frozen))
}

// Thaw lets a frozen host go on.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if thawed, ok := n.frozen[host]; ok {
		close(thawed)
		delete(n.frozen, host)
	}
}

// pass returns once the host is not frozen, with an error if it is dead or gone
// meanwhile.
func (n *Network) pass(gone <-chan struct{}, host string) error {
	for {
		n.mu.Lock()
		thawed, dead := n.frozen[host], n.dead[host]
		n.mu.Unlock()
		if dead {
			return errDead.Errorf("%s", host)
		}
		if thawed == nil {
			return nil
		}
		select {
		case <-thawed:
		case <-gone:
			return net.ErrClosed
		}
	}
}

type listener struct {
	net.Listener
	network *Network
	host    string
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: inner, network: l.network, host: l.host, closed: make(chan struct{})}, nil
}

// connection is one end of a connection, at the host that holds it.
type connection struct {
	net.Conn
	network *Network
	host    string
	calls   bool
	once    sync.Once
	closed  chan struct{}

	mu sync.Mutex
	// request is what the caller sent last and has no answer to yet.
	request action
}

func newConnection(n *Network, inner net.Conn, host string) *connection {
	return &connection{Conn: inner, network: n, host: host, calls: true, closed: make(chan struct{})}
}

func (c *connection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *connection) Write(data []byte) (int, error) {
	if c.calls {
		if sent := c.network.classify(c.host, data); sent.kind != "" {
			c.setRequest(sent)
			c.network.strike(moment{phase: before, action: sent})
		}
	}
	if err := c.network.pass(c.closed, c.host); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *connection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if err != nil {
		return count, err
	}
	if c.calls {
		if answered := c.setRequest(action{}); answered.kind != "" {
			c.network.strike(moment{phase: after, action: answered})
		}
	}
	if err := c.network.pass(c.closed, c.host); err != nil {
		return 0, err
	}
	return count, nil
}

// setRequest notes what is under way and returns what was before.
func (c *connection) setRequest(next action) action {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.request
	c.request = next
	return last
}

package cluster

import (
	"net"
	"time"

	"github.com/sliplift/sliplift/internal/memnet"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
)

// Network is what a cluster runs over.
type Network interface {
	// Listen opens the port of a host.
	Listen(host string, port Port) (net.Listener, error)
	// Dialer returns the function by which a host opens connections.
	Dialer(host string) engine.DialFunc
	// Kill breaks all connections of a host, as the death of its process does.
	Kill(host string)
}

// Port names what a host listens for.
type Port string

const (
	portCaller   Port = "7000"
	portOperator Port = "7001"
	portPeer     Port = "7002"
	portService  Port = "80"
)

// Loopback is the network of the loopback interface; every port is a free one.
type Loopback struct{}

const dialTimeout = 2 * time.Second

// Listen implements Network.
func (Loopback) Listen(string, Port) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// Dialer implements Network.
func (Loopback) Dialer(string) engine.DialFunc {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}

// Kill implements Network; what a killed node closes itself is enough here.
func (Loopback) Kill(string) {}

// Memory is an in-memory network whose hosts are named after the processes.
type Memory struct{ *memnet.Network }

// Listen implements Network.
func (m Memory) Listen(host string, port Port) (net.Listener, error) {
	return m.Network.Listen(net.JoinHostPort(host, string(port)))
}

// Dialer implements Network.
func (m Memory) Dialer(host string) engine.DialFunc { return m.Network.Dialer(host) }

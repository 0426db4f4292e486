package processtest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// loopbackCount numbers the loopback addresses that this test process uses.
var loopbackCount atomic.Int64

// ownLoopback returns an address of 127.0.0.0/8 that only one test uses, where
// the system has them all. Connections go out from 127.0.0.1, so none can take a
// port there between its choice and the start of its process.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x7f, pid&0xff, 1+loopbackCount.Add(1)%250)
}

// ports hands out free ports by name. Each stays taken until its process is
// about to start, so that no other program gets it meanwhile.
type ports struct {
	t         *testing.T
	host      string
	listeners map[string]net.Listener
	addresses map[string]string
}

func newPorts(t *testing.T) *ports {
	p := &ports{t: t, host: ownLoopback(), listeners: map[string]net.Listener{}, addresses: map[string]string{}}
	if probe, err := net.Listen("tcp", net.JoinHostPort(p.host, "0")); err == nil {
		probe.Close()
	} else {
		p.host = "127.0.0.1"
	}
	t.Cleanup(func() {
		for _, listener := range p.listeners {
			listener.Close()
		}
	})
	return p
}

// address returns the address under the name, the same at each call.
func (p *ports) address(name string) string {
	p.t.Helper()
	if known, ok := p.addresses[name]; ok {
		return known
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(p.host, "0"))
	if err != nil {
		p.t.Fatal(err)
	}
	p.listeners[name] = listener
	p.addresses[name] = listener.Addr().String()
	return p.addresses[name]
}

// take returns the listeners that keep the ports, for the caller to close.
func (p *ports) take(names ...string) []net.Listener {
	var taken []net.Listener
	for _, name := range names {
		if listener, held := p.listeners[name]; held {
			taken = append(taken, listener)
			delete(p.listeners, name)
		}
	}
	return taken
}

// release frees the ports.
func (p *ports) release(names ...string) {
	for _, listener := range p.take(names...) {
		listener.Close()
	}
}

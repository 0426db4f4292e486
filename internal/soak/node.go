package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a gateway that runs as a process of its own, again and again.
type node struct {
	name, zone, program, directory string
	caller                         string
	store, duties                  *proxy
	settings                       string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
	// killed tells that the process was ended on purpose; stopping, that a planned stop
	// is under way.
	killed, stopping bool
	paused           bool
	// logStart is the length of the log when the process was started, in bytes; handles is set
	// once it is known that the process handles signals.
	logStart int64
	handles  bool
	// resumed is when the process last went on after a pause.
	resumed time.Time
	exits   []string
}

// Ports of nodes lie below those that connections take by themselves: while a node is
// down, nothing else may take its port.
const (
	portsFirst = 10000
	portsCount = 20000
	portTries  = 100
)

// loopback is the address that all of this process listens at. Runs that are played side by
// side have one each: while a node is down, a node of another run could take its port, and
// would answer its callers.
var loopback = loopbackOf(os.Getpid())

// loopbackOf returns an address of the loopback network by the number of a process.
func loopbackOf(process int) string {
	return fmt.Sprintf("127.%d.%d.1", 1+process>>8&0x7f, process&0xff)
}

// handed are the ports that freePorts has returned: a node listens only once its process
// has come up, and the next one must not get the same port meanwhile.
var handed sync.Map

// freePorts returns ports of the loopback interface that nothing listens on now, each of
// them once.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range portTries {
		if len(ports) == count {
			return ports, nil
		}
		port := portsFirst + rand.IntN(portsCount)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port))
		if err != nil {
			continue
		}
		if _, taken := handed.LoadOrStore(port, true); taken {
			_ = listener.Close()
			continue
		}
		// Held until all are chosen, so that none is chosen twice.
		defer func() { _ = listener.Close() }()
		ports = append(ports, port)
	}
	return nil, errNoPorts
}

var errNoPorts = errors.New("soak: no free ports")

// lastLine returns the last line of a node's log.
func (n *node) lastLine() string {
	content, err := os.ReadFile(n.log())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return lines[len(lines)-1]
}

// newNode lays a node's settings down; start begins its process.
func newNode(name, zone, program, directory string, store, duties *proxy) (*node, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, zone: zone, program: program, directory: directory, store: store, duties: duties,
		caller: fmt.Sprintf("%s:%d", loopback, ports[0]), settings: filepath.Join(directory, name+".ini"),
	}
	content := fmt.Sprintf(`name = %s
zone = %s
region = %s
caller-address = %s
ready-address = %s:%d
directory-address = %s:%d
peer-address = %s:%d
store-address = %s
config-apply = %s
lease-settle = %s
stop-grace = %s
duty-address = %s
duty = metering
duty-calls-per-second = 50
usage-window = %s
usage-within = %s
evacuate-within = %s
cold-overage = %g
cold-slack = %d
%s`, name, zone, regionOf(zone), n.caller, loopback, ports[1], loopback, ports[2], loopback, ports[3], store.address(), configApply, settleTime, stopGrace,
		duties.address(), usageWindow, usageWithin, evacuateWithin, coldOverage, coldSlack, zoneRegions())
	return n, os.WriteFile(n.settings, []byte(content), 0o600)
}

// start begins a process of the node.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	output, err := os.OpenFile(n.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if n.logStart, err = output.Seek(0, io.SeekEnd); err != nil {
		return err
	}
	process := exec.Command(n.program, "--config", n.settings)
	process.Stdout, process.Stderr = output, output
	// A soak that crashes leaves no process behind.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended, n.killed, n.stopping, n.paused, n.handles = process, ended, false, false, false, false
	go func() {
		defer close(ended)
		defer func() { _ = output.Close() }()
		n.noteEnd(process.Wait())
	}()
	return nil
}

// noteEnd records an end that nobody asked for, and a planned stop that did not end in order.
func (n *node) noteEnd(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	inOrder := n.stopping && (err == nil || !n.handlesSignals())
	if !n.killed && !inOrder {
		n.exits = append(n.exits, fmt.Sprintf("%s ended by itself: %v: %s", n.name, err, n.lastLine()))
	}
}

// send sends a signal; the lock is held. An error means that the process has ended.
func (n *node) send(signal syscall.Signal) {
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	n.killed = true
	n.send(syscall.SIGKILL)
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// pause lets the process stand still, resume go on.
func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = true
	n.send(syscall.SIGSTOP)
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused, n.resumed = false, time.Now()
	n.send(syscall.SIGCONT)
}

// stop asks the process to stop in order and waits for its end, for the grace at most.
// It tells whether the process ended in time.
func (n *node) stop() bool {
	n.mu.Lock()
	n.stopping = true
	n.send(syscall.SIGTERM)
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(stopGrace):
		n.kill()
		return false
	}
}

// state returns how often the node was started, and whether a planned stop is under
// way.
func (n *node) state() (starts int, stopping, disturbed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts, n.stopping, n.killed || n.paused
}

// excuses tells whether an order of this node may have been held up by a pause.
func (n *node) excuses(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused || at.Sub(n.resumed) < thawTime && !n.resumed.IsZero()
}

package processtest

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
)

// betweenSignals is the time after a signal of which nothing is logged.
const betweenSignals = 100 * time.Millisecond

// TestSignalsDuringAPlannedStopCutNothing guards against requests that are lost by a signal in a
// planned stop: a SIGHUP whose handler was gone ended the process.
func TestSignalsDuringAPlannedStopCutNothing(t *testing.T) {
	const hup, term, interrupt = syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT
	for _, test := range []struct {
		name    string
		signals []syscall.Signal
		// change, if not nil, changes the settings file once the stop has begun.
		change func(s *gatewaySystem)
	}{
		{name: "SIGTERM", signals: []syscall.Signal{term}},
		{name: "SIGINT", signals: []syscall.Signal{interrupt}},
		{name: "SIGHUP before", signals: []syscall.Signal{hup, hup, term}},
		{name: "SIGHUP after", signals: []syscall.Signal{term, hup}},
		{name: "a series of SIGHUP around it", signals: []syscall.Signal{hup, term, hup, hup, hup, hup, hup}},
		{name: "SIGTERM twice", signals: []syscall.Signal{term, term}},
		{name: "SIGINT and SIGTERM by turns", signals: []syscall.Signal{interrupt, term, interrupt, hup, term}},
		{name: "SIGHUP without a settings file", signals: []syscall.Signal{term, hup}, change: func(s *gatewaySystem) {
			if err := os.Remove(s.settings); err != nil {
				s.t.Error(err)
			}
		}},
		{name: "SIGHUP with a settings file that is not valid", signals: []syscall.Signal{term, hup}, change: func(s *gatewaySystem) {
			s.write("stop-grace = soon\n")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startGateway(t)
			done := make(chan error, 1)
			go func() { done <- s.request("r1") }()
			s.waitRuns(1)
			hangups := 0
			for _, signal := range test.signals {
				s.gateway.signal(signal)
				if signal == hup {
					hangups++
					s.waitEvents(eventlog.SettingsChanged, hangups)
					continue
				}
				s.waitEvents(eventlog.Stopping, 1)
				if test.change != nil {
					test.change(s)
				}
				time.Sleep(betweenSignals)
			}
			if err := <-done; err != nil {
				t.Errorf("the request that was passed on: %v", err)
			}
			s.wantStoppedInOrder()
		})
	}
}

// TestLogWithoutAReaderEndsNoNode guards against a gateway that ends, with what it has passed on, when
// it writes to a standard output that nobody reads any more.
func TestLogWithoutAReaderEndsNoNode(t *testing.T) {
	t.Parallel()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }()
	s := startGatewayTo(t, writer)
	_ = writer.Close()
	done := make(chan error, 1)
	go func() { done <- s.request("r1") }()
	s.waitRuns(1)
	_ = reader.Close()
	// Each line is a write that fails.
	for range 3 {
		s.gateway.signal(syscall.SIGHUP)
		time.Sleep(betweenSignals)
	}
	s.gateway.signal(syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Errorf("the request that was passed on: %v", err)
	}
	if code, err := s.gateway.waitExit(); err != nil || code != 0 {
		t.Errorf("the gateway ended with %d (%v, %v)", code, s.gateway.command.ProcessState, err)
	}
}

// TestSIGHUPLeavesANodeRunning guards against a node of slipliftd that a SIGHUP ends, while it serves
// or stops.
func TestSIGHUPLeavesANodeRunning(t *testing.T) {
	t.Parallel()
	ports := newPorts(t)
	directory := t.TempDir()
	file := filepath.Join(directory, "node.ini")
	if err := os.WriteFile(file, []byte(nodeText(ports)), 0o600); err != nil {
		t.Fatal(err)
	}
	node := startProcess(t, "node", directory, ports.take("caller", "operator", "peer"), program(nodeProgram), "--config", file)
	noted := func(count int) func() error {
		return func() error {
			if found := strings.Count(node.log(), "SIGHUP"); found != count {
				return fmt.Errorf("noted %d times", found)
			}
			return nil
		}
	}
	eventually(t, "the node serves", func() error {
		_, err := http.Get("http://" + ports.address("caller") + "/readyz")
		return err
	})
	node.signal(syscall.SIGHUP)
	eventually(t, "the node notes a SIGHUP", noted(1))
	node.signal(syscall.SIGTERM)
	node.signal(syscall.SIGHUP)
	if code, err := node.waitExit(); err != nil || code != 0 {
		t.Errorf("exit code %d, %v", code, err)
	}
}

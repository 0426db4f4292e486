package processtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/platform/standin"
)

const (
	// gatewayHost is the host of the route of gatewaySystem.
	gatewayHost = "h.example"
	// longWork is how long the application works on a request, from before the first signal until
	// after the last one.
	longWork = 4 * time.Second
)

// gatewaySystem is a gateway as a process of its own before a stand-in of the store and of one
// application, which this process serves.
type gatewaySystem struct {
	t           *testing.T
	gateway     *process
	settings    string
	caller      string
	ready       string
	application *standin.Sampler
}

// startGateway starts a gateway with its output in a log file, and waits until it is ready.
func startGateway(t *testing.T) *gatewaySystem {
	t.Helper()
	log, err := os.Create(filepath.Join(t.TempDir(), "gateway.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	return startGatewayTo(t, log)
}

// startGatewayTo starts a gateway with its output in a file, and waits until it is ready.
func startGatewayTo(t *testing.T, output *os.File) *gatewaySystem {
	t.Helper()
	rows := rowstoretest.New()
	store := httptest.NewServer(standin.NewStore(rows))
	t.Cleanup(store.Close)
	var application *standin.Sampler
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { application.ServeHTTP(w, r) }))
	t.Cleanup(server.Close)
	application = standin.NewSampler(rows, "app-1", "app", addressOf(server), "z", nil)
	application.Gap = longWork
	rows.Put("op", "", "config", gatewayConfiguration(t))
	ports := newPorts(t)
	s := &gatewaySystem{
		t: t, settings: filepath.Join(t.TempDir(), "gateway.ini"), caller: ports.address("caller"), ready: ports.address("ready"), application: application,
	}
	s.write(fmt.Sprintf(`name = g1
zone = z
region = r
caller-address = %s
ready-address = %s
directory-address = %s
store-address = %s
address-ttl = 100ms
`, s.caller, s.ready, ports.address("directory"), addressOf(store)))
	command := exec.Command(program(gatewayProgram), "--config", s.settings)
	s.gateway = startProcessTo(t, "gateway", output, ports.take("caller", "ready", "directory"), command)
	eventually(t, "the gateway is ready", func() error {
		answer, err := http.Get("http://" + s.ready + "/v1/readiness")
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		if answer.StatusCode != http.StatusOK {
			return errors.New(answer.Status)
		}
		return nil
	})
	return s
}

// gatewayConfiguration returns a configuration with one route to the application.
func gatewayConfiguration(t *testing.T) []byte {
	t.Helper()
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "app", "host": gatewayHost, "pathPrefix": "/app/", "kind": "unsafe", "service": "app",
			"timeoutMs": 9000, "targetLatencyMs": 3000, "maxAttempts": 1,
		}},
		"services": []map[string]any{{"name": "app"}},
		"limits":   map[string]any{"maxBodyBytes": 1 << 20},
	})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func addressOf(server *httptest.Server) string { return server.Listener.Addr().String() }

func (s *gatewaySystem) write(settings string) {
	s.t.Helper()
	if err := os.WriteFile(s.settings, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// request sends a request that may not be repeated and returns an error unless its whole answer came.
func (s *gatewaySystem) request(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.caller+"/app/x", strings.NewReader("body"))
	if err != nil {
		return err
	}
	request.Host = gatewayHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "9000")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK || string(body) != "answer to "+id {
		return fmt.Errorf("%s, %q, %w", answer.Status, body, err)
	}
	return nil
}

// waitRuns waits until the application works on so many requests.
func (s *gatewaySystem) waitRuns(count int) {
	s.t.Helper()
	eventually(s.t, "the application works on the request", func() error {
		if runs := len(s.application.Runs()); runs != count {
			return fmt.Errorf("%d runs", runs)
		}
		return nil
	})
}

// waitEvents waits until the gateway has logged an event so many times. It fails the test if the
// gateway ends before.
func (s *gatewaySystem) waitEvents(event string, count int) {
	s.t.Helper()
	eventually(s.t, "the gateway logs "+event, func() error {
		if found := s.countEvents(event); found != count {
			if !s.gateway.running() {
				s.t.Fatalf("the gateway ended: %v", s.gateway.command.ProcessState)
			}
			return fmt.Errorf("%d times", found)
		}
		return nil
	})
}

func (s *gatewaySystem) countEvents(event string) int {
	return strings.Count(s.gateway.log(), fmt.Sprintf("%q:%q", eventlog.Event, event))
}

// wantStoppedInOrder waits for the end of the gateway, which must not be that of a signal.
func (s *gatewaySystem) wantStoppedInOrder() {
	s.t.Helper()
	code, err := s.gateway.waitExit()
	if err != nil || code != 0 || s.countEvents(eventlog.Stopped) != 1 {
		s.t.Errorf("the gateway ended with %d (%v, %v), %d events %q", code, s.gateway.command.ProcessState, err, s.countEvents(eventlog.Stopped), eventlog.Stopped)
	}
}

package processtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/dghubble/sling"
	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/emulator/fault"
	"github.com/sliplift/sliplift/internal/history"
	"github.com/sliplift/sliplift/internal/load"
	"github.com/sliplift/sliplift/internal/meshnode/engine"
	"github.com/sliplift/sliplift/internal/meshnode/httpjson"
	"github.com/sliplift/sliplift/internal/meshnode/operator"
	"github.com/sliplift/sliplift/internal/meshnode/storeclient"
)

// Sizes of the system under test.
const (
	nodeCount   = 3
	engineCount = 6
)

// Limits that the histories are judged by.
const (
	configLimit = 5 * time.Second
	drainLimit  = 3 * time.Second
)

// nodeTimings are short, so that a takeover takes seconds.
const nodeTimings = `
[Timing]
lease-duration = 3s
heartbeat-interval = 300ms
load-poll-interval = 100ms
config-poll-interval = 200ms
machines-poll-interval = 200ms
stop-timeout = 20s

[Limits]
max-deadline = 30s

[Claims]
claim-validity = 1m
`

// clientTimeout bounds a call of the test itself; calls of callers and trainers
// have deadlines of their own.
const clientTimeout = 5 * time.Second

// system is a set of stand-ins and nodes, each a process of its own.
type system struct {
	t         *testing.T
	directory string
	ports     *ports
	emulator  *process
	nodes     map[string]*nodeProcess
	// users records what callers, trainers and operators saw, and what the test
	// did to the processes.
	users      *history.WriterSink
	httpClient *http.Client
	log        *logrus.Logger
}

// nodeProcess is a node with where it is reached.
type nodeProcess struct {
	*process
	name                   string
	caller, operator, peer string
}

// startSystem starts the stand-ins, with further settings of them, and the
// nodes, and returns when every node takes requests.
func startSystem(t *testing.T, emulatorSettings string) *system {
	t.Helper()
	directory := t.TempDir()
	users, err := history.NewFileSink(filepath.Join(directory, "users.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	s := &system{
		t:          t,
		directory:  directory,
		ports:      newPorts(t),
		nodes:      map[string]*nodeProcess{},
		users:      users,
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		log:        logrus.New(),
	}
	s.log.SetOutput(testWriter{t})
	t.Cleanup(s.httpClient.CloseIdleConnections)
	s.startEmulator(emulatorSettings)
	for i := range nodeCount {
		s.prepareNode(i)
	}
	for i := range nodeCount {
		s.startNode(nodeName(i))
	}
	for i := range nodeCount {
		s.waitReady(nodeName(i))
	}
	return s
}

// testWriter sends a log to the test's own.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(line []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(line)))
	return len(line), nil
}

func nodeName(i int) string   { return fmt.Sprintf("n%d", i+1) }
func engineName(i int) string { return fmt.Sprintf("e%d", i+1) }
func zone(i int) string       { return []string{"hall-a", "hall-b"}[i%2] }

var applicationNames = []string{"preview-1", "preview-2", "booking-1", "booking-2"}

// poolOf returns the pool of an application instance.
func poolOf(application string) string {
	pool, _, _ := strings.Cut(application, "-")
	return pool
}

var services = []string{"table", "objects", "weights", "machines", "scoring"}

func (s *system) startEmulator(settings string) {
	var text strings.Builder
	names := []string{"control"}
	fmt.Fprintf(&text, "control-address = %s\n", s.ports.address("control"))
	for _, service := range services {
		names = append(names, service)
		fmt.Fprintf(&text, "%s-address = %s\n", service, s.ports.address(service))
	}
	for i := range engineCount {
		names = append(names, engineName(i))
		fmt.Fprintf(&text, "engine = name=%s,address=%s,zone=%s,pool=titles\n", engineName(i), s.ports.address(engineName(i)), zone(i))
	}
	for i, name := range applicationNames {
		names = append(names, name)
		fmt.Fprintf(&text, "application = name=%s,address=%s,zone=%s,pool=%s,kind=%s\n", name, s.ports.address(name), zone(i), poolOf(name), poolOf(name))
	}
	text.WriteString(settings)
	s.emulator = s.start(emulatorProgram, emulatorProgram, text.String(), names...)
	eventually(s.t, "the stand-ins serve", func() error {
		return s.get(s.ports.address("control")+"/v1/faults", nil)
	})
}

func (s *system) prepareNode(i int) {
	name := nodeName(i)
	s.nodes[name] = &nodeProcess{
		name:     name,
		caller:   s.ports.address(name + "-caller"),
		operator: s.ports.address(name + "-operator"),
		peer:     s.ports.address(name + "-peer"),
	}
}

func (s *system) startNode(name string) {
	node := s.nodes[name]
	var text strings.Builder
	fmt.Fprintf(&text, "name = %s\nzone = %s\n", name, zone(int(name[1]-'1')))
	fmt.Fprintf(&text, "caller-address = %s\noperator-address = %s\npeer-address = %s\n", node.caller, node.operator, node.peer)
	for _, other := range s.nodes {
		if other.name != name {
			fmt.Fprintf(&text, "seed = %s=%s\n", other.name, other.peer)
		}
	}
	for _, service := range services {
		fmt.Fprintf(&text, "%s-address = %s\n", service, s.ports.address(service))
	}
	text.WriteString(nodeTimings)
	node.process = s.start(name, nodeProgram, text.String(), name+"-caller", name+"-operator", name+"-peer")
}

// start writes the settings file of a process, gives it its ports and starts it.
func (s *system) start(name, programName, settings string, portNames ...string) *process {
	s.t.Helper()
	file := filepath.Join(s.directory, name+".ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return startProcess(s.t, name, s.directory, s.ports.take(portNames...), program(programName), "--config", file, "--history-file", s.historyFile(name))
}

func (s *system) historyFile(name string) string {
	return filepath.Join(s.directory, name+".jsonl")
}

func (s *system) waitReady(name string) {
	s.t.Helper()
	eventually(s.t, name+" is ready", func() error {
		return s.get(s.nodes[name].caller+"/readyz", nil)
	})
}

// kill ends a node with SIGKILL.
func (s *system) kill(name string) {
	s.nodes[name].kill()
	s.users.Record(history.Event{Kind: history.KindNodeEnded, Process: name})
}

// pause stops a node's execution until resume.
func (s *system) pause(name string) {
	s.users.Record(history.Event{Kind: history.KindNodeUnreachable, Process: name})
	s.nodes[name].signal(syscall.SIGSTOP)
}

func (s *system) resume(name string) {
	s.nodes[name].signal(syscall.SIGCONT)
	s.users.Record(history.Event{Kind: history.KindNodeReachable, Process: name})
}

// stop ends a node with SIGTERM, as planned, and wants exit code 0.
func (s *system) stop(name string) {
	s.t.Helper()
	s.nodes[name].signal(syscall.SIGTERM)
	s.wantStopped(s.nodes[name].process)
}

// stopNodes stops the nodes that run, all at once.
func (s *system) stopNodes() {
	s.t.Helper()
	var stopped []*process
	for _, node := range s.nodes {
		if node.running() {
			node.signal(syscall.SIGTERM)
			stopped = append(stopped, node.process)
		}
	}
	for _, node := range stopped {
		s.wantStopped(node)
	}
}

func (s *system) wantStopped(p *process) {
	s.t.Helper()
	if code, err := p.waitExit(); err != nil || code != 0 {
		s.t.Fatalf("%s after SIGTERM: exit code %d, %v", p.name, code, err)
	}
}

// judge stops whatever runs, in order, and judges the joined history: nothing
// may be broken and each of the promises must have been exercised and held.
func (s *system) judge(promises ...history.Promise) history.Report {
	s.t.Helper()
	files := []string{filepath.Join(s.directory, "users.jsonl"), s.historyFile(emulatorProgram)}
	for i := range nodeCount {
		files = append(files, s.historyFile(nodeName(i)))
	}
	s.stopNodes()
	s.emulator.signal(syscall.SIGTERM)
	s.wantStopped(s.emulator)
	if err := s.users.Close(); err != nil {
		s.t.Fatal(err)
	}
	report, err := history.CheckFiles(files...)
	if err != nil {
		s.t.Fatal(err)
	}
	wantHeld(s.t, report, promises...)
	return report
}

func wantHeld(t *testing.T, report history.Report, promises ...history.Promise) {
	t.Helper()
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	if !report.OK(promises...) {
		t.Errorf("the history does not hold, or lacks something on promises %v:\n%s", report.Missing(promises...), table.String())
		return
	}
	t.Logf("%d events:\n%s", report.Events, table.String())
}

// callers returns the nodes as clients know them, the named ones first.
func (s *system) callers(first ...string) []load.Node {
	var nodes []load.Node
	known := map[string]bool{}
	add := func(name string) {
		if !known[name] {
			nodes = append(nodes, load.Node{Name: name, Address: s.nodes[name].caller})
		}
		known[name] = true
	}
	for _, name := range first {
		add(name)
	}
	for i := range nodeCount {
		add(nodeName(i))
	}
	return nodes
}

func (s *system) platform() *storeclient.Client {
	return storeclient.NewClient(s.httpClient, storeclient.Addresses{
		Table:   s.ports.address("table"),
		Weights: s.ports.address("weights"),
	})
}

func (s *system) engines() *engine.Client { return engine.NewClient(s.httpClient) }

func (s *system) operatorOf(node string) *operator.Client {
	return operator.NewClient(s.httpClient, s.nodes[node].operator)
}

// fail switches a fault of a stand-in on.
func (s *system) fail(wanted fault.Fault) {
	s.t.Helper()
	body, err := json.Marshal(wanted)
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := s.httpClient.Post("http://"+s.ports.address("control")+"/v1/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusCreated {
		s.t.Fatalf("fault %+v: status %s", wanted, response.Status)
	}
}

// get asks for a JSON value with a bounded call; answer may be nil.
func (s *system) get(address string, answer any) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), clientTimeout)
	defer cancel()
	return s.call(ctx, address, answer)
}

// call asks for a JSON value. The error is an *api.Error where the server gave
// one.
func (s *system) call(ctx context.Context, address string, answer any) error {
	return httpjson.Do(ctx, s.httpClient, sling.New().Get("http://"+address), answer)
}

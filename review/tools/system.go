package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the address of all processes of a script.
const host = "127.0.0.1"

// system is the processes of a script: the store, samplers and gateways.
type system struct {
	folder   string
	gateway  string
	record   *os.File
	began    time.Time
	store    string
	mu       sync.Mutex
	running  map[*exec.Cmd]bool
	gateways []gatewayNode
	samplers map[string]*samplerProcess
	started  int
}

type gatewayNode struct {
	callers, ready string
	process        *exec.Cmd
}

type samplerProcess struct {
	id, address string
	process     *exec.Cmd
}

// newSystem starts the store. The gateway's program and the file of the record come from the
// environment: GATEWAY and RECORD.
func newSystem() (*system, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	s := &system{
		folder: folder, gateway: os.Getenv("GATEWAY"), record: record, began: time.Now(),
		running: make(map[*exec.Cmd]bool), samplers: make(map[string]*samplerProcess),
	}
	go s.stopOnSignal()
	s.store = freeAddress()
	_, err = s.start("store", os.Args[0], "store", s.store)
	if err != nil {
		return nil, err
	}
	return s, s.await("store", func() bool { return s.operator("nothing", map[string]any{}) == nil })
}

// note writes a line of the record.
func (s *system) note(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// start starts a process whose output goes to a file of the folder.
func (s *system) start(name, program string, arguments ...string) (*exec.Cmd, error) {
	output, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, arguments...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "GOGC=25"}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return nil, err
	}
	_ = output.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[command] = true
	return command, nil
}

// stopOnSignal ends all processes if this one is told to end.
func (s *system) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	s.mu.Lock()
	for command := range s.running {
		_ = command.Process.Kill()
	}
	os.Exit(exitFailed)
}

// kill ends a process by SIGKILL and waits for its end.
func (s *system) kill(command *exec.Cmd) {
	_ = command.Process.Signal(syscall.SIGKILL)
	_ = command.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, command)
}

// stop ends all processes and removes the folder.
func (s *system) stop() {
	s.mu.Lock()
	commands := slices.Collect(maps.Keys(s.running))
	s.mu.Unlock()
	for _, command := range commands {
		s.kill(command)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs in", s.folder)
	} else {
		_ = os.RemoveAll(s.folder)
	}
	_ = s.record.Close()
}

// freeAddress returns an address that nobody listens at.
func freeAddress() string {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

var errNotReady = errors.New("is not ready in time")

const (
	startLimit = 20 * time.Second
	startPause = 50 * time.Millisecond
)

func (s *system) await(what string, ready func() bool) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(startPause) {
		if ready() {
			return nil
		}
	}
	return fmt.Errorf("%s %w", what, errNotReady)
}

// operator writes a row of the operator.
func (s *system) operator(key string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	answer, err := http.Post("http://"+s.store+"/operator?key="+key, "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// addSampler starts a new incarnation of a sampler, at a free address if none is given.
func (s *system) addSampler(address string, flags ...string) (*samplerProcess, error) {
	if address == "" {
		address = freeAddress()
	}
	s.started++
	added := &samplerProcess{id: fmt.Sprintf("i-%04d", s.started), address: address}
	arguments := append([]string{
		"sampler", "--id", added.id, "--address", address, "--store", s.store, "--record", s.runsFile(),
	}, flags...)
	process, err := s.start(added.id, os.Args[0], arguments...)
	if err != nil {
		return nil, err
	}
	added.process = process
	s.samplers[added.id] = added
	s.note("sampler %s starts at %s", added.id, address)
	return added, nil
}

func (s *system) runsFile() string { return filepath.Join(s.folder, "runs.jsonl") }

// runs returns what the samplers noted so far.
func (s *system) runs() []runRecord {
	content, _ := os.ReadFile(s.runsFile())
	var runs []runRecord
	for line := range strings.Lines(string(content)) {
		var run runRecord
		if json.Unmarshal([]byte(line), &run) == nil {
			runs = append(runs, run)
		}
	}
	return runs
}

// settings are those of deploy/gateway.ini.tmpl, with the figures of a small deployment.
const settings = `name = %s
zone = zone-a
region = region-a
cpu-share = 0.8
cores = 1
caller-address = %s
ready-address = %s
directory-address = %s
peer-address = %s
metrics-address = %s
store-address = %s
store-row-bytes = 65536
store-writes-per-second = 800
store-reads-per-second = 2000
config-apply = 2000ms
lease-settle = 3000ms
stop-grace = 8s
keep-jobs = 120s
result-settle = 1000ms
zone-region = zone-a=region-a
`

// addGateway starts a gateway with the command of the deploy file.
func (s *system) addGateway() error {
	name := fmt.Sprintf("front-%d", len(s.gateways)+1)
	node := gatewayNode{callers: freeAddress(), ready: freeAddress()}
	content := fmt.Sprintf(settings, name, node.callers, node.ready, freeAddress(), freeAddress(), freeAddress(), s.store)
	file := filepath.Join(s.folder, name+".ini")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return err
	}
	process, err := s.start(name, s.gateway, "--config", file)
	if err != nil {
		return err
	}
	node.process = process
	s.gateways = append(s.gateways, node)
	return s.await(name, func() bool {
		answer, err := http.Get("http://" + node.ready + "/v1/readiness")
		if err != nil {
			return false
		}
		_ = answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

// callerHost is the host of all routes.
const callerHost = "h.example"

// call makes a call of a client on a new connection.
func (s *system) call(gateway int, method, target string, header map[string]string, body []byte, limit time.Duration) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+s.gateways[gateway].callers+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = callerHost
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: limit}
	answer, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, content, err
}

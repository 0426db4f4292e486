// Command tools2 runs the cases of the second review that are scripts: it starts the
// project's gateways as processes, plays clients, samplers and the platform on loopback
// addresses, and judges what those saw.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/platform/standin"
)

// Figures of the small deployment whose settings the gateways get.
const (
	graceSeconds   = 8
	configApplyMs  = 2000
	lossSlack      = 200 * time.Millisecond
	memoryMegabyte = 314
	maxBodyBytes   = 33554432
	appHost        = "h.example"
	beatEvery      = 1200 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	readyWithin    = 15 * time.Second
	tickLong       = 50 * time.Millisecond
)

// errHarness is a failure of the case itself, not of what is judged.
type errHarness struct{ cause string }

func (e errHarness) Error() string { return e.cause }

func must(err error) {
	if err != nil {
		panic(errHarness{err.Error()})
	}
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// world is a small deployment on this machine.
type world struct {
	dir      string
	log      *record
	rows     *rowstoretest.Store
	store    string
	samplers []*standin.Sampler
	nodes    []*node
	ctx      context.Context
	cancel   context.CancelFunc
	// status is the bound `statusS`.
	status time.Duration
}

func newWorld(log *record) *world {
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	ctx, cancel := context.WithCancel(context.Background())
	return &world{dir: dir, log: log, rows: rowstoretest.New(), ctx: ctx, cancel: cancel, status: 120 * time.Second}
}

// serve answers on a free port and returns its address.
func (w *world) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	return listener.Addr().String()
}

func (w *world) storeHandler() http.Handler { return boundedLists(w.rows, standin.NewStore(w.rows)) }

func (w *world) startStore() {
	w.store = w.serve(w.storeHandler())
}

// addSampler starts a sampler, or an application instance where model is empty.
func (w *world) addSampler(id, service, zone, model string, wrap func(http.Handler) http.Handler) *standin.Sampler {
	holder := &lateHandler{}
	address := w.serve(holder)
	var versions map[string]int64
	if model != "" {
		versions = map[string]int64{model: 1}
	}
	sampler := standin.NewSampler(w.rows, id, service, address, zone, versions)
	var handler http.Handler = sampler
	if wrap != nil {
		handler = wrap(handler)
	}
	holder.set(handler)
	w.samplers = append(w.samplers, sampler)
	go func() {
		for w.ctx.Err() == nil {
			time.Sleep(beatEvery)
			sampler.Announce()
		}
	}()
	return sampler
}

// lateHandler is a handler that is set after its server has begun.
type lateHandler struct {
	mu    sync.Mutex
	inner http.Handler
}

func (l *lateHandler) set(inner http.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inner = inner
}

// ServeHTTP implements http.Handler.
func (l *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	inner := l.inner
	l.mu.Unlock()
	inner.ServeHTTP(w, r)
}

// configure writes the operator's configuration.
func (w *world) configure(version int, routes []map[string]any, services []map[string]any) {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	must(err)
	w.rows.Put("op", "", "config", value)
}

// node is a gateway on a machine of its own.
type node struct {
	world                            *world
	name, zone                       string
	front, ready, directory, metrics string
	settings                         string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	keep    bool
}

// Ports of the nodes are below those that the system gives to outgoing connections, one of
// which could take a port that was free just now.
const (
	portsFrom = 20000
	portsTo   = 32000
)

// given holds the addresses that were handed out.
var given = make(map[string]bool)

// freeAddresses returns so many addresses, all different, that were free just now.
func freeAddresses(count int) []string {
	var addresses []string
	for try := 0; len(addresses) < count; try++ {
		if try > portsTo-portsFrom {
			panic(errHarness{"no free ports"})
		}
		address := fmt.Sprintf("127.0.0.1:%d", portsFrom+rand.IntN(portsTo-portsFrom))
		listener, err := net.Listen("tcp", address)
		if err != nil || given[address] {
			continue
		}
		_ = listener.Close()
		given[address] = true
		addresses = append(addresses, address)
	}
	return addresses
}

// addNode starts a gateway as the deploy file says.
func (w *world) addNode(name, zone string) *node {
	free := freeAddresses(5)
	n := &node{
		world: w, name: name, zone: zone, front: free[0], ready: free[1], directory: free[2], metrics: free[3], keep: true,
	}
	n.settings = filepath.Join(w.dir, name+".ini")
	must(os.WriteFile(n.settings, []byte(strings.Join([]string{
		"name = " + name, "zone = " + zone, "region = r1", "cpu-share = 0.8", "cores = 1",
		"caller-address = " + n.front, "ready-address = " + n.ready, "directory-address = " + n.directory,
		"peer-address = " + free[4], "metrics-address = " + n.metrics, "store-address = " + w.store,
		"store-row-bytes = 65536", "store-writes-per-second = 800", "store-reads-per-second = 2000",
		fmt.Sprintf("config-apply = %dms", configApplyMs), "lease-settle = 3000ms",
		fmt.Sprintf("stop-grace = %ds", graceSeconds), "keep-jobs = " + w.status.String(), "result-settle = 1000ms",
		"zone-region = z1=r1", "zone-region = z2=r1", "zone-region = z3=r1", "",
	}, "\n")), 0o600))
	w.nodes = append(w.nodes, n)
	n.start()
	return n
}

// start starts the process; the platform starts it again when it has ended.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	output, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	process := exec.Command("target/sliplift-gateway", "--config", n.settings)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOGC=25"}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(process.Start())
	ended := make(chan struct{})
	n.process, n.ended = process, ended
	go func() {
		err := process.Wait()
		_ = output.Close()
		how := "exit status 0"
		if err != nil {
			how = err.Error()
		}
		n.mu.Lock()
		again := n.keep && n.world.ctx.Err() == nil
		n.mu.Unlock()
		n.world.log.line("%s: process ended: %s", n.name, how)
		close(ended)
		if again {
			time.Sleep(restartDelay)
			if n.world.ctx.Err() == nil {
				n.start()
			}
		}
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.world.log.line("%s: signal %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Pid
}

func (n *node) ending() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (w *world) awaitReady() {
	until := time.Now().Add(readyWithin)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				panic(errHarness{n.name + " did not become ready"})
			}
			time.Sleep(tickLong)
		}
	}
	w.log.line("all nodes ready")
}

// close ends all processes that were started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.mu.Lock()
		n.keep = false
		process := n.process
		n.mu.Unlock()
		_ = process.Process.Kill()
	}
	w.cancel()
	for _, n := range w.nodes {
		<-n.ending()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// answer is what a client saw.
type answer struct {
	status int
	body   []byte
	err    error
	took   time.Duration
}

// ask sends a request on a new connection and reads the whole answer.
func ask(method, address, path string, header map[string]string, body io.Reader, length int64, limit time.Duration) answer {
	began := time.Now()
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest(method, "http://"+address+path, body)
	must(err)
	request.Host = appHost
	if length >= 0 && body != nil {
		request.ContentLength = length
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	got, err := client.Do(request)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	content, err := io.ReadAll(got.Body)
	_ = got.Body.Close()
	return answer{status: got.StatusCode, body: content, err: err, took: time.Since(began)}
}

// runsOf returns how many runs of a request the samplers saw.
func (w *world) runsOf(id string) int {
	count := 0
	for _, sampler := range w.samplers {
		for _, run := range sampler.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore/rowstoretest"
	"github.com/sliplift/sliplift/platform/standin"
)

// Bounds that the nodes are told and judged by.
const (
	configApply = 2 * time.Second
	settleTime  = 3 * time.Second
	stopGrace   = 8 * time.Second
	usageWindow = 2 * time.Second
	usageWithin = 8 * time.Second
	// thawTime is for how long after a pause or a silence what arrives may be old.
	thawTime = 300 * time.Millisecond
	// startTime is within which all nodes have to serve.
	startTime = 5 * time.Second
)

// Config configures a run.
type Config struct {
	// Gateway is the program of a node.
	Gateway string
	// Directory takes settings and logs of the nodes.
	Directory string
	Nodes     int
	Seed      uint64
	For       time.Duration
	// Out takes the plan and the progress.
	Out io.Writer
}

// Sizes of the stand-in.
const (
	samplers     = 5
	applications = 3
)

// system is the nodes with the stand-in.
type system struct {
	config   Config
	rows     *rowstoretest.Store
	duties   *standin.Duties
	backends []*backend
	nodes    []*node
	judge    *Judge
	servers  []*http.Server
	proxies  []*proxy

	mu      sync.Mutex
	version int64
	// faults counts those that are under way, by kind; calm is when the last one ended.
	faults int
	calm   time.Time
}

// backend is a sampler or an application instance behind its proxy.
type backend struct {
	*standin.Sampler
	way *proxy

	mu     sync.Mutex
	healed time.Time
}

// Report is what came of a run.
type Report struct {
	Seed uint64
	// Breaches is what broke a promise.
	Breaches []string
	// Counts is what happened how often.
	Counts map[string]int
}

// Write writes a report as text.
func (r Report) Write(w io.Writer) error {
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		if _, err := fmt.Fprintf(w, "%8d  %s\n", r.Counts[what], what); err != nil {
			return err
		}
	}
	for _, breach := range r.Breaches {
		if _, err := fmt.Fprintln(w, "BROKEN", breach); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "seed %d: %d promises broken\n", r.Seed, len(r.Breaches))
	return err
}

// Run plays a run. The error is of the run itself, not of what was judged.
func Run(ctx context.Context, config Config) (Report, error) {
	faults := draw(config.Seed, config.For)
	report := Report{Seed: config.Seed}
	if err := writePlan(config.Out, config.Seed, faults); err != nil {
		return report, err
	}
	s, err := build(config)
	defer s.close()
	if err != nil {
		return report, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return report, err
	}
	load := newLoad(s)
	load.start()
	err = s.play(ctx, faults)
	load.stop()
	s.settle(ctx, load)
	report.Breaches = s.verdict(load)
	report.Counts = s.judge.Counts()
	return report, err
}

// build starts the stand-in and the nodes.
func build(config Config) (*system, error) {
	s := &system{config: config, rows: rowstoretest.New(), duties: standin.NewDuties(), judge: NewJudge()}
	store, err := s.serve(standin.NewStore(s.rows))
	if err != nil {
		return s, err
	}
	duties, err := s.serve(s.duties)
	if err != nil {
		return s, err
	}
	for i := range samplers + applications {
		if err := s.addBackend(i); err != nil {
			return s, err
		}
	}
	if err := s.configure(nil); err != nil {
		return s, err
	}
	for i := range config.Nodes {
		if err := s.addNode(i, store, duties); err != nil {
			return s, err
		}
	}
	return s, nil
}

// serve answers on a free port of the loopback interface and returns its address.
func (s *system) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.judge.Count("server of the stand-in ended")
		}
	}()
	return listener.Addr().String(), nil
}

func (s *system) newProxy(to string) (*proxy, error) {
	p, err := newProxy(to)
	if err == nil {
		s.proxies = append(s.proxies, p)
	}
	return p, err
}

func (s *system) addBackend(number int) error {
	mux := http.NewServeMux()
	address, err := s.serve(mux)
	if err != nil {
		return err
	}
	way, err := s.newProxy(address)
	if err != nil {
		return err
	}
	id, service, versions := fmt.Sprintf("app-%d", number), "app", map[string]int64(nil)
	if number < samplers {
		id, service, versions = fmt.Sprintf("engine-%d", number), "pool", map[string]int64{"model": 1}
	}
	sampler := standin.NewSampler(s.rows, id, service, way.address(), zoneOf(number), versions)
	mux.Handle("/", sampler)
	s.backends = append(s.backends, &backend{Sampler: sampler, way: way})
	return nil
}

func zoneOf(number int) string { return fmt.Sprintf("z%d", number%3) }

func (s *system) addNode(number int, store, duties string) error {
	storeWay, err := s.newProxy(store)
	if err != nil {
		return err
	}
	dutiesWay, err := s.newProxy(duties)
	if err != nil {
		return err
	}
	n, err := newNode(fmt.Sprintf("n%d", number), zoneOf(number), s.config.Gateway, s.config.Directory, storeWay, dutiesWay)
	if err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return n.start()
}

// Tenants of the run, and how many keys each has.
const (
	tenants       = 4
	keysPerTenant = 2
)

func tenantName(number int) string       { return fmt.Sprintf("tenant-%d", number) }
func tenantKey(number, which int) string { return fmt.Sprintf("key-%d-%d", number, which) }

// configure writes the next version of the configuration, without the keys that are
// gone.
func (s *system) configure(gone []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service,
			"timeoutMs": 2000, "targetLatencyMs": 200, "maxAttempts": 2, "maxQueueS": 600.0,
		}
	}
	var list []map[string]any
	for number := range tenants {
		var keys []string
		for which := range keysPerTenant {
			if key := tenantKey(number, which); !slices.Contains(gone, key) {
				keys = append(keys, key)
			}
		}
		list = append(list, map[string]any{"name": tenantName(number), "apiKeys": keys, "priority": 1})
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version, "tenants": list, "limits": map[string]any{"maxBodyBytes": 1 << 20},
		"routes": []map[string]any{
			route("safe", "/safe/", "safe", "app"), route("unsafe", "/unsafe/", "unsafe", "app"), route("jobs", "/jobs/", "rollout", "pool"),
		},
		"services": []map[string]any{{"name": "pool"}, {"name": "app"}},
	})
	if err != nil {
		return err
	}
	s.rows.Put("op", "", "config", value)
	return nil
}

// awaitReady waits until all nodes serve.
func (s *system) awaitReady(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, n := range s.nodes {
		for !s.serves(bounded, n) {
			if bounded.Err() != nil {
				return fmt.Errorf("%s does not serve", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *system) serves(ctx context.Context, n *node) bool {
	answer := send(ctx, n, http.MethodPost, "/safe/ready", "ready-"+n.name, tenantKey(0, 0), nil)
	return answer.status == http.StatusOK
}

// play lets the faults happen, until the run's end.
func (s *system) play(ctx context.Context, faults []fault) error {
	started := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for _, f := range faults {
		if !sleepUntil(ctx, started.Add(f.at)) {
			return ctx.Err()
		}
		_, _ = fmt.Fprintf(s.config.Out, "%6.1f s  %s\n", time.Since(started).Seconds(), f)
		group.Go(func() { s.suffer(ctx, f) })
	}
	sleepUntil(ctx, started.Add(s.config.For-calmLast))
	return ctx.Err()
}

func sleepUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// suffer lets one thing fail, and mends it.
func (s *system) suffer(ctx context.Context, f fault) {
	s.mu.Lock()
	s.faults++
	s.mu.Unlock()
	mend := s.begin(f)
	sleepUntil(ctx, time.Now().Add(f.lasts))
	mend()
	s.mu.Lock()
	s.faults--
	s.calm = time.Now()
	s.mu.Unlock()
}

// alone tells whether one fault is under way and none was within a time before.
func (s *system) alone(before time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults <= 1 && time.Since(s.calm) > before
}

// begin lets something fail and returns what mends it.
func (s *system) begin(f fault) func() {
	n := s.nodes[f.target%len(s.nodes)]
	b := s.backends[f.target%len(s.backends)]
	switch f.kind {
	case killNode:
		n.kill()
		return func() { s.restart(n) }
	case killAll:
		return s.killAll()
	case pauseNode:
		n.pause()
		return n.resume
	case stopNode:
		if !n.stop() {
			s.judge.Count("planned stops that took too long")
		}
		return func() { s.restart(n) }
	case storeWay:
		n.store.set(f.way)
		return func() { n.store.set(passing) }
	case backendWay:
		b.way.set(f.way)
		return b.heal
	case backendFails:
		b.SetFaults(backendFault(f.variant))
		return func() { b.SetFaults(standin.SamplerFaults{}) }
	case resets:
		n.store.reset()
		b.way.reset()
		return func() {}
	case keysChange:
		return s.changeKeys(f.variant)
	default:
		return s.beginAtPlatform(f)
	}
}

// beginAtPlatform lets the store or the interface of duties fail.
func (s *system) beginAtPlatform(f fault) func() {
	switch f.kind {
	case storeAway:
		s.rows.SetFaults(rowstoretest.Faults{Refuse: f.variant%2 == 0, Silent: f.variant%2 == 1, Limit: time.Second})
	case storeLoses:
		s.rows.SetFaults(rowstoretest.Faults{LoseAnswers: true, Limit: 200 * time.Millisecond})
	case storeLate:
		s.rows.SetFaults(rowstoretest.Faults{Late: time.Duration(f.variant%3000) * time.Millisecond, Limit: 200 * time.Millisecond})
	case storeForgets:
		s.rows.Compact()
	case dutiesFail:
		s.duties.SetFaults([]standin.DutyFaults{
			{Silent: true}, {Busy: true}, {Lose: true}, {Late: 2 * time.Second}, {Slow: 400 * time.Millisecond},
		}[f.variant%5])
		return func() { s.duties.SetFaults(standin.DutyFaults{}) }
	}
	return func() { s.rows.SetFaults(rowstoretest.Faults{}) }
}

func backendFault(variant int) standin.SamplerFaults {
	return []standin.SamplerFaults{
		{Refuse: true}, {BreakAfter: 3}, {Mute: true}, {Lose: true}, {Garbage: true}, {WrongID: true},
		{LateOrders: 3 * time.Second},
	}[variant%7]
}

func (b *backend) heal() {
	b.way.set(passing)
	b.mu.Lock()
	b.healed = time.Now()
	b.mu.Unlock()
}

// excuses tells whether an order may have been held up on its way to the back end.
func (b *backend) excuses(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.healed.IsZero() && at.Sub(b.healed) < thawTime
}

func (s *system) killAll() func() {
	var group sync.WaitGroup
	for _, n := range s.nodes {
		group.Go(n.kill)
	}
	group.Wait()
	return func() {
		for _, n := range s.nodes {
			s.restart(n)
		}
	}
}

// restart starts a node whose process has ended; one that runs is left alone: two
// faults may have ended it.
func (s *system) restart(n *node) {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
	default:
		return
	}
	if err := n.start(); err != nil {
		s.judge.Count("nodes that did not start")
	}
}

// changeKeys takes a key away and returns what gives it back.
func (s *system) changeKeys(variant int) func() {
	gone := []string{tenantKey(variant%tenants, 0)}
	if err := s.configure(gone); err != nil {
		s.judge.Count("configurations that were not written")
	}
	return func() {
		if err := s.configure(nil); err != nil {
			s.judge.Count("configurations that were not written")
		}
	}
}

// settle waits until all accepted jobs are whole, for the calm time at most, and reads
// them at every node.
func (s *system) settle(ctx context.Context, load *load) {
	for _, n := range s.nodes {
		n.resume()
	}
	deadline := time.Now().Add(calmLast)
	for _, job := range load.accepted() {
		for !load.readWhole(ctx, job) && time.Now().Before(deadline) && ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	sleepUntil(ctx, time.Now().Add(max(0, min(usageWithin, time.Until(deadline)))))
}

// verdict judges what was seen.
func (s *system) verdict(load *load) []string {
	var runs []standin.Run
	for _, b := range s.backends {
		runs = append(runs, b.Runs()...)
		s.judge.Orders(b.ID, b.Orders(), settleTime, func(order standin.Order) bool {
			return b.excuses(order.At) || s.excuses(order)
		})
	}
	for _, job := range load.accepted() {
		s.judge.Whole(job.id, job.items)
	}
	s.judge.Runs(runs, load.tenantsOfItems())
	s.judge.Usage(s.duties.Usage(), s.duties.Breaches(), runs)
	breaches := s.judge.Breaches()
	for _, n := range s.nodes {
		breaches = append(breaches, n.exits...)
	}
	return breaches
}

// excuses tells whether an order's holder was paused when it came.
func (s *system) excuses(order standin.Order) bool {
	return slices.ContainsFunc(s.nodes, func(n *node) bool { return n.name == order.Holder && n.excuses(order.At) })
}

// close ends all that was started.
func (s *system) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	for _, p := range s.proxies {
		p.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

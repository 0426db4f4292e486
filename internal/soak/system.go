package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	history  *History
	servers  []*http.Server
	proxies  []*proxy

	mu      sync.Mutex
	version int64
	// faults counts those that are under way, by kind; calm is when the last one ended.
	faults int
	calm   time.Time
	// evacuations are those that began.
	evacuations []Evacuation
	// evacuating counts those of a zone that were not taken back.
	evacuating map[string]int
	// deaths are the ends of back ends under deadly requests.
	deaths []death
}

// backend is a sampler or an application instance behind its proxy.
type backend struct {
	*standin.Sampler
	way *proxy

	mu     sync.Mutex
	healed time.Time
	dead   bool
}

// build starts the stand-in and the nodes.
func build(config Config) (*system, error) {
	s := &system{
		config: config, rows: rowstoretest.New(), duties: standin.NewDuties(), judge: NewJudge(), history: NewHistory(),
		evacuating: make(map[string]int),
	}
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
	listener, err := net.Listen("tcp", loopback+":0")
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
	b := &backend{Sampler: sampler, way: way}
	sampler.Deadly, sampler.Die = isDeadly, func() { s.die(b) }
	mux.Handle("/", sampler)
	s.backends = append(s.backends, b)
	return nil
}

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
		entry := map[string]any{"name": tenantName(number), "apiKeys": keys, "priority": 1}
		if number == boundTenant {
			entry["allowedRegions"] = []string{homeRegion}
		}
		list = append(list, entry)
	}
	bound := route(boundKind, "/"+boundKind+"/", "safe", "app")
	bound["allowedRegions"] = []string{homeRegion}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "coldStartS": coldFor.Seconds(), "coldPerS": coldPerSecond}
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version, "tenants": list, "limits": map[string]any{"maxBodyBytes": 1 << 20},
		"routes": []map[string]any{
			route("safe", "/safe/", "safe", "app"), route("unsafe", "/unsafe/", "unsafe", "app"), route("jobs", "/jobs/", "rollout", "pool"), bound,
		},
		"services": []map[string]any{service("pool"), service("app")},
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

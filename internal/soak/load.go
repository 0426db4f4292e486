package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sliplift/sliplift/platform/standin"
)

// host is the name that the routes are under.
const host = "h.example"

// Rates of the load.
const (
	jobInterval  = 700 * time.Millisecond
	jobItems     = 12
	readInterval = 120 * time.Millisecond
	readers      = 3
	liveInterval = 25 * time.Millisecond
	// requestLimit is how long a caller waits, jobLimit, for how long a job is sent again.
	requestLimit = 3 * time.Second
	jobLimit     = 30 * time.Second
	// newestJobs is how many jobs are read while the run goes on.
	newestJobs = 4
)

// jobPrefix begins the ids of jobs and of their items.
const jobPrefix = "job-"

// job is a batch job as its caller knows it.
type job struct {
	id     string
	tenant int
	items  []string
}

// load is the callers of the run.
type load struct {
	system *system
	done   chan struct{}
	group  sync.WaitGroup

	mu   sync.Mutex
	jobs []job
	// submitted holds the items of all jobs that were sent, by tenant.
	submitted map[string]string
	number    int
}

func newLoad(s *system) *load {
	return &load{system: s, done: make(chan struct{}), submitted: make(map[string]string)}
}

func (l *load) start() {
	l.group.Go(func() { l.every(jobInterval, l.submit) })
	l.group.Go(func() { l.every(liveInterval, func() { l.group.Go(l.request) }) })
	for range readers {
		l.group.Go(func() { l.every(readInterval, l.look) })
	}
}

func (l *load) stop() {
	close(l.done)
	l.group.Wait()
}

func (l *load) every(interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
			work()
		}
	}
}

func (l *load) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	return l.number
}

// anyNode returns a node by chance.
func (l *load) anyNode() *node { return l.system.nodes[rand.IntN(len(l.system.nodes))] }

// submit hands a job in, to another node until it is accepted, and names the next
// version of the weights.
func (l *load) submit() {
	number := l.next()
	j := job{id: fmt.Sprintf("%s%d", jobPrefix, number), tenant: number % tenants}
	var items []map[string]any
	for i := range jobItems {
		id := fmt.Sprintf("%s-%d", j.id, i)
		j.items = append(j.items, id)
		items = append(items, map[string]any{
			"id": id, "path": "/jobs/" + id, "tokens": 10, "group": "g" + strconv.Itoa(i/4), "body": []byte(id),
			"headers": map[string]string{"Model": "model", "Length-Hint": "10", "Tenant": "forged", "X-Api-Key": "forged"},
		})
	}
	body, err := json.Marshal(map[string]any{"step": number, "model": "model", "minVersion": 1, "desired": 1, "items": items})
	if err != nil {
		l.system.judge.Count("jobs that could not be encoded")
		return
	}
	l.mu.Lock()
	for _, item := range j.items {
		l.submitted[item] = tenantName(j.tenant)
	}
	l.mu.Unlock()
	for started := time.Now(); time.Since(started) < jobLimit; time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
		answer := send(ctx, l.anyNode(), http.MethodPost, "/jobs/x", j.id, tenantKey(j.tenant, 1), body)
		cancel()
		l.system.judge.Count(fmt.Sprintf("submission %d", answer.status))
		if answer.status == http.StatusAccepted {
			l.mu.Lock()
			l.jobs = append(l.jobs, j)
			l.mu.Unlock()
			break
		}
	}
	l.nameVersion(int64(number))
}

// versionEvery is after how many jobs a version of the weights is named.
const versionEvery = 4

func (l *load) nameVersion(number int64) {
	if number%versionEvery == 0 {
		value := fmt.Appendf(nil, `{"model":"model","version":%d}`, number/versionEvery+1)
		l.system.rows.Put("op", "", "version/model", value)
	}
}

// accepted returns the jobs that were accepted.
func (l *load) accepted() []job {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.jobs)
}

// tenantsOfItems returns the tenant of each item that was handed in.
func (l *load) tenantsOfItems() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	tenants := make(map[string]string, len(l.submitted))
	for item, tenant := range l.submitted {
		tenants[item] = tenant
	}
	return tenants
}

// look reads one of the newest jobs from a position by chance.
func (l *load) look() {
	jobs := l.accepted()
	if len(jobs) == 0 {
		return
	}
	newest := jobs[max(0, len(jobs)-newestJobs):]
	l.read(context.Background(), l.anyNode(), newest[rand.IntN(len(newest))], rand.IntN(jobItems))
}

type wirePage struct {
	Total   int      `json:"total"`
	Results []Result `json:"results"`
}

// read reads a job and returns how many results there are from a position on.
func (l *load) read(ctx context.Context, n *node, j job, after int) int {
	bounded, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	answer := send(bounded, n, http.MethodGet, fmt.Sprintf("/v1/lots/%s?afterRev=%d", j.id, after), "look", tenantKey(j.tenant, 1), nil)
	l.system.judge.Count(fmt.Sprintf("read %d", answer.status))
	if answer.status >= http.StatusBadRequest && answer.status < http.StatusInternalServerError {
		l.system.judge.Denied(n.name, j.id, answer.status)
	}
	var page wirePage
	if answer.status != http.StatusOK || json.Unmarshal([]byte(answer.body), &page) != nil {
		return 0
	}
	l.system.judge.Read(n.name, j.id, after, page.Results)
	return len(page.Results)
}

// readWhole reads a job from its start at every node, and tells whether all of its
// items are listed at each.
func (l *load) readWhole(ctx context.Context, j job) bool {
	for _, n := range l.system.nodes {
		if l.read(ctx, n, j, 0) < len(j.items) {
			return false
		}
	}
	return true
}

const (
	// leaveEvery is after how many live requests a caller leaves, leaveAfter, how long it
	// stays: the sampler works longer.
	leaveEvery = 20
	leaveAfter = 300 * time.Millisecond
)

// leave makes a live request and goes away before its end.
func (l *load) leave(number int) {
	id, n := fmt.Sprintf("left-%d", number), l.anyNode()
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	send(ctx, n, http.MethodPost, "/safe/x"+standin.SlowPath, id, tenantKey(0, 1), []byte("hello"))
	if ctx.Err() != nil {
		l.system.judge.Left(id, n.name, time.Now())
	}
}

// request makes a live request.
func (l *load) request() {
	number := l.next()
	if number%leaveEvery == 0 {
		l.leave(number)
		return
	}
	kind := []string{"safe", "unsafe", boundKind}[number%3]
	id, tenant, n := fmt.Sprintf("%s-%d", kind, number), number%tenants, l.anyNode()
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	starts, stopping, _ := n.state()
	answer := send(ctx, n, http.MethodPost, "/"+kind+"/x", id, tenantKey(tenant, 1), []byte("hello"))
	after, stoppingAfter, disturbed := n.state()
	seen := Answer{
		Kind: kind, Tenant: tenantName(tenant), Node: n.name, Status: answer.status, Body: answer.body, Stamp: answer.stamp,
		CutByStop: answer.cut && !stopping && stoppingAfter && after == starts && !disturbed && l.system.alone(time.Second),
	}
	l.system.judge.Answered(id, seen)
}

// answer is what a caller got; status is 0 for no answer.
type answer struct {
	status      int
	body, stamp string
	// cut tells that the connection came up and ended without a whole answer.
	cut bool
}

// clients have a connection of their own for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends a request to a node.
func send(ctx context.Context, n *node, method, path, id, key string, body []byte) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(requestLimit.Milliseconds(), 10))
	request.Header.Set("X-Api-Key", key)
	response, err := client.Do(request)
	if err != nil {
		return answer{cut: ctx.Err() == nil && !refusedConnection(err)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{cut: ctx.Err() == nil}
	}
	return answer{status: response.StatusCode, body: string(content), stamp: response.Header.Get("Response-Stamp")}
}

package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/limits"
	"github.com/sliplift/sliplift/internal/meshnode/routing"
)

// Config holds the settings of a Dispatcher.
type Config struct {
	// Node and Zone are the node's own.
	Node string
	Zone string
	// Policy chooses back ends; empty means routing.DefaultPolicy.
	Policy routing.PolicyName
	// Seed feeds the policy's random numbers.
	Seed int64
	// MaxAttempts bounds the attempts of one request, hedges not counted.
	MaxAttempts int
	// RetryRatio, RetryMinimum (per second) and RetryBurst set the retry budget.
	RetryRatio   float64
	RetryMinimum float64
	RetryBurst   float64
	// HedgeDelay is how long a repeatable live request runs before a second
	// attempt is started beside it; zero means never.
	HedgeDelay time.Duration
	// StallTimeout is how long a repeatable request may hear nothing from a
	// back end that is suspect before it is continued elsewhere.
	StallTimeout time.Duration
	// CallerLimit bounds the requests in flight per caller; zero means no bound.
	CallerLimit int
	// TraceSize is the number of requests that Trace remembers.
	TraceSize int
	// CancelTimeout bounds a call in the background: a cancel or the completion
	// of a claim. CancelLimit bounds how many run at once; what is beyond is
	// dropped, because the engine also sees the connection close.
	CancelTimeout time.Duration
	CancelLimit   int
	Faults        Faults
}

// Faults switches mechanisms off, so that tests can show that a check fails
// without them. The zero value leaves all on.
type Faults struct {
	// RefuseAfterSending says refused of every request that did not complete,
	// also after it was sent.
	RefuseAfterSending bool
}

// DefaultConfig returns the settings for a node.
func DefaultConfig(node, zone string) Config {
	return Config{
		Node:          node,
		Zone:          zone,
		Policy:        routing.DefaultPolicy,
		MaxAttempts:   4,
		RetryRatio:    limits.DefaultRetryRatio,
		RetryMinimum:  limits.DefaultRetryMinimum,
		RetryBurst:    limits.DefaultRetryBurst,
		StallTimeout:  2 * time.Second,
		CallerLimit:   1024,
		TraceSize:     1024,
		CancelTimeout: 2 * time.Second,
		CancelLimit:   64,
	}
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	lg       logrus.FieldLogger
	cfg      Config
	engines  Engines
	backends Backends
	claimer  Claimer
	traces   *traceRing
	tasks    *backgroundTasks

	mu       sync.Mutex
	policy   routing.Policy
	budget   *limits.RetryBudget
	callers  limits.InFlight
	services map[string]time.Duration
	running  map[string]*execution
}

// NewDispatcher returns a Dispatcher. A nil claimer refuses every request that
// is not repeatable. The error tells of an unknown policy.
func NewDispatcher(lg logrus.FieldLogger, cfg Config, engines Engines, backends Backends, claimer Claimer) (*Dispatcher, error) {
	policy, err := routing.NewPolicy(cfg.Policy, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		lg:       lg,
		cfg:      cfg,
		engines:  engines,
		backends: backends,
		claimer:  claimer,
		traces:   newTraceRing(cfg.TraceSize),
		tasks:    newBackgroundTasks(cfg.CancelTimeout, cfg.CancelLimit),
		policy:   policy,
		budget:   limits.NewRetryBudget(cfg.RetryRatio, cfg.RetryMinimum, cfg.RetryBurst, time.Now()),
		services: map[string]time.Duration{},
		running:  map[string]*execution{},
	}, nil
}

// Close ends the calls in the background, waits for them, and cuts the requests
// that go on without their callers. All other requests must have ended before.
func (d *Dispatcher) Close() { d.tasks.close() }

// Do runs a request and returns its final outcome, at the latest when its
// deadline passes or ctx ends; then the stream is cancelled on its engine.
func (d *Dispatcher) Do(ctx context.Context, request Request) Result {
	e := &execution{d: d, request: request, started: time.Now()}
	if request.Resume != nil {
		e.progress = *request.Resume
	}
	e.trace = d.traces.begin(&request, e.started)
	result := d.admit(ctx, e)
	d.traces.end(e.trace, &result, time.Now())
	return result
}

// admit applies the checks that need no back end.
func (d *Dispatcher) admit(ctx context.Context, e *execution) Result {
	pool, ok := d.backends.PoolSnapshot(e.request.Pool)
	if !ok {
		return e.refuse(api.Refusal(http.StatusNotFound, api.CodeUnknownPool, 0, "no pool %q", e.request.Pool))
	}
	e.kind = pool.Kind
	e.view = &pool
	if !d.enter(e) {
		advice := limits.MinAdvice.Milliseconds()
		return e.refuse(api.Refusal(http.StatusTooManyRequests, api.CodeCallerLimit, advice,
			"caller %q has %d requests in flight", e.request.Caller, d.cfg.CallerLimit))
	}
	defer d.leave(e)
	if !e.request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, e.request.Deadline)
		defer cancel()
	}
	if e.request.Repeatable {
		return e.run(ctx)
	}
	return d.runClaimed(ctx, e)
}

func (d *Dispatcher) enter(e *execution) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.request.Caller != "" && !d.callers.Acquire(e.request.Caller, d.cfg.CallerLimit) {
		return false
	}
	d.budget.Request(e.started)
	d.running[e.request.RequestID] = e
	return true
}

func (d *Dispatcher) leave(e *execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.request.Caller != "" {
		d.callers.Release(e.request.Caller)
	}
	if d.running[e.request.RequestID] == e {
		delete(d.running, e.request.RequestID)
	}
}

// choose applies the policy.
func (d *Dispatcher) choose(pool *routing.Pool, request *routing.Request) routing.Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return routing.Choose(d.policy, pool, request)
}

// mayRetry takes from the retry budget.
func (d *Dispatcher) mayRetry() bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Retry(now)
}

// mayHedge takes from the part of the retry budget that hedges may use.
func (d *Dispatcher) mayHedge() bool {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Hedge(now)
}

// serviceWeight is the weight of the latest request in a pool's mean service
// time.
const serviceWeight = 0.1

func (d *Dispatcher) observeService(pool string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	mean, ok := d.services[pool]
	if !ok {
		mean = took
	}
	d.services[pool] = mean + time.Duration(serviceWeight*float64(took-mean))
}

// advice returns when a refused request should come back, in milliseconds.
func (d *Dispatcher) advice(pool *routing.Pool) int64 {
	d.mu.Lock()
	load := limits.PoolLoad{Service: d.services[pool.Name]}
	d.mu.Unlock()
	for i := range pool.Backends {
		b := &pool.Backends[i]
		if b.Draining || b.Suspect {
			continue
		}
		load.Running += b.Running
		load.Waiting += b.Waiting
		load.Capacity += b.Capacity
	}
	return limits.RetryAfter(load).Milliseconds()
}

package reload

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/eligibility"
	"github.com/sliplift/sliplift/internal/gatewaynode/eventlog"
	"github.com/sliplift/sliplift/internal/gatewaynode/fleet"
	"github.com/sliplift/sliplift/internal/gatewaynode/place"
	"github.com/sliplift/sliplift/internal/gatewaynode/presence"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowlease"
	"github.com/sliplift/sliplift/internal/gatewaynode/rowstore"
	"github.com/sliplift/sliplift/internal/pause"
)

// Config configures a Controller.
type Config struct {
	Store     rowstore.Store
	Presence  *presence.Registry
	Fleet     *fleet.Fleet
	Commander Commander
	// World returns what the node believes of back ends now.
	World  func(now time.Time) *eligibility.Snapshot
	Log    *eventlog.Log
	Timing rowlease.Timing
	// Leases is where the lease on giving orders is.
	Leases *rowlease.Leases
	// Pacing says how often the store may be asked.
	Pacing rowstore.Pacing
	// Mode says what becomes of runs under way.
	Mode Mode
	// Demand returns the work asked of each model lately, in any one unit.
	Demand func() map[string]float64
	// JobsKnown tells whether Demand and Widths know of the jobs that there are.
	JobsKnown func() bool
	// Interested tells whether this node makes use of what is loaded where.
	Interested func() bool
	// Widths returns the most items that one job of each model had lately.
	Widths func() map[string]int
	// Confined returns the regions in which the jobs of models may run, of those that are
	// bound to some.
	Confined func() map[string]place.Regions
}

// Controller takes part in the lease and gives orders while it holds it. It is
// safe for concurrent use.
type Controller struct {
	config    Config
	self      presence.Node
	lease     *rowlease.Lease
	loadsView *rowstore.View

	mu    sync.Mutex
	named map[string]int64

	// Of the holder. token is that of the last term of this node.
	token     int64
	orderFrom time.Time
	// termRevision is the revision of the row that every announcement depends on.
	termRevision int64
	// resting holds, by back end, until when it is left alone because the holder
	// before may have given it an order.
	resting  map[string]time.Time
	loadTime time.Duration
	busy     map[string]bool
	taken    map[string]int64
	wakes    chan struct{}
	loads    map[string]Load
	// seen tells by back end when its row of loads was seen to change.
	seen map[string]seenLoad
	// shares says which model each back end is for, as the last holder left it.
	shares map[string]string
	homes  homes
	// widths is what Config.Widths returned last.
	widths map[string]int
	// parallel finds, by service, how many load at once.
	parallel map[string]*parallelism
}

// NewController returns a controller; Run has to be called.
func NewController(config Config) *Controller {
	controller := &Controller{
		config: config,
		self:   config.Presence.Self(),
		named:  make(map[string]int64),
		busy:   make(map[string]bool),
		taken:  make(map[string]int64),
		loads:  make(map[string]Load),
		seen:   make(map[string]seenLoad),
		shares: make(map[string]string),

		parallel: make(map[string]*parallelism),
		wakes:    make(chan struct{}, 1),
	}
	controller.lease = config.Leases.Add(rowlease.Config{
		Name: LeaseName, Store: config.Store, Presence: config.Presence, Log: config.Log, Timing: config.Timing,
		Begin: controller.beginTerm,
	})
	controller.loadsView = rowstore.NewView(config.Log, config.Store, rowstore.ViewConfig{
		Name: "loads", Table: TableLoads, Partitions: []string{""}, Wait: config.Pacing.IdleWait, Apply: controller.applyLoads,
		Pace: func() time.Duration {
			return config.Pacing.InterestPace(controller.lease.Held() || config.Interested())
		},
	})
	return controller
}

// SetNamed records the newest named version of a model; it never goes back.
func (c *Controller) SetNamed(model string, version int64) {
	c.mu.Lock()
	newer := version > c.named[model]
	if newer {
		c.named[model] = version
	}
	c.mu.Unlock()
	if newer {
		c.config.Log.Info(eventlog.VersionNamed, eventlog.Fields{eventlog.Model: model, eventlog.Version: version})
		c.Kick()
	}
}

// Kick makes the controller look again at what has to be ordered.
func (c *Controller) Kick() {
	select {
	case c.wakes <- struct{}{}:
	default:
	}
}

// Near tells whether this node gives the orders, or is among the first that would.
func (c *Controller) Near() bool { return c.lease.Near() }

// Wanted tells that this node has begun to make use of what is loaded where.
func (c *Controller) Wanted() { c.loadsView.Kick() }

// needsLoads tells whether this node makes use of the loads, or could take the lease.
func (c *Controller) needsLoads() bool { return c.config.Interested() || c.lease.Near() }

// tick is how often the holder looks at the plan without an event.
const tick = 100 * time.Millisecond

// Run takes part until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { c.loadsView.RunOnceNeeded(ctx, c.needsLoads) })
	group.Go(func() { pause.EveryWhile(ctx, tick, c.wakes, c.lease.Held, func() { c.giveOrders(ctx) }) })
	group.Go(func() { pause.Every(ctx, forgetEvery, nil, func() { c.forgetGone(ctx) }) })
	group.Wait()
}

// loadingMost is how long an announced load keeps others away at most.
const loadingMost = 5 * time.Second

func (c *Controller) noteLoad(instance string, load Load) {
	for model, version := range load.Versions {
		c.config.Fleet.MarkVersion(instance, model, version)
	}
	c.config.Fleet.MarkLoading(instance, load.Loading, time.Now().Add(loadingMost))
	if load.Share != "" {
		c.config.Fleet.MarkAssignedModel(instance, load.Share)
	}
}

const (
	// forgetEvery is how often rows of back ends that are gone are looked for.
	forgetEvery = 30 * time.Second
	// forgetMost is how many of them are removed at a time.
	forgetMost = 50
)

// forgetGone removes what was written of back ends that are no longer there. An
// entry that only lapsed for a moment loses nothing: its registry row tells the
// versions again.
func (c *Controller) forgetGone(ctx context.Context) {
	now := time.Now()
	if !c.lease.Held() {
		return
	}
	c.mu.Lock()
	var transaction rowstore.Transaction
	for id := range c.loads {
		if _, found := c.config.Fleet.Get(id, now); !found && len(transaction.Deletes) < forgetMost {
			transaction.Deletes = append(transaction.Deletes, loadID(id))
		}
	}
	c.mu.Unlock()
	if len(transaction.Deletes) == 0 {
		return
	}
	if _, err := c.config.Store.Commit(ctx, transaction); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range transaction.Deletes {
		delete(c.loads, id.Key)
		delete(c.seen, id.Key)
		delete(c.shares, id.Key)
		delete(c.taken, id.Key)
	}
}

// Stop gives the lease up: what has been begun, and what the plan wants at once,
// is ended while ctx allows; then the row says that the lease is released.
func (c *Controller) Stop(ctx context.Context) {
	c.lease.Withdraw()
	for c.working(time.Now()) && ctx.Err() == nil {
		pause.For(ctx, tick)
	}
	c.lease.Release(c.quiet)
}

// quiet returns how long no load has been under way, as far as the lease cannot tell.
func (c *Controller) quiet() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.busy) > 0 {
		return 0
	}
	return c.config.Timing.Settle
}

// working tells whether this node holds the lease and still has orders to end
// or to give.
func (c *Controller) working(now time.Time) bool {
	backends := c.config.Fleet.All(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lease.Held() {
		return false
	}
	return len(c.busy) > 0 || len(c.plan(backends, now, c.parallelOf)) > 0
}

// Holder returns the lease's holder as this node knows it, for metrics.
func (c *Controller) Holder() (name string, held bool) { return c.lease.Holder() }

// giveOrders begins what the plan wants.
func (c *Controller) giveOrders(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	allowed := c.mayOrder(now)
	c.mu.Unlock()
	if !allowed || !c.loadsView.Status().Loaded || !c.config.JobsKnown() {
		return
	}
	backends, demand := c.config.Fleet.All(now), c.config.Demand()
	widths := c.config.Widths()
	world := c.config.World(now)
	within := bounds{regions: c.config.Confined(), zones: world.Zones}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayOrder(now) {
		return
	}
	c.widths = widths
	counted := usable(backends, world)
	away := len(backends) - len(counted)
	before := c.homes.before(c.shares, away)
	c.shares = c.homes.note(assignShares(counted, c.named, demand, before, within), before, backends, away)
	for _, next := range c.plan(backends, now, c.parallelOf) {
		c.busy[next.backend.ID] = true
		next.atOnce = len(c.busy)
		go c.carryOut(ctx, next, c.token)
	}
}

// plan returns the orders to be given next. The lock is held.
func (c *Controller) plan(backends []fleet.Backend, now time.Time, parallel func(service string, backends int) int) []step {
	return plan(planInput{
		backends: backends, world: c.config.World(now), named: c.named, shares: c.shares, busy: c.busy, resting: c.rests(now), parallel: parallel, widths: c.widths,
	})
}

// parallelOf returns how many back ends of a service may load at once. The lock
// is held.
func (c *Controller) parallelOf(service string, backends int) int {
	return c.parallelism(service, backends).level
}

func (c *Controller) parallelism(service string, backends int) *parallelism {
	found := c.parallel[service]
	if found == nil {
		found = newParallelism(backends)
		c.parallel[service] = found
	}
	return found
}

// unlimited lets a plan name all loads that are wanted.
func unlimited(string, int) int { return math.MaxInt }

// noteParallel records how long a load took beside others.
func (c *Controller) noteParallel(done step, took time.Duration, now time.Time) {
	backends := c.config.Fleet.All(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, members := 0, 0
	for _, b := range backends {
		if b.Service == done.backend.Service {
			members++
		}
	}
	for _, next := range c.plan(backends, now, unlimited) {
		if next.backend.Service == done.backend.Service {
			waiting++
		}
	}
	level := c.parallelism(done.backend.Service, members)
	level.observe(done.atOnce, took, waiting > level.level, now)
}

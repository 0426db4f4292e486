package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
	"github.com/sliplift/sliplift/internal/meshnode/drain"
	"github.com/sliplift/sliplift/internal/meshnode/weights"
)

// Lessor tells which shards this node holds.
type Lessor interface {
	// Held returns the lease's epoch, and false where this node must not act.
	Held(shard string) (epoch int64, ok bool)
}

// Configuration gives the configuration in force on this node.
type Configuration interface {
	Current() *configlog.State
}

// BackendClient reads and orders engines and application instances.
type BackendClient interface {
	Load(ctx context.Context, address string) (api.LoadReport, error)
	Order(ctx context.Context, address string, order api.Order) (api.OrderResponse, error)
}

// MachineWatch gives the names that the machine list shows as leaving.
type MachineWatch interface {
	Leaving() map[string]bool
}

// Config sets up a Controller.
type Config struct {
	// Node is this node's name, the holder named in orders.
	Node string
	// Interval is the time between two rounds over the held shards.
	Interval time.Duration
	// ReportTimeout bounds one report or order.
	ReportTimeout time.Duration
	// Concurrency bounds reports and orders under way at one time.
	Concurrency int
	// SettledReports is how many reports a second are read of settled shards,
	// all held shards together. It is what bounds the bytes that a holder spends
	// while there is nothing to order; see pace.
	SettledReports float64
	// SettledInterval bounds the time between two readings of a settled shard.
	SettledInterval time.Duration
	Limits          weights.Limits
}

// DefaultConfig returns the settings that docs/CAPACITY.md is worked out for.
func DefaultConfig(node string) Config {
	return Config{
		Node:            node,
		Interval:        time.Second,
		ReportTimeout:   time.Second,
		Concurrency:     32,
		SettledReports:  12,
		SettledInterval: 5 * time.Second,
		Limits:          weights.DefaultLimits(),
	}
}

// Controller runs the loop. Its methods are safe for concurrent use.
type Controller struct {
	cfg           Config
	log           logrus.FieldLogger
	lessor        Lessor
	configuration Configuration
	client        BackendClient
	machines      MachineWatch
	wake          chan struct{}
	slots         chan struct{}

	// pace belongs to Run.
	pace *pace

	mu       sync.Mutex
	rollouts map[string]*weights.Rollout
	reports  map[string]BackendReport
}

// BackendReport is the last report of a back end, as its shard's holder heard it.
type BackendReport struct {
	Backend configlog.Backend
	Pool    string
	Report  api.LoadReport
	// HeardAt is when it was heard, on this node's clock; zero for never.
	HeardAt time.Time
	// Err is why the last attempt to hear from it failed, nil if it did not.
	Err error
}

// NewController returns a controller that does nothing until Run.
func NewController(cfg Config, log logrus.FieldLogger, lessor Lessor, configuration Configuration, client BackendClient, machines MachineWatch) *Controller {
	return &Controller{
		cfg:           cfg,
		log:           log,
		lessor:        lessor,
		configuration: configuration,
		client:        client,
		machines:      machines,
		wake:          make(chan struct{}, 1),
		slots:         make(chan struct{}, cfg.Concurrency),
		pace:          newPace(cfg.SettledReports, cfg.SettledInterval),
		rollouts:      map[string]*weights.Rollout{},
		reports:       map[string]BackendReport{},
	}
}

// Wake asks for a round at once, for example after a configuration change.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run goes round the held shards until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.cfg.Interval)
	defer ticker.Stop()
	for {
		c.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.wake:
			c.pace.hurry()
		}
	}
}

// round serves each held shard that is due once, all of them side by side.
func (c *Controller) round(ctx context.Context) {
	state := c.configuration.Current()
	held := make(map[string]bool)
	settled := make(map[string]*bool)
	var group sync.WaitGroup
	shards := Shards(state)
	now := time.Now()
	for _, shard := range shards {
		epoch, ok := c.lessor.Held(shard.Name)
		if !ok {
			continue
		}
		held[shard.Name] = true
		if !c.pace.due(now, shard.Name) {
			continue
		}
		outcome := new(bool)
		settled[shard.Name] = outcome
		group.Go(func() { *outcome = c.serveShard(ctx, state, shard, epoch, len(shards)) })
	}
	group.Wait()
	for _, shard := range shards {
		switch outcome := settled[shard.Name]; {
		case !held[shard.Name]:
			c.pace.forget(shard.Name)
		case outcome != nil:
			c.pace.served(now, shard.Name, len(shard.Backends), *outcome)
		}
	}
	c.forget(held, shards)
}

// forget drops what belongs to shards that this node no longer holds, so that
// it does not answer for them.
func (c *Controller) forget(held map[string]bool, shards []Shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := map[string]bool{}
	for _, shard := range shards {
		for _, backend := range shard.Backends {
			current[backend.Name] = held[shard.Name]
		}
	}
	for name := range c.rollouts {
		if !held[name] {
			delete(c.rollouts, name)
		}
	}
	for name := range c.reports {
		if !current[name] {
			delete(c.reports, name)
		}
	}
}

// serveShard reads the shard's back ends, sends the orders that are due, and
// tells whether the shard is settled: nothing was ordered and no load is under
// way or waiting. Back ends that are not heard, or were set aside, do not keep a
// shard from being settled, since some always are.
func (c *Controller) serveShard(ctx context.Context, state *configlog.State, shard Shard, epoch int64, shardCount int) bool {
	reports := c.readReports(ctx, shard)
	c.remember(reports)
	settled := c.sendRoles(ctx, state, shard, epoch, reports) == 0
	if shard.Pool.Kind != configlog.PoolEngines {
		return settled
	}
	progress := c.sendVersions(ctx, shard, epoch, reports, limitsFor(c.cfg.Limits, state, shardCount))
	return settled && progress.Loading == 0 && progress.Waiting == 0
}

// remember keeps a back end's last good report where the new attempt failed.
func (c *Controller) remember(reports []BackendReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, report := range reports {
		if report.Err != nil {
			last := c.reports[report.Backend.Name]
			report.Report, report.HeardAt = last.Report, last.HeardAt
		}
		c.reports[report.Backend.Name] = report
	}
}

// sendRoles returns the number of orders that were due to back ends that are
// heard.
func (c *Controller) sendRoles(ctx context.Context, state *configlog.State, shard Shard, epoch int64, reports []BackendReport) int {
	var known []drain.Report
	heard := map[string]bool{}
	for _, report := range reports {
		heard[report.Backend.Name] = report.Err == nil
		known = append(known, drain.Report{
			Backend:   report.Backend,
			Role:      report.Report.Role,
			Leaving:   report.Report.Leaving,
			Reachable: report.Err == nil,
		})
	}
	var group sync.WaitGroup
	due := 0
	for _, order := range drain.Orders(state, c.machines.Leaving(), known) {
		if heard[order.Backend.Name] {
			due++
		}
		group.Go(func() {
			request := api.Order{Shard: shard.Name, Epoch: epoch, Holder: c.cfg.Node, Kind: api.OrderSetRole, Role: order.Role}
			err := c.order(ctx, order.Backend, request)
			c.logOrder(order.Backend.Name, request, roleReason(order.Reason), err)
		})
	}
	group.Wait()
	return due
}

// sendVersions returns how far the shard is, the orders just sent included.
func (c *Controller) sendVersions(ctx context.Context, shard Shard, epoch int64, reports []BackendReport, limits weights.Limits) weights.Progress {
	var engines []weights.Engine
	backends := map[string]configlog.Backend{}
	for _, report := range reports {
		backends[report.Backend.Name] = report.Backend
		engines = append(engines, weights.Engine{
			Name:      report.Backend.Name,
			Version:   report.Report.Version,
			Loading:   report.Report.Loading,
			LoadError: report.Report.LoadError,
			Running:   report.Report.Running,
			Reachable: report.Err == nil,
		})
	}
	rollout := c.rollout(shard.Name, limits)
	orders, progress := c.step(rollout, shard.Pool, engines)
	var group sync.WaitGroup
	for _, order := range orders {
		group.Go(func() {
			request := api.Order{Shard: shard.Name, Epoch: epoch, Holder: c.cfg.Node, Kind: api.OrderLoadVersion, Version: order.Version}
			err := c.order(ctx, backends[order.Engine], request)
			if err != nil {
				c.orderFailed(rollout, order.Engine)
			}
			c.logOrder(order.Engine, request, "new target version", err)
		})
	}
	group.Wait()
	return progress
}

func (c *Controller) rollout(shard string, limits weights.Limits) *weights.Rollout {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, ok := c.rollouts[shard]
	if !ok {
		current = weights.NewRollout(limits)
		c.rollouts[shard] = current
	}
	current.SetLimits(limits)
	return current
}

func (c *Controller) step(rollout *weights.Rollout, pool configlog.Pool, engines []weights.Engine) ([]weights.Order, weights.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := len(rollout.Progress().SetAside)
	orders := rollout.Step(time.Now(), pool.TargetVersion(), pool.PinnedVersion != 0, engines)
	progress := rollout.Progress()
	if len(progress.SetAside) > before {
		fields := logrus.Fields{"pool": pool.Name, "version": progress.Target, "back_ends": progress.SetAside}
		c.log.WithFields(fields).Warn("engines failed to load the version too often and are set aside")
	}
	return orders, progress
}

func (c *Controller) orderFailed(rollout *weights.Rollout, engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rollout.OrderFailed(time.Now(), engine)
}

// order sends one order, if the lease still holds with the same epoch.
func (c *Controller) order(ctx context.Context, backend configlog.Backend, order api.Order) error {
	c.slots <- struct{}{}
	defer func() { <-c.slots }()
	epoch, ok := c.lessor.Held(order.Shard)
	if !ok || epoch != order.Epoch {
		return ErrLeaseLost.Errorf("shard %s, epoch %d", order.Shard, order.Epoch)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ReportTimeout)
	defer cancel()
	_, err := c.client.Order(ctx, backend.Address, order)
	return err
}

// roleReason names the reason of a role order in the log.
func roleReason(reason drain.Reason) string {
	if reason == drain.ReasonNone {
		return "nothing drains it any more"
	}
	return string(reason)
}

// logOrder writes one line for an order that was sent, or could not be.
func (c *Controller) logOrder(backend string, order api.Order, reason string, err error) {
	fields := logrus.Fields{"back_end": backend, "shard": order.Shard, "epoch": order.Epoch, "reason": reason}
	if order.Kind == api.OrderLoadVersion {
		fields["version"] = order.Version
	} else {
		fields["role"] = order.Role
	}
	if err != nil {
		c.log.WithFields(fields).WithError(err).Warn("order failed")
		return
	}
	c.log.WithFields(fields).Info("order taken")
}

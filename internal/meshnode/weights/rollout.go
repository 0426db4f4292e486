// Package weights decides how a new weight version spreads over the engines of
// one shard of a pool.
//
// The holder of the shard's lease calls Rollout.Step with what the engines last
// reported and sends the orders that it returns. A version spreads in waves: at
// most a share of the shard's engines loads at one time, so that the others keep
// generating, and no more than the shard's part of the weight store's rate, so
// that pulls are not turned away. Engines that run the fewest streams go first,
// since a load pauses them.
//
// Invariants:
//   - An engine is never ordered to a version below the one it reported, unless
//     the pool is pinned to a lower one.
//   - A new target overrides an older one at once: engines that have not begun
//     skip the older version.
//   - A load that failed is tried again after a back-off, and after MaxAttempts
//     the engine is set aside for that version and shown as such. It is tried
//     again when the target changes.
//
// What is loaded is taken from the engines' own reports only: an order that was
// accepted and a load that finished are different things.
package weights

import (
	"cmp"
	"slices"
	"time"
)

// Engine is what one engine of the shard last reported.
type Engine struct {
	Name string
	// Version is loaded, Loading is being loaded (zero for none).
	Version int64
	Loading int64
	// LoadError is the reason the last load failed, empty if it did not.
	LoadError string
	// Running counts the streams that a load would pause.
	Running int
	// Reachable is false where the last report is too old to act on.
	Reachable bool
}

// Limits bounds one shard's rollout.
type Limits struct {
	// SwapShare in (0,1] is the share of the shard's engines that may load at
	// one time. At least one engine always may.
	SwapShare float64
	// MaxPulls is the shard's part of the weight store's concurrent pulls; zero
	// means no limit.
	MaxPulls int
	// Backoff is the wait after the first failed load; it doubles with each.
	Backoff time.Duration
	// OrderTimeout is how long an accepted order may go without showing in the
	// engine's report before it is sent again.
	OrderTimeout time.Duration
	// MaxAttempts is the number of failed loads after which an engine is set
	// aside for the version.
	MaxAttempts int
}

// DefaultLimits returns the limits that docs/CAPACITY.md is worked out for.
func DefaultLimits() Limits {
	return Limits{
		SwapShare:    0.25,
		Backoff:      time.Second,
		OrderTimeout: 3 * time.Second,
		MaxAttempts:  5,
	}
}

// Order tells the holder to order Engine to load Version.
type Order struct {
	Engine  string
	Version int64
}

// Progress counts the shard's engines by how far they are, as of the last Step.
type Progress struct {
	Target   int64    `json:"target"`
	Total    int      `json:"total"`
	Loaded   int      `json:"loaded"`
	Loading  int      `json:"loading"`
	Waiting  int      `json:"waiting"`
	SetAside []string `json:"set_aside,omitempty"`
	Unheard  []string `json:"unheard,omitempty"`
}

// Complete tells whether every engine has the target version.
func (p Progress) Complete() bool { return p.Loaded == p.Total }

// attempt is what the rollout did to one engine for the current target.
type attempt struct {
	orderedAt time.Time
	ordered   bool
	failures  int
	notBefore time.Time
}

// Rollout spreads versions over the engines of one shard. It is not safe for
// concurrent use and holds nothing that a new holder would miss.
type Rollout struct {
	limits   Limits
	target   int64
	attempts map[string]*attempt
	progress Progress
}

// NewRollout returns a rollout without a target.
func NewRollout(limits Limits) *Rollout {
	return &Rollout{limits: limits, attempts: map[string]*attempt{}}
}

// SetLimits replaces the limits from the next Step on.
func (r *Rollout) SetLimits(limits Limits) { r.limits = limits }

// Progress returns the counts of the last Step.
func (r *Rollout) Progress() Progress { return r.progress }

// Step takes the engines' reports and the pool's target version and returns the
// orders to send now. pinned allows an engine to go to a lower version.
func (r *Rollout) Step(now time.Time, target int64, pinned bool, engines []Engine) []Order {
	if target != r.target {
		r.target = target
		r.attempts = map[string]*attempt{}
	}
	r.progress = Progress{Target: target, Total: len(engines)}
	if target == 0 {
		return nil
	}
	candidates := r.candidates(now, pinned, engines)
	free := r.swapLimit(len(engines)) - r.progress.Loading
	free = max(0, min(free, len(candidates)))
	orders := make([]Order, 0, free)
	for _, engine := range candidates[:free] {
		r.attempt(engine.Name).ordered = true
		r.attempt(engine.Name).orderedAt = now
		orders = append(orders, Order{Engine: engine.Name, Version: target})
	}
	r.progress.Loading += len(orders)
	r.progress.Waiting -= len(orders)
	return orders
}

// OrderFailed tells that an order did not reach the engine or was refused.
func (r *Rollout) OrderFailed(now time.Time, engine string) {
	r.fail(now, r.attempt(engine))
}

// candidates counts the engines into the progress and returns those that may be
// ordered now, least busy first.
func (r *Rollout) candidates(now time.Time, pinned bool, engines []Engine) []Engine {
	var found []Engine
	for _, engine := range engines {
		if r.mayOrder(now, pinned, engine) {
			found = append(found, engine)
		}
	}
	slices.SortFunc(found, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.Name, b.Name))
	})
	return found
}

func (r *Rollout) mayOrder(now time.Time, pinned bool, engine Engine) bool {
	current := r.attempt(engine.Name)
	switch {
	case engine.Version == r.target, engine.Version > r.target && !pinned:
		r.progress.Loaded++
		return false
	case !engine.Reachable:
		r.progress.Unheard = append(r.progress.Unheard, engine.Name)
		return false
	case engine.Loading != 0:
		r.progress.Loading++
		return false
	}
	r.noteReport(now, engine, current)
	switch {
	case current.ordered:
		r.progress.Loading++
		return false
	case current.failures >= r.limits.MaxAttempts:
		r.progress.SetAside = append(r.progress.SetAside, engine.Name)
		return false
	}
	r.progress.Waiting++
	return !now.Before(current.notBefore)
}

// noteReport ends an outstanding order that the engine reports as failed, or
// that never showed in its report.
func (r *Rollout) noteReport(now time.Time, engine Engine, current *attempt) {
	if !current.ordered {
		return
	}
	waited := now.Sub(current.orderedAt)
	failed := engine.LoadError != "" && waited >= r.limits.Backoff
	if failed || waited >= r.limits.OrderTimeout {
		r.fail(now, current)
	}
}

func (r *Rollout) fail(now time.Time, current *attempt) {
	current.ordered = false
	current.notBefore = now.Add(r.limits.Backoff << min(current.failures, maxBackoffShift))
	current.failures++
}

// maxBackoffShift bounds the back-off at 32 times the first one.
const maxBackoffShift = 5

func (r *Rollout) swapLimit(engines int) int {
	limit := max(1, int(float64(engines)*r.limits.SwapShare))
	if r.limits.MaxPulls > 0 {
		limit = min(limit, r.limits.MaxPulls)
	}
	return limit
}

func (r *Rollout) attempt(engine string) *attempt {
	current, ok := r.attempts[engine]
	if !ok {
		current = &attempt{}
		r.attempts[engine] = current
	}
	return current
}

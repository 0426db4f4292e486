// Package fleet is what a node believes of the back ends: which instances there
// are (from the platform's registry), how loaded and how fast each is (from the
// answers this node got), and which are to be left alone for a while.
//
// The registry decides who may get work: an instance that is draining or gone
// gets nothing new. Everything else only orders the choice. Snapshots are
// values; what callers choose from them is decided by pure functions.
package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sliplift/sliplift/internal/gatewaynode/place"
)

// Instance is one incarnation of a back end as the registry tells it.
type Instance struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Models maps a model to the version of its weights.
	Models map[string]int64
	// Cold is how much longer it stays cold from the entry's writing on.
	Cold time.Duration
	// Born is when it started, in milliseconds of its own clock; 0 if it does not say. One
	// that starts again under its id holds nothing of what it held.
	Born int64
	// Revision is the store's revision of the entry.
	Revision int64
}

// Condition is what the node learnt of an instance by itself.
type Condition struct {
	// InFlight counts this node's requests at the instance.
	InFlight int
	// OthersRunning estimates the requests of other nodes, as of LoadAt.
	OthersRunning int
	Waiting       int
	LoadAt        time.Time
	// Slowdown is how many times as long as usual work took there as of LoadAt by its own
	// word, 0 if it does not say.
	Slowdown float64
	// Latency is a moving average of whole answers, each as if it were one of those that
	// take the usual time; Pace of the time between two
	// events of a stream. 0 means unknown.
	Latency time.Duration
	// ScoreLatency is a moving average of calls of scoring services: one takes several
	// times as long as most requests at the same back end.
	ScoreLatency time.Duration
	Pace         time.Duration
	PaceAt       time.Time
	// Settled is the pace over the last seconds: what shares its machine with others is
	// slow for a moment now and then, which says nothing of the moments after.
	Settled time.Duration
	// Lasting is the pace over the instance's life.
	Lasting LastingPace
	// Failures counts failures in a row; until SuspendedUntil it gets no work
	// unless there is no other.
	Failures       int
	SuspendedUntil time.Time
	SuspendReason  string
	// Share is the model that the instance is meant for where several share a service,
	// empty if none is known.
	Share string
	// LoadingModel is the model whose weights are being changed, empty if none.
	LoadingModel string
	LoadingUntil time.Time
	// ColdUntil is until when the back end is taken to be cold: slow, and unable to bear
	// what a warm one does.
	ColdUntil time.Time
}

// Memory is what is known of a back end's memory for tokens, which the requests that
// it runs share. A back end that runs out of it puts requests back.
type Memory struct {
	// Most is the memory, 0 if it is not known.
	Most int
	// Held is what this node's requests there hold now, Expected, what they are expected
	// to hold at their ends.
	Held, Expected int
}

// Full returns the share of the memory that is in use once more tokens are held; 0 if
// the memory is not known.
func (m Memory) Full(more int) float64 { return m.share(m.Held + more) }

// Crowded returns the share of the memory that will be in use if all ends as expected
// and more tokens are held at the end; 0 if the memory is not known.
func (m Memory) Crowded(more int) float64 { return m.share(m.Expected + more) }

func (m Memory) share(tokens int) float64 {
	if m.Most <= 0 {
		return 0
	}
	return float64(tokens) / float64(m.Most)
}

// Reach is what lies between a node and a back end.
type Reach struct {
	Distance place.Distance
	// Idle counts the idle connections that stand to it.
	Idle int
	// Order is its place in the node's own order of all back ends, the lowest first.
	Order uint64
}

// Backend is an instance with its condition, as of one moment.
type Backend struct {
	Instance
	Condition
	// Memory and Reach are left zero by the fleet; who places requests fills them in.
	Memory Memory
	Reach  Reach
}

// SettledPace returns the pace over the last seconds, or the last one measured if that is all
// there is; 0 if none is known.
func (c Condition) SettledPace() time.Duration {
	if c.Settled == 0 {
		return c.Pace
	}
	return c.Settled
}

// Cold tells whether the back end is taken to be cold.
func (b Backend) Cold(now time.Time) bool { return b.ColdUntil.After(now) }

// Suspended tells whether the back end is to be left alone.
func (b Backend) Suspended(now time.Time) bool { return now.Before(b.SuspendedUntil) }

// slowdownFades is the time in which what a back end said of its pace loses two thirds of its
// worth: what it shares its machine with changes several times a second.
const slowdownFades = 500 * time.Millisecond

// SlowNow returns how many times as long as usual work is expected to take: as the back end
// said, the less the longer ago; 1 where it says nothing.
func (b Backend) SlowNow(now time.Time) float64 {
	if b.Slowdown <= 0 {
		return 1
	}
	age := max(now.Sub(b.LoadAt), 0)
	return 1 + (b.Slowdown-1)*math.Exp(-float64(age)/float64(slowdownFades))
}

// Load returns the share of the back end's slots that is in use, as far as
// this node knows.
func (b Backend) Load() float64 {
	slots := max(b.Slots, 1)
	return float64(b.InFlight+b.OthersRunning) / float64(slots)
}

// loadTTL is how long a reported load counts.
const loadTTL = 2 * time.Second

type entry struct {
	instance  Instance
	condition Condition
	// loaded is known beside the registry; models is both, never changed in place,
	// so that snapshots share it.
	loaded, models map[string]int64
}

// merge makes models anew.
func (e *entry) merge() {
	if len(e.loaded) == 0 {
		e.models = e.instance.Models
		return
	}
	e.models = make(map[string]int64, len(e.instance.Models))
	for model, version := range e.instance.Models {
		e.models[model] = max(version, e.loaded[model])
	}
}

// Fleet holds the back ends. It is safe for concurrent use.
type Fleet struct {
	mu        sync.Mutex
	instances map[string]*entry
	// services holds the same entries by service, each list ordered by id.
	services map[string][]*entry
	onChange func()
}

// New returns an empty fleet. onChange, which may be nil, is called without
// locks held after each change of the registry.
func New(onChange func()) *Fleet {
	return &Fleet{instances: make(map[string]*entry), services: make(map[string][]*entry), onChange: onChange}
}

// Replace makes the registry hold exactly the instances given, but for those
// it holds at a newer revision.
func (f *Fleet) Replace(instances []Instance) {
	f.mu.Lock()
	keep := make(map[string]bool, len(instances))
	for _, instance := range instances {
		keep[instance.ID] = true
		f.put(instance)
	}
	for id := range f.instances {
		if !keep[id] {
			f.remove(id)
		}
	}
	f.mu.Unlock()
	f.changed()
}

// Update applies changed instances and removals.
func (f *Fleet) Update(instances []Instance, removed []string) {
	f.mu.Lock()
	for _, instance := range instances {
		f.put(instance)
	}
	for _, id := range removed {
		f.remove(id)
	}
	f.mu.Unlock()
	f.changed()
}

func (f *Fleet) changed() {
	if f.onChange != nil {
		f.onChange()
	}
}

// put adds an instance or takes a newer entry of it. The lock is held.
func (f *Fleet) put(instance Instance) {
	held := f.instances[instance.ID]
	if held != nil && instance.Revision < held.instance.Revision {
		return
	}
	if held != nil && held.instance.Service != instance.Service {
		f.remove(instance.ID)
		held = nil
	}
	if held == nil {
		held = &entry{}
		f.instances[instance.ID] = held
		f.enlist(held, instance)
	}
	if newer := instance.Revision > held.instance.Revision; newer && instance.Cold > 0 {
		held.condition.ColdUntil = later(held.condition.ColdUntil, time.Now().Add(instance.Cold))
	}
	if held.instance.Born != 0 && instance.Born != 0 && held.instance.Born != instance.Born {
		held.startAnew()
	}
	held.instance = instance
	held.merge()
}

// startAnew forgets what is known of an instance that ended: another one has its id. Requests
// of this node that are under way end by themselves and are counted until then.
func (e *entry) startAnew() {
	e.loaded = nil
	e.condition = Condition{InFlight: e.condition.InFlight, Share: e.condition.Share, ColdUntil: e.condition.ColdUntil}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// enlist puts an entry into its service's list. The lock is held.
func (f *Fleet) enlist(e *entry, instance Instance) {
	list := f.services[instance.Service]
	place, _ := slices.BinarySearchFunc(list, instance.ID, byID)
	f.services[instance.Service] = slices.Insert(list, place, e)
}

// remove forgets an instance. The lock is held.
func (f *Fleet) remove(id string) {
	held := f.instances[id]
	if held == nil {
		return
	}
	delete(f.instances, id)
	list := f.services[held.instance.Service]
	if place, found := slices.BinarySearchFunc(list, id, byID); found {
		f.services[held.instance.Service] = slices.Delete(list, place, place+1)
	}
}

func byID(e *entry, id string) int { return cmp.Compare(e.instance.ID, id) }

// MarkVersion records that an instance holds a version of a model, where that
// is known before the registry says so.
func (f *Fleet) MarkVersion(id, model string, version int64) {
	f.mu.Lock()
	held := f.instances[id]
	if held != nil {
		if held.loaded == nil {
			held.loaded = make(map[string]int64)
		}
		held.loaded[model] = max(held.loaded[model], version)
		held.merge()
	}
	f.mu.Unlock()
	f.changed()
}

// MarkLoading records that the weights of a model are being changed at an
// instance, until a time at the latest; an empty model ends it.
func (f *Fleet) MarkLoading(id, model string, until time.Time) {
	f.with(id, func(c *Condition) { c.LoadingModel, c.LoadingUntil = model, until })
	f.changed()
}

// MarkCold records that an instance may be cold until a time. What is known to be cold
// for longer stays so.
func (f *Fleet) MarkCold(id string, until time.Time) {
	f.with(id, func(c *Condition) { c.ColdUntil = later(c.ColdUntil, until) })
}

// MarkShare records the model that an instance is meant for.
func (f *Fleet) MarkShare(id, model string) {
	f.with(id, func(c *Condition) { c.Share = model })
}

// Service returns the back ends of a service, ordered by id.
func (f *Fleet) Service(service string, now time.Time) []Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.services[service]
	backends := make([]Backend, len(list))
	for i, held := range list {
		backends[i] = held.backend(now)
	}
	return backends
}

// Slots returns the slots of all back ends of a service, and how many models
// they hold.
func (f *Fleet) Slots(service string) (slots, models int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := make(map[string]bool)
	for _, e := range f.services[service] {
		slots += e.instance.Slots
		for model := range e.instance.Models {
			held[model] = true
		}
	}
	return slots, len(held)
}

// Models returns the models that the back ends of a service hold, ordered.
func (f *Fleet) Models(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := make(map[string]bool)
	for _, e := range f.services[service] {
		for model := range e.instance.Models {
			held[model] = true
		}
	}
	return slices.Sorted(maps.Keys(held))
}

// All returns all back ends, ordered by id.
func (f *Fleet) All(now time.Time) []Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	backends := make([]Backend, 0, len(f.instances))
	for _, held := range f.instances {
		backends = append(backends, held.backend(now))
	}
	slices.SortFunc(backends, func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	return backends
}

// Get returns the back end of that id.
func (f *Fleet) Get(id string, now time.Time) (Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.instances[id]
	if held == nil {
		return Backend{}, false
	}
	return held.backend(now), true
}

func (e *entry) backend(now time.Time) Backend {
	backend := Backend{Instance: e.instance, Condition: e.condition}
	if now.Sub(e.condition.LoadAt) > loadTTL {
		backend.OthersRunning, backend.Waiting = 0, 0
	}
	if now.After(e.condition.LoadingUntil) {
		backend.LoadingModel = ""
	}
	backend.Models = e.models
	return backend
}

func (f *Fleet) with(id string, change func(*Condition)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.instances[id]; held != nil {
		change(&held.condition)
	}
}

// Begin counts a request at the instance; the function returned ends it.
func (f *Fleet) Begin(id string) func() {
	f.with(id, func(c *Condition) { c.InFlight++ })
	var once sync.Once
	return func() {
		once.Do(func() { f.with(id, func(c *Condition) { c.InFlight-- }) })
	}
}

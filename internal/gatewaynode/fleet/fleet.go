// Package fleet holds a node's view of the backends: the instances in the platform's
// registry, the load and speed of each as observed in the answers to this node, and the
// suspensions after failures.
//
// An instance that the registry lists as draining or no longer lists gets no new requests.
// Load, speed and suspensions only rank the others. The snapshots that Fleet returns are
// not changed by later updates.
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

// Instance is a backend as listed in the registry.
type Instance struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Models maps a model to the version of its weights.
	Models map[string]int64
	// ColdDuration is how long the instance stays cold after the registry entry was written.
	ColdDuration time.Duration
	// StartedAt is the start time of the process in milliseconds of its own clock, 0 if it
	// is not reported. A change means that the process restarted and lost its state.
	StartedAt int64
	// Revision is the store's revision of the registry entry.
	Revision int64
}

// Condition is the state of an instance that the node observed itself.
type Condition struct {
	// InFlight counts this node's requests at the instance.
	InFlight int
	// OthersRunning is the estimated number of running requests of other nodes at LoadAt.
	OthersRunning int
	// Waiting is the length of the instance's queue at LoadAt.
	Waiting int
	// LoadAt is when the instance last reported its load.
	LoadAt time.Time
	// Slowdown is the factor by which the instance ran slower than usual at LoadAt, as it
	// reported; 0 if it does not report one.
	Slowdown float64
	// Latency is a moving average of the time of whole answers, each normalized by the
	// usual time of its route. 0 means unknown.
	Latency time.Duration
	// ScoreLatency is a moving average of the time of calls to scoring services, which
	// take several times as long as most requests. 0 means unknown.
	ScoreLatency time.Duration
	// Pace is a moving average of the time between two events of a stream, over
	// paceWindow and all streams. 0 means unknown.
	Pace time.Duration
	// PaceAt is when the pace was last measured.
	PaceAt time.Time
	// SmoothedPace is the same average over smoothedPaceWindow. It evens out the short slow
	// phases of an instance that shares its machine with other processes.
	SmoothedPace time.Duration
	// LifetimePace is the average over the lifetime of the instance.
	LifetimePace LifetimePace
	// Failures counts consecutive failures.
	Failures int
	// SuspendedUntil is until when the instance gets requests only if no other can.
	SuspendedUntil time.Time
	SuspendReason  string
	// AssignedModel is the model assigned to the instance where the models of a service are
	// divided among its instances, empty if unknown.
	AssignedModel string
	// LoadingModel is the model whose weights are being changed, empty if none.
	LoadingModel string
	// LoadingUntil is when LoadingModel expires.
	LoadingUntil time.Time
	// ColdUntil is until when the backend is assumed to be cold: slow, and overloaded by
	// the request rate of a warm one.
	ColdUntil time.Time
}

// Memory is the token memory of a backend, shared by its running requests. All sizes are
// in tokens. A backend that runs out of it preempts requests.
type Memory struct {
	// Capacity is the capacity, 0 if unknown.
	Capacity int
	// Held is the current use by this node's requests.
	Held int
	// Expected is the use expected of this node's requests when they end.
	Expected int
}

// Utilization returns the fraction of the capacity in use after adding more tokens, 0 if the
// capacity is unknown.
func (m Memory) Utilization(more int) float64 { return m.share(m.Held + more) }

// ExpectedUtilization returns the fraction of the capacity in use when the requests end,
// after adding more tokens, 0 if the capacity is unknown.
func (m Memory) ExpectedUtilization(more int) float64 { return m.share(m.Expected + more) }

func (m Memory) share(tokens int) float64 {
	if m.Capacity <= 0 {
		return 0
	}
	return float64(tokens) / float64(m.Capacity)
}

// Reach describes the path from a node to a backend.
type Reach struct {
	Distance place.Distance
	// Idle counts the idle connections to the backend.
	Idle int
	// Order is the rank of the backend in the node's own order of all backends; the
	// lowest comes first.
	Order uint64
}

// Backend is a snapshot of an instance and its condition.
type Backend struct {
	Instance
	Condition
	// Memory and Reach are left zero by Fleet; the code that places requests sets them.
	Memory Memory
	Reach  Reach
}

// SmoothedPaceOrPace returns SmoothedPace, or Pace if SmoothedPace is unknown; 0 if both are.
func (c Condition) SmoothedPaceOrPace() time.Duration {
	if c.SmoothedPace == 0 {
		return c.Pace
	}
	return c.SmoothedPace
}

// Cold reports whether the backend is assumed to be cold.
func (b Backend) Cold(now time.Time) bool { return b.ColdUntil.After(now) }

// Suspended reports whether the backend is suspended after failures.
func (b Backend) Suspended(now time.Time) bool { return now.Before(b.SuspendedUntil) }

// slowdownDecay is the time constant of the exponential decay of a reported slowdown. It is
// short because the load of other processes on a machine changes several times a second.
const slowdownDecay = 500 * time.Millisecond

// ExpectedSlowdown returns the slowdown expected now: the reported one, decaying towards 1
// with its age, or 1 if none is reported.
func (b Backend) ExpectedSlowdown(now time.Time) float64 {
	if b.Slowdown <= 0 {
		return 1
	}
	age := max(now.Sub(b.LoadAt), 0)
	return 1 + (b.Slowdown-1)*math.Exp(-float64(age)/float64(slowdownDecay))
}

// Load returns the fraction of the backend's slots that this node believes to be in use.
// It exceeds 1 if there are more requests than slots.
func (b Backend) Load() float64 {
	slots := max(b.Slots, 1)
	return float64(b.InFlight+b.OthersRunning) / float64(slots)
}

// loadTTL is how long a reported load is used.
const loadTTL = 2 * time.Second

type entry struct {
	instance  Instance
	condition Condition
	// loaded holds the versions recorded by MarkVersion.
	loaded map[string]int64
	// models is instance.Models updated by loaded. It is replaced and never modified,
	// because snapshots share it.
	models map[string]int64
}

// mergeModels recomputes models. The fleet's lock is held.
func (e *entry) mergeModels() {
	if len(e.loaded) == 0 {
		e.models = e.instance.Models
		return
	}
	e.models = make(map[string]int64, len(e.instance.Models))
	for model, version := range e.instance.Models {
		e.models[model] = max(version, e.loaded[model])
	}
}

// Fleet holds all backends. It is safe for concurrent use.
type Fleet struct {
	mu        sync.Mutex
	instances map[string]*entry
	// services holds the same entries by service, each list sorted by id.
	services map[string][]*entry
	onChange func()
}

// New returns an empty Fleet. onChange, which may be nil, is called without locks held after
// each change of the instances, their models or LoadingModel.
func New(onChange func()) *Fleet {
	return &Fleet{instances: make(map[string]*entry), services: make(map[string][]*entry), onChange: onChange}
}

// Replace replaces all instances. An instance that is already held at a newer revision is
// kept as it is.
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

// Update applies changed instances, then removals by id.
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

// put adds or updates an instance unless a newer revision is held. The lock is held.
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
		f.addToService(held, instance)
	}
	if newer := instance.Revision > held.instance.Revision; newer && instance.ColdDuration > 0 {
		held.condition.ColdUntil = later(held.condition.ColdUntil, time.Now().Add(instance.ColdDuration))
	}
	if held.instance.StartedAt != 0 && instance.StartedAt != 0 && held.instance.StartedAt != instance.StartedAt {
		held.reset()
	}
	held.instance = instance
	held.mergeModels()
}

// reset clears the state of an instance that restarted. The requests of this node that
// are in flight stay counted until their callers end them.
func (e *entry) reset() {
	e.loaded = nil
	e.condition = Condition{InFlight: e.condition.InFlight, AssignedModel: e.condition.AssignedModel, ColdUntil: e.condition.ColdUntil}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addToService inserts an entry into the list of its service. The lock is held.
func (f *Fleet) addToService(e *entry, instance Instance) {
	list := f.services[instance.Service]
	place, _ := slices.BinarySearchFunc(list, instance.ID, byID)
	f.services[instance.Service] = slices.Insert(list, place, e)
}

// remove removes an instance. The lock is held.
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

// MarkVersion records that an instance has loaded a version of a model before the registry
// reports it. It never lowers a version.
func (f *Fleet) MarkVersion(id, model string, version int64) {
	f.mu.Lock()
	held := f.instances[id]
	if held != nil {
		if held.loaded == nil {
			held.loaded = make(map[string]int64)
		}
		held.loaded[model] = max(held.loaded[model], version)
		held.mergeModels()
	}
	f.mu.Unlock()
	f.changed()
}

// MarkLoading records that an instance is loading weights of a model. The mark expires at
// until; an empty model removes it.
func (f *Fleet) MarkLoading(id, model string, until time.Time) {
	f.updateCondition(id, func(c *Condition) { c.LoadingModel, c.LoadingUntil = model, until })
	f.changed()
}

// MarkCold records that an instance may be cold until the given time. It never shortens the
// time.
func (f *Fleet) MarkCold(id string, until time.Time) {
	f.updateCondition(id, func(c *Condition) { c.ColdUntil = later(c.ColdUntil, until) })
}

// MarkAssignedModel records the model that is assigned to an instance.
func (f *Fleet) MarkAssignedModel(id, model string) {
	f.updateCondition(id, func(c *Condition) { c.AssignedModel = model })
}

// Service returns the backends of a service, sorted by id.
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

// Slots returns the total number of slots of the backends of a service and the number of
// different models that the registry lists for them.
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

// Models returns the models that the registry lists for the backends of a service, sorted.
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

// All returns all backends, sorted by id.
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

// Get returns the backend with the given id, and whether it exists.
func (f *Fleet) Get(id string, now time.Time) (Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.instances[id]
	if held == nil {
		return Backend{}, false
	}
	return held.backend(now), true
}

// backend returns a snapshot without expired loads and marks. The fleet's lock is held.
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

// updateCondition applies change to the condition of an instance, if the instance exists.
func (f *Fleet) updateCondition(id string, change func(*Condition)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.instances[id]; held != nil {
		change(&held.condition)
	}
}

// Begin counts a request in flight at an instance until the returned function is called,
// which may be called more than once.
func (f *Fleet) Begin(id string) func() {
	f.updateCondition(id, func(c *Condition) { c.InFlight++ })
	var once sync.Once
	return func() {
		once.Do(func() { f.updateCondition(id, func(c *Condition) { c.InFlight-- }) })
	}
}

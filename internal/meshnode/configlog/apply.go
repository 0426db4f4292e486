package configlog

import (
	"maps"
	"regexp"
	"slices"

	"github.com/zeebo/errs/v2"

	"github.com/sliplift/sliplift/internal/api"
)

// Errors of Apply. None of them leaves anything changed.
const (
	// ErrConflict says that IfRevision is not the current revision.
	ErrConflict = errs.Tag("configlog: revision conflict")
	// ErrUnknownPool says that no pool of that name exists.
	ErrUnknownPool = errs.Tag("configlog: unknown pool")
	// ErrNotFound says that a back end, drain or pin does not exist.
	ErrNotFound = errs.Tag("configlog: not found")
	// ErrExists says that a pool, back end or drain of that name exists.
	ErrExists = errs.Tag("configlog: already exists")
	// ErrVersionNotMonotone says that a published version is not higher than
	// the pool's last.
	ErrVersionNotMonotone = errs.Tag("configlog: version not monotone")
	// ErrInvalid says that a field is out of bounds.
	ErrInvalid = errs.Tag("configlog: invalid value")
)

const (
	maxValueLength = 1024
	maxInFlight    = 1 << 20
	maxBound       = 1 << 20
	maxShards      = 64
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// EmptyState returns the configuration before the first change.
func EmptyState() *State {
	return &State{Pools: map[string]Pool{}, Drains: map[string]Drain{}, Settings: map[string]string{}}
}

// Apply returns the state that follows from change, one revision higher. It
// changes neither argument, and depends on nothing else, so every node gets the
// same state from the same log.
func Apply(state *State, change Change) (*State, error) {
	if change.ID == "" {
		return nil, ErrInvalid.Errorf("the change has no id")
	}
	if change.IfRevision != 0 && change.IfRevision != state.Revision {
		return nil, ErrConflict.Errorf("the change was meant for revision %d, the current one is %d", change.IfRevision, state.Revision)
	}
	action, err := change.Operation.action()
	if err != nil {
		return nil, err
	}
	next := state.clone()
	next.Revision++
	if err := action.apply(next); err != nil {
		return nil, err
	}
	return next, nil
}

// action is one member of the Operation union. apply alters a state that no
// reader shares yet, whose Revision is the one being made.
type action interface {
	apply(next *State) error
	describe() string
}

func (s *State) clone() *State {
	return &State{
		Revision: s.Revision,
		Pools:    cloneMap(s.Pools),
		Drains:   cloneMap(s.Drains),
		Settings: cloneMap(s.Settings),
		Claims:   s.Claims,
	}
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

func (s *State) pool(name string) (Pool, error) {
	pool, ok := s.Pools[name]
	if !ok {
		return Pool{}, ErrUnknownPool.Errorf("no pool is named %q", name)
	}
	return pool, nil
}

func (s *State) enginePool(name string) (Pool, error) {
	pool, err := s.pool(name)
	if err != nil {
		return Pool{}, err
	}
	if pool.Kind != PoolEngines {
		return Pool{}, ErrInvalid.Errorf("pool %q holds applications, which have no weight versions", name)
	}
	return pool, nil
}

// backendPool returns the pool that holds the back end.
func (s *State) backendPool(name string) (string, bool) {
	for _, pool := range s.Pools {
		if pool.indexOf(name) >= 0 {
			return pool.Name, true
		}
	}
	return "", false
}

func (p Pool) indexOf(backend string) int {
	return slices.IndexFunc(p.Backends, func(b Backend) bool { return b.Name == backend })
}

func (c *CreatePool) apply(next *State) error {
	pool := c.Pool
	if _, taken := next.Pools[pool.Name]; taken {
		return ErrExists.Errorf("pool %q exists", pool.Name)
	}
	if pool.Kind == PoolEngines && pool.Model == "" {
		pool.Model = pool.Name
	}
	backends := pool.Backends
	if pool.Shards == 0 {
		pool.Shards = ShardCount(len(backends))
	}
	pool.Backends = nil
	if err := pool.validate(); err != nil {
		return err
	}
	if pool.PinnedVersion != 0 {
		return ErrInvalid.Errorf("a new pool cannot be pinned")
	}
	return next.addBackends(pool, backends)
}

func (a *AlterPool) apply(next *State) error {
	pool, err := next.pool(a.Pool)
	if err != nil {
		return err
	}
	setIfGiven(&pool.Model, a.Model)
	setIfGiven(&pool.VersionBound, a.VersionBound)
	setIfGiven(&pool.MaxInFlight, a.MaxInFlight)
	setIfGiven(&pool.DefaultPriority, a.DefaultPriority)
	setIfGiven(&pool.IdleWeight, a.IdleWeight)
	if err := pool.validate(); err != nil {
		return err
	}
	pool.Backends = slices.Clone(pool.Backends)
	for _, name := range a.DropBackends {
		i := pool.indexOf(name)
		if i < 0 {
			return ErrNotFound.Errorf("pool %q has no back end %q", a.Pool, name)
		}
		pool.Backends = slices.Delete(pool.Backends, i, i+1)
	}
	return next.addBackends(pool, a.AddBackends)
}

func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// addBackends stores pool with the back ends appended. Names are unique in the
// whole cluster, because a drain order names a back end without its pool. Each
// name is looked up in an index and not in all pools, since a pool may be made
// with thousands of back ends on every node at once.
func (s *State) addBackends(pool Pool, backends []Backend) error {
	s.Pools[pool.Name] = pool
	holders := map[string]string{}
	if len(backends) > 0 {
		holders = s.backendHolders()
	}
	// Published states share the slice that is copied here.
	grown := make([]Backend, 0, len(pool.Backends)+len(backends))
	grown = append(grown, pool.Backends...)
	for _, backend := range backends {
		if err := backend.validate(); err != nil {
			return err
		}
		if holder, taken := holders[backend.Name]; taken {
			return ErrExists.Errorf("back end %q is in pool %q", backend.Name, holder)
		}
		holders[backend.Name] = pool.Name
		grown = append(grown, backend)
	}
	pool.Backends = grown
	s.Pools[pool.Name] = pool
	return nil
}

// backendHolders returns the pool of every back end by the back end's name.
func (s *State) backendHolders() map[string]string {
	holders := map[string]string{}
	for _, pool := range s.Pools {
		for _, backend := range pool.Backends {
			holders[backend.Name] = pool.Name
		}
	}
	return holders
}

func (p Pool) validate() error {
	switch {
	case !namePattern.MatchString(p.Name):
		return ErrInvalid.Errorf("%q is not a pool name", p.Name)
	case p.Kind != PoolEngines && p.Kind != PoolApplications:
		return ErrInvalid.Errorf("%q is not a kind of pool", p.Kind)
	case p.Kind == PoolApplications && (p.Model != "" || p.Version != 0):
		return ErrInvalid.Errorf("an application pool has no model and no versions")
	case p.Kind == PoolEngines && !namePattern.MatchString(p.Model):
		return ErrInvalid.Errorf("%q is not a model name", p.Model)
	case p.Version < 0 || p.PinnedVersion < 0:
		return ErrInvalid.Errorf("a version is negative")
	case p.VersionBound < 0 || p.VersionBound > maxBound:
		return ErrInvalid.Errorf("version bound %d is not in 0..%d", p.VersionBound, maxBound)
	case p.MaxInFlight < 0 || p.MaxInFlight > maxInFlight:
		return ErrInvalid.Errorf("max in flight %d is not in 0..%d", p.MaxInFlight, maxInFlight)
	case p.Shards < 0 || p.Shards > maxShards:
		return ErrInvalid.Errorf("%d shards are not in 0..%d", p.Shards, maxShards)
	case p.DefaultPriority < 0 || p.DefaultPriority > int(api.PriorityLowest):
		return ErrInvalid.Errorf("priority %d is not in 0..%d", p.DefaultPriority, api.PriorityLowest)
	case !(p.IdleWeight >= 0 && p.IdleWeight <= 1): // also refuses NaN
		return ErrInvalid.Errorf("idle weight %v is not in [0,1]", p.IdleWeight)
	}
	return nil
}

func (b Backend) validate() error {
	if !namePattern.MatchString(b.Name) {
		return ErrInvalid.Errorf("%q is not a back end name", b.Name)
	}
	if b.Address == "" {
		return ErrInvalid.Errorf("back end %q has no address", b.Name)
	}
	return nil
}

func (d *DropPool) apply(next *State) error {
	if _, err := next.pool(d.Pool); err != nil {
		return err
	}
	delete(next.Pools, d.Pool)
	return nil
}

func (s *SetSetting) apply(next *State) error {
	if !namePattern.MatchString(s.Name) {
		return ErrInvalid.Errorf("%q is not a setting name", s.Name)
	}
	if len(s.Value) > maxValueLength {
		return ErrInvalid.Errorf("the value of %q is longer than %d bytes", s.Name, maxValueLength)
	}
	if s.Value == "" {
		delete(next.Settings, s.Name)
		return nil
	}
	next.Settings[s.Name] = s.Value
	return nil
}

func (a *AddDrain) apply(next *State) error {
	if err := validateDrain(a.Scope, a.Name); err != nil {
		return err
	}
	if _, known := next.backendPool(a.Name); a.Scope == DrainEngine && !known {
		return ErrNotFound.Errorf("no pool has a back end %q", a.Name)
	}
	key := DrainKey(a.Scope, a.Name)
	if standing, taken := next.Drains[key]; taken {
		return ErrExists.Errorf("%s %q is draining since revision %d", a.Scope, a.Name, standing.Revision)
	}
	next.Drains[key] = Drain{Scope: a.Scope, Name: a.Name, Revision: next.Revision}
	return nil
}

func validateDrain(scope DrainScope, name string) error {
	switch scope {
	case DrainEngine, DrainNode, DrainZone, DrainSite:
	default:
		return ErrInvalid.Errorf("%q is not a drain scope", scope)
	}
	if !namePattern.MatchString(name) {
		return ErrInvalid.Errorf("%q is not a name", name)
	}
	return nil
}

func (r *RemoveDrain) apply(next *State) error {
	key := DrainKey(r.Scope, r.Name)
	if _, standing := next.Drains[key]; !standing {
		return ErrNotFound.Errorf("%s %q is not draining", r.Scope, r.Name)
	}
	delete(next.Drains, key)
	return nil
}

func (p *PublishVersion) apply(next *State) error {
	pool, err := next.enginePool(p.Pool)
	if err != nil {
		return err
	}
	if p.Version <= pool.Version {
		return ErrVersionNotMonotone.Errorf("version %d of pool %q is not above %d", p.Version, p.Pool, pool.Version)
	}
	pool.Version = p.Version
	next.Pools[p.Pool] = pool
	return nil
}

func (p *PinVersion) apply(next *State) error {
	pool, err := next.enginePool(p.Pool)
	if err != nil {
		return err
	}
	if p.Version <= 0 || p.Version > pool.Version {
		return ErrInvalid.Errorf("version %d of pool %q is not among 1..%d", p.Version, p.Pool, pool.Version)
	}
	pool.PinnedVersion = p.Version
	next.Pools[p.Pool] = pool
	return nil
}

func (u *UnpinVersion) apply(next *State) error {
	pool, err := next.enginePool(u.Pool)
	if err != nil {
		return err
	}
	if pool.PinnedVersion == 0 {
		return ErrNotFound.Errorf("pool %q is not pinned", u.Pool)
	}
	pool.PinnedVersion = 0
	next.Pools[u.Pool] = pool
	return nil
}

package configlog

// PoolKind says which back ends a pool holds.
type PoolKind string

const (
	// PoolEngines holds model engines.
	PoolEngines PoolKind = "engines"
	// PoolApplications holds application instances.
	PoolApplications PoolKind = "applications"
)

// Backend is an engine or application instance as configured.
type Backend struct {
	Name string `json:"name"`
	// Address is host:port of its HTTP interface.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	Site    string `json:"site,omitempty"`
}

// Pool is a set of back ends that serve the same requests.
type Pool struct {
	Name     string    `json:"name"`
	Kind     PoolKind  `json:"kind"`
	Backends []Backend `json:"backends"`
	// Shards is the number of control leases that the pool's back ends are
	// divided among; fixed when the pool is created.
	Shards int `json:"shards,omitempty"`
	// Model names the weights in the weight store; engines only.
	Model string `json:"model,omitempty"`
	// VersionBound is the largest bound that a trainer's step may ask for.
	VersionBound int64 `json:"version_bound,omitempty"`
	// MaxInFlight bounds one node's requests in flight to one back end.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// DefaultPriority applies to requests that name none.
	DefaultPriority int `json:"default_priority,omitempty"`
	// IdleWeight in [0,1] weighs trainer idle time (1) against staleness (0).
	IdleWeight float64 `json:"idle_weight,omitempty"`
	// Version is the version that trainers published last.
	Version int64 `json:"version,omitempty"`
	// PinnedVersion holds the pool at a version; zero means not pinned.
	PinnedVersion int64 `json:"pinned_version,omitempty"`
}

// TargetVersion returns the version that the pool's engines should load.
func (p Pool) TargetVersion() int64 {
	if p.PinnedVersion != 0 {
		return p.PinnedVersion
	}
	return p.Version
}

// DrainScope says what a drain order names.
type DrainScope string

const (
	// DrainEngine is one back end, an application instance too.
	DrainEngine DrainScope = "engine"
	// DrainNode is a node of this service.
	DrainNode DrainScope = "node"
	// DrainZone is every back end of a zone.
	DrainZone DrainScope = "zone"
	// DrainSite is every back end of a site.
	DrainSite DrainScope = "site"
)

// Drain is a standing order that a back end, node, zone or site takes no new
// work.
type Drain struct {
	Scope DrainScope `json:"scope"`
	Name  string     `json:"name"`
	// Revision is the revision that began the drain.
	Revision int64 `json:"revision"`
}

// State is the whole configuration as of Revision. A State is never changed
// once published; readers may share it.
type State struct {
	Revision int64             `json:"revision"`
	Pools    map[string]Pool   `json:"pools"`
	Drains   map[string]Drain  `json:"drains"`
	Settings map[string]string `json:"settings,omitempty"`
	// Claims names the nodes that may be replicas of idempotency keys.
	Claims ClaimMembers `json:"claims"`
}

// Drained tells whether a standing drain order covers the back end.
func (s *State) Drained(b Backend) bool {
	return s.HasDrain(DrainEngine, b.Name) || s.HasDrain(DrainZone, b.Zone) || s.HasDrain(DrainSite, b.Site)
}

// HasDrain tells whether a drain of that scope and name is standing.
func (s *State) HasDrain(scope DrainScope, name string) bool {
	_, ok := s.Drains[DrainKey(scope, name)]
	return ok && name != ""
}

// DrainKey returns the key of a drain in State.Drains.
func DrainKey(scope DrainScope, name string) string { return string(scope) + "/" + name }

package routing

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// assumedCapacity stands in for the capacity of a back end that has not
// reported yet.
const assumedCapacity = 8

// Backend is what is known about one back end at the time of a Snapshot.
type Backend struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	Site    string `json:"site,omitempty"`
	// Running, Waiting, Capacity and Version are as last reported.
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Capacity int   `json:"capacity"`
	Version  int64 `json:"version,omitempty"`
	// Loading is the version that it reports to be loading, zero if none.
	Loading int64 `json:"loading,omitempty"`
	// Reported is false until the first report has arrived.
	Reported bool `json:"reported"`
	// ReportAge is the time since the report arrived, in nanoseconds.
	ReportAge time.Duration `json:"report_age_ns"`
	// InFlight counts this node's requests in flight there, ReportInFlight what
	// that was when the report arrived.
	InFlight       int `json:"in_flight"`
	ReportInFlight int `json:"report_in_flight"`
	// Limit bounds InFlight; zero means no bound.
	Limit int `json:"limit,omitempty"`
	// Suspect says that the back end failed lately.
	Suspect bool `json:"suspect,omitempty"`
	// Quiet says that samples leave most of its slots free; see QuietNames.
	Quiet bool `json:"quiet,omitempty"`
	// Draining says that it takes no new work.
	Draining bool `json:"draining,omitempty"`
	// DrainReason says why it takes no new work.
	DrainReason DrainReason `json:"drain_reason,omitempty"`
}

// DrainReason says how a back end came to take no new work.
type DrainReason string

const (
	// DrainOrdered means a standing drain order in the configuration.
	DrainOrdered DrainReason = "drain_order"
	// DrainMachineList means that the platform lists the machine as leaving.
	DrainMachineList DrainReason = "machine_leaving"
	// DrainReported means that the back end itself reports that it leaves.
	DrainReported DrainReason = "reported"
)

// ReportedLoad returns the requests per slot as last reported.
func (b *Backend) ReportedLoad() float64 {
	return float64(b.Running+b.Waiting) / float64(b.slots())
}

// CorrectedLoad returns the requests per slot, corrected by this node's own
// requests since the report.
func (b *Backend) CorrectedLoad() float64 {
	return float64(b.Estimate()) / float64(b.slots())
}

func (b *Backend) slots() int {
	if b.Capacity <= 0 {
		return assumedCapacity
	}
	return b.Capacity
}

// Pool is the part of a Snapshot that one pool's requests need.
type Pool struct {
	Name     string             `json:"name"`
	Kind     configlog.PoolKind `json:"kind"`
	Backends []Backend          `json:"backends"`
	// Version is the pool's target version; zero for applications.
	Version int64 `json:"version,omitempty"`
}

// Snapshot is the node's view of all pools. It is not changed once published.
type Snapshot struct {
	// Revision is the configuration revision that the view follows.
	Revision int64           `json:"revision"`
	Pools    map[string]Pool `json:"pools"`
}

// Request is what a choice depends on.
type Request struct {
	// Zone is the zone of the node that asks.
	Zone     string
	Priority api.Priority
	// PrefixHash is a hash of the prompt's prefix; zero means no affinity.
	PrefixHash uint64
	// AffinityHint names a back end that is believed to hold the prefix.
	AffinityHint string
	// Excluded names back ends that were tried already.
	Excluded []string
	// MinVersion is the lowest reported version that may serve the request.
	MinVersion int64
	// Admission, if not nil, leaves out back ends without a free slot.
	Admission *Admission
	// PreferQuiet prefers quiet back ends.
	PreferQuiet bool
}

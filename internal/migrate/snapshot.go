package migrate

import (
	"time"

	"github.com/sliplift/sliplift/internal/api"
	"github.com/sliplift/sliplift/internal/meshnode/configlog"
)

// Snapshot is what is known of a pool at one moment. It is a value: planning
// never changes it.
type Snapshot struct {
	Pool string
	Kind configlog.PoolKind
	// Revision is a revision of the configuration that the snapshot is at least
	// as new as. A change made only if this is still current is safe.
	Revision int64
	// Target is the version that the engines should load; zero for none.
	Target   int64
	Backends []Backend
	// AsOf is the answering node's clock.
	AsOf time.Time
	// NotHeard names the nodes whose word is missing.
	NotHeard []string
	// FinishedPerSecond is the rate at which samples of the pool were seen to
	// finish; nil where it is not known.
	FinishedPerSecond *float64
}

// Backend is a back end of the pool.
type Backend struct {
	Name, Site string
	// Drained says that a standing order covers the back end. OwnOrder is set
	// where that, or one of several, is an order for the back end itself, and
	// WiderOrder names one for its zone or site; empty if there is none.
	Drained    bool
	OwnOrder   bool
	WiderOrder string
	// Report is the last load report, nil where none is known.
	Report *Report
}

// Report is what a back end last reported.
type Report struct {
	Role                       string
	Running, Waiting, Capacity int
	// Version is loaded; zero for none.
	Version int64
	// LoadError is why the last load of a version failed.
	LoadError string
	// Age counts from the report's arrival at a node.
	Age time.Duration
}

// serves tells whether the back end takes new work, as far as the report tells.
func (b Backend) serves() bool {
	return !b.Drained && b.Report != nil && b.Report.Role == string(api.RoleServing)
}

// resumable tells whether an order for the back end alone keeps it from work.
func (b Backend) resumable() bool { return b.Drained && b.OwnOrder && b.WiderOrder == "" }

// current tells whether the back end has the target version; zero means that
// there is none.
func (b Backend) current(target int64) bool {
	return target == 0 || (b.Report != nil && b.Report.Version == target)
}

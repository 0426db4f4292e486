package migrate

import (
	"slices"
	"time"

	"github.com/zeebo/errs/v2"
)

// Errors of planning.
const (
	// ErrOptions says that an option is out of its bounds.
	ErrOptions = errs.Tag("migrate: option")
	// ErrNotFound says that there is no such pool, or none of its back ends is
	// at a site.
	ErrNotFound = errs.Tag("migrate: not found")
)

// Options say what to move and how carefully.
type Options struct {
	Pool string
	// From and To are the sites that the move began with.
	From, To string
	// Undo moves back, from To to From.
	Undo bool
	// WaveShare in (0,1] is the share of a site's back ends that one step may
	// resume or drain. At least one always may.
	WaveShare float64
	// MinFree in [0,1) is the share of the serving capacity that must stay free
	// after each step.
	MinFree float64
	// MaxReportAge is the age from which a report counts as unknown.
	MaxReportAge time.Duration
	// Except names back ends that are left as they are.
	Except []string
}

// DefaultOptions returns options without pool and sites.
func DefaultOptions() Options {
	return Options{WaveShare: 0.25, MinFree: 0.2, MaxReportAge: 10 * time.Second}
}

// Validate returns ErrOptions where an option is out of its bounds.
func (o Options) Validate() error {
	switch {
	case o.Pool == "" || o.From == "" || o.To == "":
		return ErrOptions.Errorf("a pool and two sites are needed")
	case o.From == o.To:
		return ErrOptions.Errorf("both sites are %q", o.From)
	case !(o.WaveShare > 0 && o.WaveShare <= 1):
		return ErrOptions.Errorf("wave share %v is not above 0 and at most 1", o.WaveShare)
	case !(o.MinFree >= 0 && o.MinFree < 1):
		return ErrOptions.Errorf("free share %v is not at least 0 and below 1", o.MinFree)
	case o.MaxReportAge <= 0:
		return ErrOptions.Errorf("report age %v is not above 0", o.MaxReportAge)
	}
	return nil
}

// sites returns the site to drain and the one to resume.
func (o Options) sites() (from, to string) {
	if o.Undo {
		return o.To, o.From
	}
	return o.From, o.To
}

func (o Options) excepts(name string) bool { return slices.Contains(o.Except, name) }

// stepSize returns how many of a site's back ends one step may change.
func (o Options) stepSize(backends int) int {
	return max(1, int(o.WaveShare*float64(backends)))
}

package capacity

import (
	"time"
)

// Sizes of the target that docs/CAPACITY.md is worked out for.
const (
	targetSamplers       = 1600
	targetShards         = 32
	targetZones          = 15
	targetRegions        = 4
	targetChangesPerDay  = 7100
	targetMachines       = 2000
	secondsPerDay        = 24 * 60 * 60
	changeInterval       = secondsPerDay * time.Second / targetChangesPerDay
	defaultIntervalCount = 5
)

// Config describes a run.
type Config struct {
	// Nodes are the cluster sizes, measured one after the other.
	Nodes []int
	// Measure is the time over which each size is measured, divided into
	// Intervals; figures are medians over these.
	Measure   time.Duration
	Intervals int
	// Settle is the pause between the forming of a cluster and its measurement.
	Settle time.Duration
	// ChangeInterval is the time between configuration changes while measuring.
	ChangeInterval time.Duration
	// Burst is the number of changes that are submitted without pause.
	Burst int
	// Kills is the number of nodes that are killed, one after the other.
	Kills int
	// Samplers is the number of hollow samplers; LoadTime is how long each takes
	// to load a version, and FailShare the share of loads that fail.
	Samplers  int
	LoadTime  time.Duration
	FailShare float64
	// PhaseTimeout bounds the forming of a cluster, each takeover and the spread
	// of a weight version.
	PhaseTimeout time.Duration
	// Slopes switches the benchmarks of the data roles on; SlopeTime bounds each.
	Slopes    bool
	SlopeTime time.Duration
	// StepSizes are the samples of the steps that are benchmarked, BodyBytes the
	// size of a sample's text.
	StepSizes []int
	BodyBytes int
	// Progress is told what goes on.
	Progress func(text string)
}

// DefaultConfig returns the run that docs/CAPACITY.md is worked out from.
func DefaultConfig() Config {
	return Config{
		Nodes:          []int{10, 30, 100, 330},
		Measure:        20 * time.Second,
		Intervals:      defaultIntervalCount,
		Settle:         24 * time.Second,
		ChangeInterval: changeInterval,
		Burst:          10,
		Kills:          2,
		Samplers:       targetSamplers,
		LoadTime:       5 * time.Second,
		FailShare:      0.02,
		PhaseTimeout:   time.Minute,
		Slopes:         true,
		SlopeTime:      2 * time.Second,
		StepSizes:      []int{512, 2048, 8192},
		BodyBytes:      8 << 10,
		Progress:       func(string) {},
	}
}

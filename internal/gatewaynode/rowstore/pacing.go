package rowstore

import "time"

// Pacing says how often a node asks the store, so that all nodes together keep
// within what it takes in a second: what each one asks falls as nodes grow.
type Pacing struct {
	// Limits are the store's, for all nodes together.
	Limits Limits
	// Fresh is the age that a view whose freshness counts may have.
	Fresh time.Duration
	// Nodes returns the number of nodes.
	Nodes func() int
}

const (
	// freshShare is how long a watch of such a view stays open, as a share of
	// Fresh: an open watch that returns proves that the view is fresh.
	freshShare = 0.5
	// freshWatches is how many such views a node has; they may use two
	// fifths of the reads.
	freshWatches = 2
	readShare    = 0.4
	// idleWatches is how many other views a node has; while nothing changes they may
	// use a quarter. They are no less fresh than the others in a small system: a
	// connection that has gone silent is noticed only when a watch should have ended.
	idleWatches = 5
	idleShare   = 0.25
	// busyWatches is how many of them change often; they may use a third.
	busyWatches = 3
	busyShare   = 0.33
)

// FreshWait returns how long a watch stays open whose return proves freshness.
func (p Pacing) FreshWait() time.Duration {
	least := time.Duration(freshShare * float64(p.Fresh))
	return max(least, p.interval(freshWatches, readShare))
}

// IdleWait returns how long a watch stays open that is there for changes alone.
func (p Pacing) IdleWait() time.Duration {
	return max(p.FreshWait(), p.IdleRest())
}

// IdleRest returns the most time between a failure and the next try of a view that can
// wait.
func (p Pacing) IdleRest() time.Duration { return p.interval(idleWatches, idleShare) }

// BusyPace returns the least time between two answers of a watch that changes
// often.
func (p Pacing) BusyPace() time.Duration { return p.interval(busyWatches, busyShare) }

const (
	// idlePaces is how many times rarer than BusyPace a node follows a table that it
	// makes no use of just now.
	idlePaces = 3
	// keenLeast is the least time between two answers of a watch of a table that a node
	// makes use of; few nodes do at a time.
	keenLeast = 100 * time.Millisecond
	// registryShare is the share of the reads that watches of the registry of back ends
	// may use while it changes all the time. With 0.3, all watches of 300 nodes used 1,280
	// of 2,000 reads a second, and what is left for nodes that start was too little.
	registryShare = 0.15
)

// InterestPace returns the least time between two answers of a watch of a table that
// few nodes make use of at a time, by whether this one does.
func (p Pacing) InterestPace(interested bool) time.Duration {
	if interested {
		return min(p.BusyPace(), keenLeast)
	}
	return idlePaces * p.BusyPace()
}

// RegistryPace returns the least time between two answers of a watch of the registry
// of back ends: every node needs it, and it has to be fresh.
func (p Pacing) RegistryPace() time.Duration {
	return min(max(p.interval(1, registryShare), min(p.BusyPace(), p.FreshWait()/4)), p.FreshWait())
}

// interval returns how often each of a node's watches may be answered if they
// have a share of all reads.
func (p Pacing) interval(watches int, share float64) time.Duration {
	if p.Limits.ReadsPerSecond <= 0 {
		return 0
	}
	calls := float64(p.Nodes() * watches)
	return time.Duration(calls / (share * p.Limits.ReadsPerSecond) * float64(time.Second))
}

const (
	// usageShare is the share of all writes that the nodes' counts of requests may use.
	usageShare = 0.1
	// usageLeast is the least time between two writes of a node's counts: what a node
	// that is killed loses.
	usageLeast = 300 * time.Millisecond
)

// UsageInterval returns the least time between two writes of a node's counts.
func (p Pacing) UsageInterval() time.Duration {
	return max(usageLeast, p.writeInterval(p.Nodes(), usageShare))
}

// EvidencePace returns the least time between two answers of a watch of the evidence
// against requests: all nodes follow it, and changes come in bursts.
func (p Pacing) EvidencePace() time.Duration { return max(p.BusyPace(), keenLeast) }

// evidenceShare is the share of all writes that evidence may use while every node has
// some to write.
const evidenceShare = 0.1

// EvidenceInterval returns the time between two writes of evidence by a node if all have
// some to write.
func (p Pacing) EvidenceInterval() time.Duration { return p.writeInterval(p.Nodes(), evidenceShare) }

// beatShare is the share of all writes that the nodes' beats may use: at 330 nodes and
// 1,200 writes a second, a beat each 1.8 s.
const beatShare = 0.15

// BeatInterval returns the least time between two beats of a node if there are
// so many nodes.
func (p Pacing) BeatInterval(nodes int) time.Duration { return p.writeInterval(nodes, beatShare) }

// writeInterval returns how often each of the nodes may write if together they have a
// share of all writes.
func (p Pacing) writeInterval(nodes int, share float64) time.Duration {
	if p.Limits.WritesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(nodes) / (share * p.Limits.WritesPerSecond) * float64(time.Second))
}

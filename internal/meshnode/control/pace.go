package control

import (
	"time"
)

// pace decides how often each held shard is read. A shard in which something is
// under way is read in every round. A settled one is read so seldom that all
// settled shards of this node together cost rate reports a second, because the
// holder of a shard of 50 back ends would else spend most of what a node may
// spend on control. A wake, which follows a change of the configuration or of
// the machine list, makes all shards due.
//
// It is a state machine without I/O, for one goroutine.
type pace struct {
	rate    float64
	longest time.Duration
	settled map[string]settledShard
}

// settledShard is a shard that was settled when it was last read.
type settledShard struct {
	readAt   time.Time
	backends int
}

// newPace returns a pace without settled shards. A rate of zero reads every
// shard in every round.
func newPace(rate float64, longest time.Duration) *pace {
	return &pace{rate: rate, longest: longest, settled: map[string]settledShard{}}
}

// due tells whether the shard is to be read now.
func (p *pace) due(now time.Time, shard string) bool {
	last, ok := p.settled[shard]
	return !ok || now.Sub(last.readAt) >= p.interval()
}

// interval is the time between two readings of a settled shard.
func (p *pace) interval() time.Duration {
	if p.rate <= 0 {
		return 0
	}
	backends := 0
	for _, shard := range p.settled {
		backends += shard.backends
	}
	return min(p.longest, time.Duration(float64(backends)/p.rate*float64(time.Second)))
}

// served notes that the shard was read at now, and whether it was settled.
func (p *pace) served(now time.Time, shard string, backends int, settled bool) {
	if !settled {
		p.forget(shard)
		return
	}
	p.settled[shard] = settledShard{readAt: now, backends: backends}
}

// forget makes a shard due; it also drops one that this node no longer holds.
func (p *pace) forget(shard string) { delete(p.settled, shard) }

// hurry makes all shards due.
func (p *pace) hurry() { clear(p.settled) }

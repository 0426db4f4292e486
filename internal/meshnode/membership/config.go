package membership

import (
	"math/bits"
	"time"
)

// Config sets the pace of the protocol. The values of DefaultConfig are meant
// for 2 to a few hundred nodes.
type Config struct {
	// Period is the time between two probes by a node.
	Period time.Duration
	// DirectTimeout and IndirectTimeout are counted from the start of a probe:
	// the first until helpers are asked, the second until the probe has failed.
	DirectTimeout, IndirectTimeout time.Duration
	// Helpers is the number of members asked to probe in one's stead.
	Helpers int
	// CrossRegionEvery makes every n-th probe go to another region.
	CrossRegionEvery int
	// GoneProbeEvery makes every n-th period probe one more member, out of those
	// held dead, so that both sides of a long cut find each other again.
	GoneProbeEvery int
	// GossipInterval and GossipFanout pace the spread of news; nothing is sent
	// while there is none.
	GossipInterval time.Duration
	GossipFanout   int
	// Confirmers is how many of all members, about, probe a suspect at once when
	// they learn of the suspicion: they tell it, or become observers.
	Confirmers int
	// UpdatesPerMessage bounds the news in one message.
	UpdatesPerMessage int
	// RetransmitFactor times log2 of the number of members is how often a node
	// passes on one piece of news.
	RetransmitFactor int
	// SuspicionBase, and SuspicionPerDoubling for each doubling of the number of
	// members, is the time that a suspect has to refute.
	SuspicionBase, SuspicionPerDoubling time.Duration
	// SyncInterval is the time between comparisons of the whole view with one
	// random member; a tenth of it after one that brought news, and for a node
	// that has just started.
	SyncInterval time.Duration
	// SeedInterval is the time between attempts to reach a seed while no other
	// member is known. Later, seeds that are not alive are tried at the pace of
	// SyncInterval.
	SeedInterval time.Duration
	// RegionSilence is the time without word from a region after which it counts
	// as unreached.
	RegionSilence time.Duration
	// Retention is how long members that are dead or left are remembered.
	Retention time.Duration
}

// DefaultConfig returns the values that docs/design/membership.md reasons for.
func DefaultConfig() Config {
	return Config{
		Period:               time.Second,
		DirectTimeout:        300 * time.Millisecond,
		IndirectTimeout:      800 * time.Millisecond,
		Helpers:              3,
		CrossRegionEvery:     4,
		GoneProbeEvery:       10,
		GossipInterval:       200 * time.Millisecond,
		GossipFanout:         2,
		Confirmers:           4,
		UpdatesPerMessage:    8,
		RetransmitFactor:     2,
		SuspicionBase:        2 * time.Second,
		SuspicionPerDoubling: 250 * time.Millisecond,
		SyncInterval:         10 * time.Second,
		SeedInterval:         time.Second,
		RegionSilence:        6 * time.Second,
		Retention:            10 * time.Minute,
	}
}

const (
	// minDoublings keeps the number of retransmissions up in small clusters,
	// where one dead link takes a large share of them.
	minDoublings = 6
	// introductionTime is how long a node counts as just started. That long after
	// the start of either end, a first message says who its sender is; later,
	// gossip and syncs have told.
	introductionTime = 30 * time.Second
	// syncAgainDivisor shortens SyncInterval after a sync that brought news.
	syncAgainDivisor = 10
)

// pauseThreshold is the time between two ticks beyond which this process was
// itself paused, so that its open probes prove nothing.
func (c Config) pauseThreshold() time.Duration { return c.Period }

func (c Config) suspicionTimeout(members int) time.Duration {
	return c.SuspicionBase + time.Duration(bits.Len(uint(members)))*c.SuspicionPerDoubling
}

func (c Config) retransmits(members int) int {
	return c.RetransmitFactor * max(minDoublings, bits.Len(uint(members)))
}

package capacity

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sliplift/sliplift/internal/pause"
	"github.com/sliplift/sliplift/internal/peer"
)

// snapshot is the sum of all counters of a cluster at one moment.
type snapshot struct {
	at           time.Time
	processTime  time.Duration
	tableCalls   int64
	tableFailed  int64
	watchPolls   int64
	holderPolls  int64
	machineReads int64
	kinds        map[peer.Kind]peer.KindStats
	total        peer.KindStats
	connections  int
}

func (c *cluster) snapshot() snapshot {
	s := snapshot{kinds: map[peer.Kind]peer.KindStats{}}
	for _, node := range c.nodes {
		stats := node.transport.Stats()
		for kind, counts := range stats.Kinds {
			s.kinds[kind] = addStats(s.kinds[kind], counts)
		}
		s.total = addStats(s.total, stats.Total())
		s.connections += stats.Connections
		s.watchPolls += node.watchPolls.Load()
		s.holderPolls += node.holderPolls.Load()
	}
	s.tableCalls = c.world.table.calls.Load()
	s.tableFailed = c.world.table.failed.Load()
	s.machineReads = c.world.machines.reads.Load()
	s.processTime = processTime()
	s.at = time.Now()
	return s
}

func addStats(a, b peer.KindStats) peer.KindStats {
	return peer.KindStats{
		MessagesIn: a.MessagesIn + b.MessagesIn, MessagesOut: a.MessagesOut + b.MessagesOut,
		BytesIn: a.BytesIn + b.BytesIn, BytesOut: a.BytesOut + b.BytesOut,
	}
}

// intervalRates are the rates between two snapshots.
type intervalRates struct {
	core, messagesOut, messagesIn, bytesOut, bytesIn, tableCalls, watchPolls, holderPolls, machineReads, connections float64
}

const percent = 100

func (c *cluster) rates(from, to snapshot) intervalRates {
	seconds := to.at.Sub(from.at).Seconds()
	perNode := seconds * float64(len(c.nodes))
	return intervalRates{
		core:         percent * (to.processTime - from.processTime).Seconds() / perNode,
		messagesOut:  float64(to.total.MessagesOut-from.total.MessagesOut) / perNode,
		messagesIn:   float64(to.total.MessagesIn-from.total.MessagesIn) / perNode,
		bytesOut:     float64(to.total.BytesOut-from.total.BytesOut) / perNode,
		bytesIn:      float64(to.total.BytesIn-from.total.BytesIn) / perNode,
		tableCalls:   float64(to.tableCalls-from.tableCalls) / seconds,
		watchPolls:   float64(to.watchPolls-from.watchPolls) / perNode,
		holderPolls:  float64(to.holderPolls-from.holderPolls) / seconds / float64(c.shards-1),
		machineReads: float64(to.machineReads-from.machineReads) / seconds,
		connections:  float64(to.connections) / float64(len(c.nodes)),
	}
}

// measureRates watches the cluster for Config.Measure, while changes come in at
// their usual rate, and fills in the rates of size.
func (c *cluster) measureRates(ctx context.Context, size *Size) {
	changing, stop := context.WithCancel(ctx)
	changes := make(chan []submitted, 1)
	go func() { changes <- c.submitAtRate(changing) }()
	first := c.snapshot()
	last := first
	var intervals []intervalRates
	for range c.cfg.Intervals {
		if !pause.For(ctx, c.cfg.Measure/time.Duration(c.cfg.Intervals)) {
			break
		}
		next := c.snapshot()
		intervals = append(intervals, c.rates(last, next))
		last = next
	}
	stop()
	size.Changes = c.spread(ctx, <-changes)
	size.fill(intervals)
	size.Kinds = c.kindRates(first, last)
	size.TableFailed = last.tableFailed - first.tableFailed
	size.OpenFiles = openFiles()
}

func (s *Size) fill(intervals []intervalRates) {
	middle := func(of func(intervalRates) float64) float64 {
		var values []float64
		for _, rates := range intervals {
			values = append(values, of(rates))
		}
		return median(values)
	}
	for _, rates := range intervals {
		s.CoreHighest = max(s.CoreHighest, rates.core)
	}
	s.CorePercent = middle(func(r intervalRates) float64 { return r.core })
	s.MessagesOut = middle(func(r intervalRates) float64 { return r.messagesOut })
	s.MessagesIn = middle(func(r intervalRates) float64 { return r.messagesIn })
	s.BytesOut = middle(func(r intervalRates) float64 { return r.bytesOut })
	s.BytesIn = middle(func(r intervalRates) float64 { return r.bytesIn })
	s.TableCalls = middle(func(r intervalRates) float64 { return r.tableCalls })
	s.WatchPolls = middle(func(r intervalRates) float64 { return r.watchPolls })
	s.HolderPolls = middle(func(r intervalRates) float64 { return r.holderPolls })
	s.MachineReads = middle(func(r intervalRates) float64 { return r.machineReads })
	s.Connections = middle(func(r intervalRates) float64 { return r.connections })
}

// kindRates returns what a node sends and receives of each kind, largest first.
func (c *cluster) kindRates(from, to snapshot) []KindRate {
	perNode := to.at.Sub(from.at).Seconds() * float64(len(c.nodes))
	var rates []KindRate
	for kind, counts := range to.kinds {
		before := from.kinds[kind]
		rate := KindRate{
			Kind:        string(kind),
			MessagesOut: float64(counts.MessagesOut-before.MessagesOut) / perNode,
			MessagesIn:  float64(counts.MessagesIn-before.MessagesIn) / perNode,
			BytesOut:    float64(counts.BytesOut-before.BytesOut) / perNode,
			BytesIn:     float64(counts.BytesIn-before.BytesIn) / perNode,
		}
		if rate.MessagesOut+rate.MessagesIn > 0 {
			rates = append(rates, rate)
		}
	}
	slices.SortFunc(rates, func(a, b KindRate) int { return cmp.Compare(b.BytesOut, a.BytesOut) })
	return rates
}

package peer

import (
	"maps"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// DropReason says why a message was not delivered or not handled.
type DropReason string

const (
	DropQueueFull   DropReason = "queue_full"
	DropUnreachable DropReason = "unreachable"
	DropConnection  DropReason = "connection_lost"
	DropTooLarge    DropReason = "too_large"
	DropUnknownKind DropReason = "unknown_kind"
	DropOverloaded  DropReason = "handlers_busy"
	DropLate        DropReason = "late_response"
)

// KindStats counts the messages of one kind, with their bytes on the wire.
type KindStats struct {
	MessagesIn, MessagesOut uint64
	BytesIn, BytesOut       uint64
}

// Stats is a snapshot of a Transport's counters since its start.
type Stats struct {
	Kinds map[Kind]KindStats
	// Drops counts messages that were given up.
	Drops map[DropReason]uint64
	// Connections is the number of connections open now.
	Connections  int
	Dials        uint64
	DialFailures uint64
	// Malformed counts lines that broke the protocol; each closed a connection.
	Malformed     uint64
	HandlerPanics uint64
}

// Total sums the counters of all kinds.
func (s Stats) Total() KindStats {
	var total KindStats
	for _, kind := range s.Kinds {
		total.MessagesIn += kind.MessagesIn
		total.MessagesOut += kind.MessagesOut
		total.BytesIn += kind.BytesIn
		total.BytesOut += kind.BytesOut
	}
	return total
}

// counters is safe for concurrent use; its lock is a leaf.
type counters struct {
	mu    sync.Mutex
	stats Stats
}

func newCounters() *counters {
	return &counters{stats: Stats{Kinds: map[Kind]KindStats{}, Drops: map[DropReason]uint64{}}}
}

func (c *counters) update(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

func (c *counters) sent(kind Kind, bytes int) {
	c.update(func(s *Stats) {
		k := s.Kinds[kind]
		k.MessagesOut++
		k.BytesOut += uint64(bytes)
		s.Kinds[kind] = k
	})
}

func (c *counters) received(kind Kind, bytes int) {
	c.update(func(s *Stats) {
		k := s.Kinds[kind]
		k.MessagesIn++
		k.BytesIn += uint64(bytes)
		s.Kinds[kind] = k
	})
}

func (c *counters) dropped(reason DropReason, count int) {
	if count > 0 {
		c.update(func(s *Stats) { s.Drops[reason] += uint64(count) })
	}
}

func (c *counters) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.stats
	snapshot.Kinds = maps.Clone(c.stats.Kinds)
	snapshot.Drops = maps.Clone(c.stats.Drops)
	return snapshot
}

var (
	messagesDesc = prometheus.NewDesc("sliplift_peer_messages_total", "Messages between nodes.", []string{"kind", "direction"}, nil)
	bytesDesc    = prometheus.NewDesc("sliplift_peer_bytes_total", "Bytes of messages between nodes.", []string{"kind", "direction"}, nil)
	dropsDesc    = prometheus.NewDesc("sliplift_peer_dropped_total", "Messages given up.", []string{"reason"}, nil)
	openDesc     = prometheus.NewDesc("sliplift_peer_connections", "Open connections to other nodes.", nil, nil)
	dialsDesc    = prometheus.NewDesc("sliplift_peer_dials_total", "Connections begun to other nodes.", []string{"result"}, nil)
	badLinesDesc = prometheus.NewDesc("sliplift_peer_malformed_total", "Lines that broke the protocol.", nil, nil)
	panicsDesc   = prometheus.NewDesc("sliplift_peer_handler_panics_total", "Handlers that panicked.", nil, nil)
)

// Describe implements prometheus.Collector.
func (t *Transport) Describe(descs chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{messagesDesc, bytesDesc, dropsDesc, openDesc, dialsDesc, badLinesDesc, panicsDesc} {
		descs <- desc
	}
}

// Collect implements prometheus.Collector.
func (t *Transport) Collect(metrics chan<- prometheus.Metric) {
	stats := t.Stats()
	counter := func(desc *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	for kind, k := range stats.Kinds {
		counter(messagesDesc, k.MessagesIn, string(kind), "in")
		counter(messagesDesc, k.MessagesOut, string(kind), "out")
		counter(bytesDesc, k.BytesIn, string(kind), "in")
		counter(bytesDesc, k.BytesOut, string(kind), "out")
	}
	for reason, count := range stats.Drops {
		counter(dropsDesc, count, string(reason))
	}
	counter(dialsDesc, stats.Dials-stats.DialFailures, "ok")
	counter(dialsDesc, stats.DialFailures, "failed")
	counter(badLinesDesc, stats.Malformed)
	counter(panicsDesc, stats.HandlerPanics)
	metrics <- prometheus.MustNewConstMetric(openDesc, prometheus.GaugeValue, float64(stats.Connections))
}

// Package gatewaymetrics holds the counters and histograms of a gateway node.
// All label sets are bounded: events by the log's vocabulary, kinds and outcomes
// by their types.
package gatewaymetrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sliplift/sliplift/internal/gatewaynode/digest"
	"github.com/sliplift/sliplift/internal/gatewaynode/forward"
	"github.com/sliplift/sliplift/internal/gatewaynode/routetable"
	"github.com/sliplift/sliplift/internal/gatewaynode/storenode"
	"github.com/sliplift/sliplift/internal/gatewaynode/upstream"
)

const namespace = "sliplift"

// latencyBuckets are in seconds, from a store's answer to a long stream.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// leftBuckets are in seconds, around the half second within which back ends have to know.
var leftBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 5}

// Metrics are the figures of one node.
type Metrics struct {
	registry *prometheus.Registry
	events   *prometheus.CounterVec
	requests *prometheus.HistogramVec
	attempts prometheus.Counter
	openings *prometheus.CounterVec
	calls    *prometheus.HistogramVec
	rows     *prometheus.CounterVec
	rowBytes *prometheus.CounterVec
	cuts     prometheus.Counter
	cutBytes prometheus.Counter
	withheld *prometheus.CounterVec
	refused  *prometheus.CounterVec
	begun    *prometheus.CounterVec
	cold     *prometheus.CounterVec
	left     prometheus.Histogram
}

// New returns metrics that nothing has been counted in.
func New() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "events_total", Help: "Decisions by event name, also those whose log line was dropped.",
	}, []string{"event"})
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_seconds", Help: "Live requests by kind of route and outcome.", Buckets: latencyBuckets,
	}, []string{"kind", "outcome"})
	m.attempts = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "attempts_total", Help: "Attempts of live requests that may have run.",
	})
	m.openings = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "backend_connections_total", Help: "New connections to back ends by what they were opened for and why none that stood would do.",
	}, []string{"purpose", "cause"})
	m.calls = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "store_call_seconds", Help: "Calls to the row store by call and outcome.", Buckets: latencyBuckets,
	}, []string{"call", "outcome"})
	m.rows = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_rows_read_total", Help: "Rows that the row store has answered with, by table.",
	}, []string{"table"})
	m.rowBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_row_bytes_read_total", Help: "Bytes of the keys and values of these rows, by table.",
	}, []string{"table"})
	m.cuts = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_answers_cut_total", Help: "Answers of the row store that were given up before they were whole.",
	})
	m.cutBytes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_answers_cut_bytes_total", Help: "Bytes that had arrived of these answers.",
	})
	m.withheld = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "calls_withheld_total", Help: "Calls that were kept back at the moment of sending, by why the back end may not get them.",
	}, []string{"reason"})
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "requests_ineligible_total", Help: "Refused live requests, by each reason for which back ends might not get them.",
	}, []string{"reason"})
	m.begun = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "requests_begun_total", Help: "Live requests that count as begun at a back end, by what tells it.",
	}, []string{"evidence"})
	m.cold = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "cold_turns_total", Help: "Calls that went to cold back ends, by service.",
	}, []string{"service"})
	m.left = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "caller_left_seconds", Buckets: leftBuckets,
		Help: "Time from the end of a caller's connection to that of all work on its request.",
	})
	m.registry.MustRegister(m.events, m.requests, m.attempts, m.openings, m.calls, m.rows, m.rowBytes, m.cuts, m.cutBytes, m.withheld, m.refused, m.begun, m.cold, m.left)
	return m
}

// Event counts a decision.
func (m *Metrics) Event(event string) { m.events.WithLabelValues(event).Inc() }

// Request counts a live request.
func (m *Metrics) Request(kind routetable.Kind, report forward.Report) {
	m.requests.WithLabelValues(string(kind), string(report.Outcome)).Observe(report.Took.Seconds())
	m.attempts.Add(float64(report.Attempts))
	if report.BeganBy != "" {
		m.begun.WithLabelValues(string(report.BeganBy)).Inc()
	}
	for reason := range report.Reasons {
		m.refused.WithLabelValues(reason).Inc()
	}
}

// Withheld counts a call that was kept back at the moment of sending.
func (m *Metrics) Withheld(reason string) { m.withheld.WithLabelValues(reason).Inc() }

// ColdTurn counts a call that went to a cold back end.
func (m *Metrics) ColdTurn(service string) { m.cold.WithLabelValues(service).Inc() }

// Opening counts a new connection to a back end.
func (m *Metrics) Opening(opening upstream.Opening) {
	m.openings.WithLabelValues(string(opening.Purpose), string(opening.Cause)).Inc()
}

// CallerLeft counts a request whose caller left, by how long it went on after that.
func (m *Metrics) CallerLeft(after time.Duration) { m.left.Observe(after.Seconds()) }

// StoreCall counts a call to the row store.
func (m *Metrics) StoreCall(call, outcome string, took time.Duration) {
	m.calls.WithLabelValues(call, outcome).Observe(took.Seconds())
}

// StoreRead counts what a read of the row store brought.
func (m *Metrics) StoreRead(table string, rows, bytes int) {
	m.rows.WithLabelValues(table).Add(float64(rows))
	m.rowBytes.WithLabelValues(table).Add(float64(bytes))
}

// StoreCut counts an answer of the row store that was given up before it was whole.
func (m *Metrics) StoreCut(bytes int) {
	m.cuts.Inc()
	m.cutBytes.Add(float64(bytes))
}

// Watch adds the figures that a node holds itself.
func (m *Metrics) Watch(node *storenode.Node) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
	}
	gauge("config_age_seconds", "Time since the store last confirmed the configuration.", func() float64 { return node.ConfigAge().Seconds() })
	gauge("registry_age_seconds", "Time since the registry of back ends was certain to be known whole.", func() float64 { return node.RegistryAge().Seconds() })
	gauge("registry_by_digest", "1 while the registry of back ends is followed by its digest.", func() float64 { return oneIf(node.Registry().Way == digest.ByDigest) })
	gauge("digest_published", "1 while this node publishes the digest of the registry.", func() float64 { return oneIf(node.Registry().Publishes) })
	gauge("jobs_owned", "Batch jobs that this node runs.", func() float64 { jobs, _ := node.Jobs().Running(); return float64(jobs) })
	gauge("items_running", "Items of batch jobs that run at back ends.", func() float64 { _, items := node.Jobs().Running(); return float64(items) })
	gauge("texts_waiting", "Whole texts of batch jobs that wait for their score.", func() float64 { return float64(node.Jobs().WaitingForScore()) })
	gauge("jobs_waiting_for_region", "Batch jobs that no node may run: none stands in their regions.", func() float64 { return float64(node.Jobs().JobsWaitingForRegion()) })
	gauge("backends_suspended", "Back ends that this node leaves alone for a while.", func() float64 { return float64(node.Suspended()) })
	gauge("machine_away_seconds", "Time for which the machine was suspended since the start.", func() float64 { return node.Away().Seconds() })
	gauge("works_quarantined", "Works of live requests that no back end is to run: several ended under them.", func() float64 { held, _ := node.Quarantine().HeldCount(); return float64(held) })
	gauge("works_backed_off", "Works of items and of scoring calls that wait before they are sent again: many back ends ended under them.", func() float64 { return float64(node.Quarantine().BackoffCount()) })
	gauge("works_suspected", "Works under which a back end ended, also the quarantined ones.", func() float64 { _, suspected := node.Quarantine().HeldCount(); return float64(suspected) })
	gauge("calls_unfollowed", "Calls since the start of which it was not followed whether their back ends ended under them.", func() float64 { calls, _ := node.Quarantine().Dropped(); return float64(calls) })
	gauge("evidence_dropped", "Rows of evidence since the start that were not written for want of room.", func() float64 { _, rows := node.Quarantine().Dropped(); return float64(rows) })
	gauge("evacuations", "Zones whose back ends are to get nothing.", func() float64 { return float64(len(node.Evacuations())) })
	gauge("evacuation_age_seconds", "Time for which this node has known the oldest evacuation in force, 0 if there is none.", func() float64 { return node.EvacuationAge().Seconds() })
	gauge("evacuations_confirmed_age_seconds", "Time since the evacuations were certain to be known whole.", func() float64 { return node.EvacuationsProvenAge().Seconds() })
	gauge("backends_cold", "Back ends that are taken to be cold.", func() float64 { return float64(node.ColdBackends()) })
	gauge("lease_held", "1 while this node gives orders to back ends.", func() float64 {
		_, held := node.Holder()
		return oneIf(held)
	})
	gauge("metering_lease_held", "1 while this node reports the tenants' use.", func() float64 {
		_, held := node.MeteringHolder()
		return oneIf(held)
	})
	gauge("log_lines_dropped", "Log lines that were not written since the start.", func() float64 { return float64(node.Log().Dropped()) })
}

// oneIf returns 1 for true, 0 for false.
func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Handler serves the figures in the text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
